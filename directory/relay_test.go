// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/gateway"
)

// This file tests relays: the messages that their gateways receive, and failures of relays and leaders.

// withRelays runs f with the leader in the north, servers, gateways in both regions, and a document.
func withRelays(t *testing.T, servers, gateways int, f func(x *fleet, near, far []*gateway.Gateway)) {
	withTwoRegions(t, 1_000_000, func(x *fleet) {
		x.electLeaderIn(north)
		x.announceMany(servers)
		near, far := x.startGatewaysIn(north, gateways), x.startGatewaysIn(south, gateways)
		x.putDocument(1)
		time.Sleep(3 * time.Second)
		f(x, near, far)
	})
}

// awaitDocument puts a document, waits until it is in force at all gateways, and returns how long that
// took.
func (x *fleet) awaitDocument(number uint64, all ...*gateway.Gateway) time.Duration {
	x.putDocument(number)
	began := time.Now()
	for _, g := range all {
		for g.DocumentNumber() < number {
			time.Sleep(10 * time.Millisecond)
			if time.Since(began) > 20*time.Second {
				x.t.Fatalf("document %d is not in force after 20 s", number)
			}
		}
	}
	return time.Since(began)
}

// messagesSent returns the number of messages of a kind that a replica has sent.
func (n *directoryNode) messagesSent(kind string) uint64 {
	return n.metrics.GetOrCreateCounter(fmt.Sprintf(`badgerspoke_control_messages_total{direction="out",kind=%q}`, kind)).Get()
}

// bytesSentTo returns the bytes of a kind that a replica has sent to a region.
func (n *directoryNode) bytesSentTo(kind, region string) uint64 {
	return n.metrics.GetOrCreateCounter(fmt.Sprintf(`badgerspoke_directory_region_bytes_total{direction="out",kind=%q,region=%q}`, kind, region)).Get()
}

// TestRelayServesItsRegion checks that the two replicas in the region without the leader serve the
// gateways there, that the leader serves those of its own region, and that all receive servers, changes
// and departures.
func TestRelayServesItsRegion(t *testing.T) {
	t.Parallel()
	withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
		is := is.New(x.t)
		leader := x.awaitLeader()
		before := leader.messagesSent("fleet")
		time.Sleep(10 * time.Second)
		fleets := leader.messagesSent("fleet") - before
		is.True(fleets > 8*90) // to the gateways of its own region
		is.True(fleets < 11*101)
		for _, r := range x.relays(south) {
			is.True(r.messagesSent("fleet") > 0) // gateways are spread over both
		}
		is.True(leader.bytesSentTo("fleet", south) > 0)
		is.True(leader.bytesSentTo("fleet", south) < leader.bytesSentTo("fleet", north)) // two relays against eight gateways
		is.True(x.awaitDocument(2, append(near, far...)...) < 200*time.Millisecond)
		is.NoErr(leader.d.Announce(x.t.Context(), numberedAnnouncement(30, 1)))
		is.NoErr(leader.d.Withdraw(x.t.Context(), "b3"))
		time.Sleep(300 * time.Millisecond)
		for _, g := range append(near, far...) {
			is.Equal(len(g.Servers()), 20)
		}
	})
}

// TestRelayLoss kills, silences or cuts off one of two relays, which then returns. Its gateways must be
// served by the other relay within about a second, and receive documents again.
func TestRelayLoss(t *testing.T) {
	for _, how := range []string{"killed", "silent", "cut"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
				is := is.New(x.t)
				relays := x.relays(south)
				gone := relays[0]
				switch how {
				case "killed":
					gone.kill()
				case "silent":
					x.net.SilenceConnections()
				case "cut":
					x.net.Cut(gone.ip)
				}
				took := x.awaitDocument(2, append(near, far...)...)
				x.t.Logf("in force after %v", took)
				is.True(took < 2500*time.Millisecond)
				x.net.Restore(gone.ip)
				time.Sleep(6 * time.Second)
				is.True(x.awaitDocument(3, append(near, far...)...) < 300*time.Millisecond)
			})
		})
	}
}

// TestLossOfAllRelays checks that the leader serves the gateways of a region that has lost its relays, and
// that a relay serves them once it is back.
func TestLossOfAllRelays(t *testing.T) {
	t.Parallel()
	withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
		is := is.New(x.t)
		relays := x.relays(south)
		for _, r := range relays {
			r.kill()
		}
		took := x.awaitDocument(2, far...)
		x.t.Logf("in force after %v", took)
		is.True(took < 2500*time.Millisecond)
		x.startReplica(relays[0].ip, false)
		time.Sleep(20 * time.Second)
		leader := x.awaitLeader()
		before := leader.messagesSent("fleet")
		time.Sleep(10 * time.Second)
		is.True(leader.messagesSent("fleet")-before <= 9*101) // to eight gateways and the relay
		is.True(x.awaitDocument(3, append(near, far...)...) < 300*time.Millisecond)
	})
}

