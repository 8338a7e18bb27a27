// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file measures what the leader spends on gateways and backend servers.

// BenchmarkFleet reports the bytes of one Fleet message, and the time to make
// and encode it for one gateway, with every backend server in use and a tenth of the
// accounts beyond its share.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ gateways, servers, accounts int }{
		{9, 15, 16}, {60, 95, 30}, {1600, 10000, 5800},
	} {
		b.Run(fmt.Sprintf("gateways=%d/backends=%d", size.gateways, size.servers), func(b *testing.B) {
			u := newUsage()
			sessions := make([]*session, size.gateways)
			each := min(size.servers, 100) // that one gateway uses at a time
			for i := range sessions {
				sessions[i] = &session{}
				m := protocol.Usage{}
				for j := range each {
					m.Loads = append(m.Loads, protocol.ServerLoad{Handle: uint32((i*each+j)%size.servers + 1), Requests: 3, Tokens: 2000})
				}
				u.add(sessions[i], m)
			}
			var entitlements []protocol.Entitlement
			for i := range size.accounts / 10 {
				entitlements = append(entitlements, protocol.Entitlement{Account: fmt.Sprintf("tenant%d", i), Part: 0.3, Extra: 0.4})
			}
			bytes := 0
			u.sum()
			for b.Loop() {
				m, err := protocol.Encode(protocol.Fleet{Gateways: size.gateways, Loads: u.others(sessions[0]), Entitlements: entitlements})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(m)
			}
			b.ReportMetric(float64(bytes), "B/message")
		})
	}
}

// BenchmarkSum reports the time to add up all gateways' reports, ten times a
// second.
func BenchmarkSum(b *testing.B) {
	u := newUsage()
	for i := range 1600 {
		m := protocol.Usage{}
		for j := range 100 {
			m.Loads = append(m.Loads, protocol.ServerLoad{Handle: uint32((i*100+j)%10000 + 1), Requests: 3, Tokens: 2000})
		}
		u.add(&session{gateway: fmt.Sprint(i)}, m)
	}
	for b.Loop() {
		u.sum()
	}
}

// BenchmarkAnnounce reports the time to take one announcement that changes
// nothing.
func BenchmarkAnnounce(b *testing.B) {
	r := registry.New(0, time.Second)
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
