// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/gateway"
)

// This file tests a directory whose fleet is large for its boxes' links: sending the whole list of
// backend servers to every gateway takes the leader's link for many election timeouts.
//
// In a fleet of 985 gateways and 9,998 backend servers without any fault, no leader led for longer
// than 1.4 s. All gateways requested the whole list from it at once, 729 MB on a gigabit link, and
// its heartbeats were queued behind the lists. The next leader got the same requests, and so on.

// largeFleet is a fleet whose lists are large for its boxes' links.
type largeFleet struct {
	*fleet
	gateways []*gateway.Gateway
	servers  int
}

// fleetSize is the number of gateways and servers of a fleet.
type fleetSize struct{ gateways, servers int }

// largeFleetLinkRate is the capacity of a box's link, in bytes per second. The lists to all
// gateways of the smaller size take it 5.8 s, as long as 985 lists of 740 KB take a gigabit link.
// Twice as many gateways with twice as many servers take four times as long.
const largeFleetLinkRate = 455_000

// Half as many gateways with twice as many servers need the same number of bytes.
var (
	largeFleetSizes  = []fleetSize{{120, 500}, {240, 1000}}
	serverHeavySizes = []fleetSize{{60, 1000}, {120, 2000}}
)

// withLargeFleet runs f with replicas whose links have that capacity.
func withLargeFleet(t *testing.T, n fleetSize, f func(c *largeFleet)) {
	withPreparedFleet(t, voters, voters, func(x *fleet) {
		x.linkRate = largeFleetLinkRate
		for i := range voters {
			x.net.SetUplinkRate(fmt.Sprintf("10.0.1.%d", i+1), largeFleetLinkRate)
		}
	}, func(x *fleet) {
		x.putDocument(1)
		f(&largeFleet{fleet: x, servers: n.servers})
	})
}

// announceAll has all servers announce themselves to the leader at once.
func (c *largeFleet) announceAll(seq uint64) {
	var announcing sync.WaitGroup
	for i := range c.servers {
		announcing.Go(func() {
			if d := c.leaderDirectory(); d != nil {
				_ = d.Announce(c.t.Context(), numberedAnnouncement(i, seq)) // a later announcement replaces a lost one
			}
		})
	}
	announcing.Wait()
}

// startGateways starts gateways, all at once.
func (c *largeFleet) startGateways(n int) {
	for i := range n {
		c.gateways = append(c.gateways, c.startGateway(fmt.Sprintf("10.0.2.%d", i+1)))
	}
}

// termsLed returns how many terms of leaders have begun.
func (c *largeFleet) termsLed() (n uint64) {
	for _, node := range c.nodes {
		n += node.metrics.GetOrCreateCounter("badgerspoke_directory_terms_led_total").Get()
	}
	return n
}

