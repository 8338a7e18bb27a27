// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests the load totals and the demand across relays.

// reportingGateway is a gateway's side of a session: it reports the same work repeatedly and applies
// received messages as a gateway does.
type reportingGateway struct {
	x            *fleet
	ip           string
	baseRequests uint32 // requests on each server
	varies       bool   // the number of requests changes with each report

	mu         sync.Mutex
	term       uint64
	handles    map[string]uint32
	loadTotals map[uint32]protocol.ServerLoad
	countedSeq uint64
	seq        uint64
	gateways   int
	short      bool
	stop       context.CancelFunc
	servedBy   string // address of the replica that serves it; empty without one
}

// startReporter starts a reporting gateway in a region that dials these replicas in turn.
func (x *fleet) startReporter(ip, region string, baseRequests uint32, addresses ...string) *reportingGateway {
	x.place(ip, region)
	ctx, cancel := context.WithCancel(context.Background())
	r := &reportingGateway{x: x, ip: ip, baseRequests: baseRequests, stop: cancel}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			r.session(ctx, addresses[i%len(addresses)])
			sleep.For(ctx, 50*time.Millisecond)
		}
	}()
	return r
}

// session runs one session, and one with the replica that it is redirected to.
func (r *reportingGateway) session(ctx context.Context, address string) {
	id := link.Identity{Name: r.ip + ":7400", Key: fleetKey, Dial: r.x.net.DialerFrom(r.ip).DialContext}
	dialing, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	l, err := link.Dial(dialing, address, id, nil)
	cancel()
	if err != nil {
		return
	}
	defer l.Close()
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	if l.Send(ctx, protocol.Watch{Gateway: id.Name, DocumentNumber: 1000, Term: r.term, SupportsHalls: true, Region: r.x.regions[r.ip]}) != nil {
		return
	}
	first := true
	defer func() { r.mu.Lock(); r.servedBy = ""; r.mu.Unlock() }()
	for {
		m, err := l.ReceiveWithIdleTimeout(ctx, registry.LeaderTimeout)
		if err != nil {
			return
		}
		if e, ok := m.(protocol.WatchRedirect); ok {
			if first && e.Leader != "" && e.Leader != address {
				l.Close()
				r.session(ctx, e.Leader)
			}
			return
		}
		r.apply(m, address)
		if first {
			first = false
			go r.send(ctx, l)
		}
	}
}

// apply applies a received message.
func (r *reportingGateway) apply(m protocol.Message, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := m.(type) {
	case protocol.Servers:
		r.term, r.servedBy = m.Term, address
		if m.Whole {
			r.handles, r.loadTotals, r.seq, r.countedSeq = map[string]uint32{}, map[uint32]protocol.ServerLoad{}, 0, 0
		}
		for _, s := range m.Set {
			r.handles[s.ID] = s.Handle
		}
	case protocol.Counted:
		r.countedSeq = m.Seq
	case protocol.Fleet:
		registry.ApplyLoads(r.loadTotals, m.Loads)
		r.gateways, r.short = m.Gateways, m.Contended
	}
}

// send sends reports until ctx ends.
func (r *reportingGateway) send(ctx context.Context, l *link.Link) {
	for range sleep.Every(ctx, registry.ReportPeriod) {
		r.mu.Lock()
		r.seq++
		u := protocol.Usage{Seq: r.seq, Demands: []protocol.Demand{{Account: "a", Tokens: 100}}, Started: 100}
		for id, h := range r.handles {
			if id != "b1" && !r.varies {
				continue
			}
			u.Loads = append(u.Loads, protocol.ServerLoad{Handle: h, Requests: r.baseRequests + r.extraRequests(h)})
		}
		r.mu.Unlock()
		if l.Send(ctx, u) != nil {
			return
		}
	}
}

// extraRequests returns by how much a server's requests exceed the base number now. The caller holds mu.
func (r *reportingGateway) extraRequests(handle uint32) uint32 {
	if !r.varies {
		return 0
	}
	return uint32(r.seq+uint64(handle)) % 3
}

// sum returns the number of requests on a server according to the load totals, and whether these include this
// gateway's own reports.
func (r *reportingGateway) sum(id string) (requests uint32, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadTotals[r.handles[id]].Requests, r.countedSeq > 0
}

// listTerm returns the term of the list and b1's handle in it.
func (r *reportingGateway) listTerm() (term uint64, handle uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term, r.handles["b1"]
}

// countOtherLoadedServers returns how many servers other than b1 have running requests according
// to the load totals.
func (r *reportingGateway) countOtherLoadedServers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for handle := range r.loadTotals {
		if handle != r.handles["b1"] {
			n++
		}
	}
	return n
}

func (r *reportingGateway) servingReplica() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servedBy
}

