// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file measures the leader's cost of gateways and backend servers.

// BenchmarkFleet reports the size of one Fleet message, and the time to build and encode it for all
// gateways. Every backend server is in use, all load totals change between messages, and a tenth of the
// accounts exceed their share.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ gateways, servers, accounts int }{
		{9, 15, 16}, {60, 95, 30}, {295, 171, 60}, {1600, 10000, 5800},
	} {
		b.Run(fmt.Sprintf("gateways=%d/backends=%d", size.gateways, size.servers), func(b *testing.B) {
			var entitlements []protocol.Entitlement
			for i := range size.accounts / 10 {
				entitlements = append(entitlements, protocol.Entitlement{Account: fmt.Sprintf("tenant%d", i), Part: 0.3, Extra: 0.4})
			}
			loadTotals := make([]protocol.ServerLoad, size.servers)
			var feed registry.LoadFeed
			bytes := 0
			n := uint32(0)
			for b.Loop() {
				n++
				for i := range loadTotals {
					loadTotals[i] = protocol.ServerLoad{Handle: uint32(i + 1), Requests: 30 + n%9, Tokens: 20_000 + n%999}
				}
				m, err := protocol.Encode(protocol.Fleet{
					Gateways: size.gateways, Loads: feed.Next(loadTotals, registry.NewFleetBudget(false, 0).Loads(size.gateways)), Entitlements: entitlements,
				})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(m)
			}
			b.ReportMetric(float64(bytes), "B/message")
		})
	}
}

// BenchmarkSum reports the time to sum up the reports of all gateways, which happens ten times per
// second.
func BenchmarkSum(b *testing.B) {
	u := newUsage()
	for i := range 1600 {
		m := protocol.Usage{}
		for j := range 100 {
			m.Loads = append(m.Loads, protocol.ServerLoad{Handle: uint32((i*100+j)%10000 + 1), Requests: 3, Tokens: 2000})
		}
		u.addReport(&session{gateway: fmt.Sprint(i)}, m)
	}
	for b.Loop() {
		u.sumLoads()
	}
}

// BenchmarkAnnounce reports the time to apply one announcement without changes.
func BenchmarkAnnounce(b *testing.B) {
	r := registry.New(0, time.Second, registry.NewHandles(1))
	const servers = 10000
	announce := func(i int, seq uint64) {
		r.Announce(0, registry.Announcement{
			Registration: protocol.Registration{
				ID: fmt.Sprintf("i-%d", i), Pool: "p", Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 48,
			},
			Seq: seq,
		})
	}
	for i := range servers {
		announce(i, 1)
	}
	seq := uint64(2)
	i := 0
	for b.Loop() {
		announce(i, seq)
		if i++; i == servers {
			i = 0
			seq++
		}
	}
}

// BenchmarkLeaderSecond reports the CPU time of the leader's goroutine per second where sessions
// are spread: reports of its part of the gateways and of the relays, announcements every three
// seconds, load totals, shares and Fleet messages. Messages are encoded once for all sessions; sending
// them is not included.
func BenchmarkLeaderSecond(b *testing.B) {
	for _, size := range []struct{ gateways, servers, replicas, accounts int }{{985, 9998, 10, 333}, {1970, 20_000, 20, 333}} {
		b.Run(fmt.Sprintf("gateways=%d/backends=%d", size.gateways, size.servers), func(b *testing.B) {
			l := newLoadedLeader(size.servers, size.gateways/size.replicas, size.replicas-1, size.accounts)
			for b.Loop() {
				l.runSecond(b)
			}
		})
	}
}

// loadedLeader holds the tables of a leader with a busy fleet.
type loadedLeader struct {
	registry         *registry.Registry
	usage            *usage
	feed             registry.LoadFeed
	gateways, relays []*session
	servers          int
	accounts         []protocol.Demand
	now              time.Duration
	seq              uint64
}

func newLoadedLeader(servers, gateways, relays, accounts int) *loadedLeader {
	l := &loadedLeader{registry: registry.New(0, 3*time.Second, registry.NewHandles(1)), usage: newUsage(), servers: servers, now: time.Second}
	for i := range gateways {
		l.gateways = append(l.gateways, &session{gateway: fmt.Sprint("g", i)})
	}
	for i := range relays {
		l.relays = append(l.relays, &session{gateway: fmt.Sprint("r", i), isRelay: true, loads: map[uint32]protocol.ServerLoad{}})
	}
	for i := range accounts {
		l.accounts = append(l.accounts, protocol.Demand{Account: fmt.Sprint("tenant", i), Tokens: 2000})
	}
	for i := range servers {
		l.announce(i)
	}
	return l
}

func (l *loadedLeader) announce(i int) {
	l.registry.Announce(l.now, registry.Announcement{Seq: l.seq, Registration: protocol.Registration{
		ID: fmt.Sprint("i-", i), Pool: "p", Hall: fmt.Sprint("hall-", i%5), Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 16,
	}})
}

// runSecond simulates one second.
func (l *loadedLeader) runSecond(b *testing.B) {
	l.seq++
	for i := range l.servers / 3 {
		l.announce((i*3 + int(l.seq)) % l.servers)
	}
	for tick := range 10 {
		l.now += 100 * time.Millisecond
		for i, s := range l.gateways {
			l.usage.addReport(s, protocol.Usage{Loads: l.loads(3, i+tick), Demands: l.accounts[:3], Served: l.accounts[:3], Started: 6000})
		}
		for i, s := range l.relays {
			l.usage.addReport(s, protocol.Usage{Incremental: true, Loads: l.loads(registry.MaxRelayReportLoads/2, i+tick), Demands: l.accounts[:50], Served: l.accounts[:50], Started: 100_000})
		}
		l.usage.sumLoads()
		l.usage.demand.SetBusyFraction(l.registry.MaxBusyShare(l.usage.total, func(pool, _ string) string { return pool }))
		l.usage.demand.Recompute(l.now, 5e6)
		if _, err := protocol.Encode(protocol.Fleet{
			Gateways: len(l.gateways), Loads: l.feed.Next(l.usage.total, registry.NewFleetBudget(true, 125e6).Loads(len(l.gateways)+len(l.relays))),
			Entitlements: l.usage.demand.Entitlements(),
		}); err != nil {
			b.Fatal(err)
		}
	}
}

// loads returns loads of n servers, different ones on each call.
func (l *loadedLeader) loads(n, from int) (all []protocol.ServerLoad) {
	for i := range n {
		all = append(all, protocol.ServerLoad{Handle: uint32((from*97+i*31+int(l.seq))%l.servers + 1), Requests: uint32(1 + i%3), Tokens: uint32(i * 100)})
	}
	return all
}