// TestLeaderServesGatewaysThatReachNoRelay checks that gateways that reach the leader but no relay,
// while the leader reaches both, are served by the leader until they reach the relays again.
func TestLeaderServesGatewaysThatReachNoRelay(t *testing.T) {
	t.Parallel()
	withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
		is := is.New(x.t)
		var apart []string
		for _, r := range x.relays(south) {
			apart = append(apart, r.ip)
		}
		for ip := range x.gateways {
			if x.regions[ip] == south {
				apart = append(apart, ip)
			}
		}
		defer x.net.HealPartitions() // also if the test fails, as dials would block forever
		x.net.Isolate(apart...)
		time.Sleep(4 * time.Second)
		took := x.awaitDocument(2, far...)
		x.t.Logf("in force after %v", took)
		is.True(took < 2*time.Second)
		x.net.HealPartitions()
		time.Sleep(20 * time.Second)
		leader := x.awaitLeader()
		before := leader.messagesSent("fleet")
		time.Sleep(5 * time.Second)
		is.True(leader.messagesSent("fleet")-before < 10*51+10) // to eight gateways and two relays
		is.True(x.awaitDocument(3, append(near, far...)...) < 300*time.Millisecond)
	})
}

// TestLeaderLossBehindRelays kills the leader six times, whichever region it is in. After each time
// all gateways must be served, by the relays of their region and not by the leader.
func TestLeaderLossBehindRelays(t *testing.T) {
	t.Parallel()
	withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
		is := is.New(x.t)
		for round := range uint64(6) {
			old := x.awaitLeader()
			old.kill()
			took := x.awaitDocument(round+2, append(near, far...)...)
			x.t.Logf("in force after %v", took)
			is.True(took < 2*time.Second)
			x.startReplica(old.ip, false)
			time.Sleep(20 * time.Second) // until gateways that had lost their only relay return to it
			leader := x.awaitLeader()
			before := leader.messagesSent("fleet")
			time.Sleep(5 * time.Second)
			served := 8 + len(x.relays(map[string]string{north: south, south: north}[x.regions[leader.ip]]))
			fleets := leader.messagesSent("fleet") - before
			x.t.Logf("the leader sent %d Fleet messages of at most %d", fleets, served*51)
			is.True(fleets <= uint64(served)*51) // the ticks at both ends of the period may count
		}
	})
}

// TestRegionPartition checks that the gateways of a region that is cut off keep their state, and catch up
// when it is reconnected.
func TestRegionPartition(t *testing.T) {
	t.Parallel()
	withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
		is := is.New(x.t)
		x.net.CutRegion(south)
		time.Sleep(10 * time.Second)
		is.True(x.awaitDocument(2, near...) < 300*time.Millisecond)
		for _, g := range far {
			is.Equal(g.DocumentNumber(), uint64(1))
			is.Equal(len(g.Servers()), 20)
		}
		x.net.RestoreRegion(south)
		began := time.Now()
		for _, g := range far {
			for g.DocumentNumber() < 2 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		x.t.Logf("in force after %v", time.Since(began))
		is.True(time.Since(began) < 2*time.Second)
	})
}

// TestPartitionedRelayRedirectsGateways: a relay is partitioned from all other replicas but not from its gateways. It must
// redirect them, so that a document that is accepted meanwhile is in force at all gateways within 3.5 s.
func TestPartitionedRelayRedirectsGateways(t *testing.T) {
	t.Parallel()
	withRelays(t, 20, 8, func(x *fleet, near, far []*gateway.Gateway) {
		is := is.New(x.t)
		defer x.net.HealPartitions() // also if the test fails, as dials would block forever
		for i, ip := range []string{x.relays(south)[0].ip, x.relays(south)[1].ip} {
			for _, other := range x.ips {
				if other != ip {
					x.net.Partition(ip, other)
				}
			}
			took := x.awaitDocument(uint64(i+2), append(near, far...)...)
			x.t.Logf("in force after %v", took)
			is.True(took <= 3500*time.Millisecond)
			x.net.HealPartitions()
			time.Sleep(10 * time.Second)
		}
	})
}