// awaitSum waits until all gateways have this load total for server b1, their own reports included, and returns
// how long that took.
func awaitSum(x *fleet, want uint32, all ...*reportingGateway) time.Duration {
	began := time.Now()
	for _, r := range all {
		for got, own := r.sum("b1"); got != want || !own; got, own = r.sum("b1") {
			if time.Since(began) > 5*time.Second {
				x.t.Fatalf("%s has %d of %d requests on b1, own reports included: %v, served by %q", r.ip, got, want, own, r.servingReplica())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestLoadTotalsAcrossRelays checks that the load totals at all gateways, behind two relays and at the leader,
// equal the number of running requests after a gateway moves between relays, a gateway stops, a relay is
// killed, and the leader is killed. While a gateway moves, its requests may count twice, but nothing
// else may.
func TestLoadTotalsAcrossRelays(t *testing.T) {
	t.Parallel()
	withTwoRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		x.announceMany(5)
		relays := x.relays(south)
		a, b := relays[0].ip+":7400", relays[1].ip+":7400"
		all := []*reportingGateway{
			x.startReporter("10.0.5.1", north, 1, x.addresses()...), x.startReporter("10.0.5.2", south, 10, a, b),
			x.startReporter("10.0.5.3", south, 100, b, a), x.startReporter("10.0.5.4", south, 1000, a, b),
		}
		defer func() {
			for _, r := range all {
				r.stop()
			}
		}()
		x.t.Logf("load totals after %v", awaitSum(x, 1111, all...))
		is.Equal(all[1].servingReplica(), a)
		is.Equal(all[2].servingReplica(), b)

		all[3].stop() // the gateway connects to the other relay instead
		all[3] = x.startReporter("10.0.5.4", south, 1000, b, a)
		largest := uint32(0)
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			got, _ := all[0].sum("b1")
			largest = max(largest, got)
		}
		x.t.Logf("load total of at most %d while a gateway moves", largest)
		is.True(largest <= 1111+1000)
		x.t.Logf("load totals after %v", awaitSum(x, 1111, all...))
		is.Equal(all[3].servingReplica(), b)

		relays[1].kill()
		time.Sleep(100 * time.Millisecond)
		x.t.Logf("load totals after the end of a relay after %v", awaitSum(x, 1111, all...))
		is.Equal(all[3].servingReplica(), a)
		x.startReplica(relays[1].ip, false)
		time.Sleep(3 * time.Second)

		is.NoErr(x.awaitLeader().d.Withdraw(x.t.Context(), "b0")) // so that the next leader assigns other handles
		time.Sleep(300 * time.Millisecond)
		term, handle := all[0].listTerm()
		x.awaitLeader().kill()
		began := time.Now()
		for _, r := range all {
			for now, _ := r.listTerm(); now == term; now, _ = r.listTerm() {
				time.Sleep(10 * time.Millisecond)
				is.Equal(all[0].countOtherLoadedServers(), 0)
			}
		}
		_, next := all[0].listTerm()
		is.True(next != handle)
		for range 100 {
			is.Equal(all[0].countOtherLoadedServers(), 0)
			time.Sleep(10 * time.Millisecond)
		}
		awaitSum(x, 1111, all...)
		x.t.Logf("load totals after the end of the leader after %v", time.Since(began))
		is.True(time.Since(began) < 3*time.Second)

		all[2].stop()
		time.Sleep(600 * time.Millisecond)
		x.t.Logf("load totals after the end of a gateway after %v", awaitSum(x, 1011, all[0], all[1], all[3]))
		is.Equal(all[0].gateways, 3)
	})
}

// TestLoadTotalsExcludeFrozenRelay freezes a relay: its links carry nothing in either direction for a while,
// and then all that was written meanwhile. Before that its gateways must be served elsewhere, and its
// old reports must no longer count.
func TestLoadTotalsExcludeFrozenRelay(t *testing.T) {
	t.Parallel()
	withTwoRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		x.announceMany(5)
		time.Sleep(2 * time.Second) // until the relays have their sessions
		relays := x.relays(south)
		a, b := relays[0].ip+":7400", relays[1].ip+":7400"
		all := []*reportingGateway{
			x.startReporter("10.0.5.2", south, 10, a, b), x.startReporter("10.0.5.3", south, 100, b, a), x.startReporter("10.0.5.4", south, 1000, a, b),
		}
		defer func() {
			for _, r := range all {
				r.stop()
			}
		}()
		awaitSum(x, 1110, all...)
		is.Equal([]string{all[0].servingReplica(), all[1].servingReplica(), all[2].servingReplica()}, []string{a, b, a})
		x.net.Cut(relays[0].ip)
		time.Sleep(1200 * time.Millisecond)
		x.t.Logf("load totals after %v", 1200*time.Millisecond+awaitSum(x, 1110, all...))
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			got, _ := all[1].sum("b1")
			is.Equal(fmt.Sprint(got), "1110")
		}
		for _, r := range all {
			is.Equal(r.servingReplica(), b)
		}
		time.Sleep(2 * time.Second)
		x.net.Restore(relays[0].ip)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			for _, r := range all {
				got, _ := r.sum("b1")
				is.Equal(fmt.Sprint(got), "1110")
			}
		}
	})
}