// awaitDocument waits until a document is in force at every gateway, but no longer than bound, and
// returns the time it took.
func (c *largeFleet) awaitDocument(number uint64, bound time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < bound {
		behind := 0
		for _, g := range c.gateways {
			if g.DocumentNumber() < number {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// checkDocumentDelay puts four documents, a second apart, and checks that each is in force within a
// second.
func (c *largeFleet) checkDocumentDelay() {
	is := is.New(c.t)
	for number := uint64(2); number < 6; number++ {
		c.putDocument(number)
		took := c.awaitDocument(number, 5*time.Second)
		c.t.Logf("document %d in force after %v, %d gateways list all servers, terms led %d", number, took, c.gatewaysWithFullList(), c.termsLed())
		is.True(took < time.Second)
		time.Sleep(time.Second)
	}
}

// awaitFullLists waits until every gateway lists all servers, and reports whether that took less
// than bound.
func (c *largeFleet) awaitFullLists(bound time.Duration) bool {
	for began := time.Now(); time.Since(began) < bound; time.Sleep(100 * time.Millisecond) {
		if c.gatewaysWithFullList() == len(c.gateways) {
			return true
		}
	}
	return false
}

// gatewaysWithFullList returns how many gateways list all servers.
func (c *largeFleet) gatewaysWithFullList() (n int) {
	for _, g := range c.gateways {
		if len(g.Servers()) == c.servers {
			n++
		}
	}
	return n
}

// atBothSizes runs a test at the size of the largest fleet and at twice that size.
func atBothSizes(t *testing.T, sizes []fleetSize, f func(c *largeFleet, n fleetSize)) {
	t.Parallel()
	for _, n := range sizes {
		t.Run(fmt.Sprint(n.gateways), func(t *testing.T) {
			t.Parallel()
			withLargeFleet(t, n, func(c *largeFleet) { f(c, n) })
		})
	}
}

// TestAllGatewaysConnectAtOnce: all gateways of a fleet open their sessions at the same moment. The leader
// must keep its term, and documents must be in force within a second, also while lists are being
// sent.
func TestAllGatewaysConnectAtOnce(t *testing.T) {
	atBothSizes(t, largeFleetSizes, checkAllGatewaysConnect)
}

func checkAllGatewaysConnect(c *largeFleet, n fleetSize) {
	is := is.New(c.t)
	c.announceAll(1)
	time.Sleep(2 * time.Second)
	led := c.termsLed()
	c.startGateways(n.gateways)
	time.Sleep(time.Second)
	c.checkDocumentDelay()
	is.True(c.awaitFullLists(10 * time.Second))
	is.Equal(c.termsLed(), led)
}

// TestAllServersAnnounceAtOnce: the gateways have their sessions when all servers announce
// themselves within a second, so that the list changes are as large as the lists. The leader must
// keep its term, documents must be in force within a second, and all gateways must list all
// servers.
//
// With 985 gateways connected and 9,998 servers announcing themselves, the changes were twice the
// capacity of the leader's link: it lost its leadership after 1.6 s, before it had reached any
// other replica.
func TestAllServersAnnounceAtOnce(t *testing.T) {
	atBothSizes(t, serverHeavySizes, checkAllServersAnnounce)
}

func checkAllServersAnnounce(c *largeFleet, n fleetSize) {
	is := is.New(c.t)
	c.startGateways(n.gateways)
	time.Sleep(2 * time.Second)
	led := c.termsLed()
	c.announceOver(time.Second)
	c.checkDocumentDelay()
	is.True(c.awaitFullLists(20 * time.Second)) // half the capacity of five links takes 9.3 s for the entries; gateways that move get them twice
	is.Equal(c.termsLed(), led)
}

// announceOver has all servers announce themselves to the leader, evenly over a period.
func (c *largeFleet) announceOver(d time.Duration) {
	for i := range c.servers {
		go func() {
			time.Sleep(time.Duration(i) * d / time.Duration(c.servers))
			for range 5 {
				if l := c.leaderDirectory(); l != nil && l.Announce(c.t.Context(), numberedAnnouncement(i, 1)) == nil {
					return
				}
				time.Sleep(announceInterval)
			}
		}()
	}
}

// TestLargeFleetLosesLeader: an idle fleet loses its leader. Three seconds later there must be a new
// one that keeps its term, and documents must be in force within a second.
func TestLargeFleetLosesLeader(t *testing.T) { atBothSizes(t, largeFleetSizes, checkLeaderLoss) }

func checkLeaderLoss(c *largeFleet, n fleetSize) {
	is := is.New(c.t)
	c.announceAll(1)
	time.Sleep(2 * time.Second)
	c.startGateways(n.gateways)
	is.True(c.awaitFullLists(time.Minute))
	time.Sleep(3 * time.Second)
	before := c.listBytes()
	c.awaitLeader().kill()
	time.Sleep(3 * time.Second)
	led := c.termsLed()
	c.checkDocumentDelay()
	is.True(c.awaitFullLists(10 * time.Second))
	is.Equal(c.termsLed(), led)
	is.True(c.awaitFullLists(10 * time.Second))
	lists := 0
	for i, after := range c.listBytes() {
		if after-before[i] > 1000 {
			lists++
		}
	}
	c.t.Logf("%d of %d gateways were sent lists", lists, n.gateways)
	is.True(lists <= 2*n.gateways/voters) // those that the leader served itself, a fifth on average
}

// listBytes returns how many bytes of lists each gateway has received.
func (c *largeFleet) listBytes() (all []uint64) {
	for i := range c.gateways {
		bytes, _ := c.fleet.gateways[fmt.Sprintf("10.0.2.%d", i+1)].controlTraffic("in", "backends")
		all = append(all, bytes)
	}
	return all
}
