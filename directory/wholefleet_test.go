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

// This file tests a directory whose fleet is large for its boxes' links: the whole list of backend
// servers to every gateway takes the leader's link for many election timeouts.
//
// In a fleet of 985 gateways and 9,998 backend servers without any fault no leader led for longer
// than 1.4 s. Each was asked for the whole list by all gateways at once, 729 MB on a link of a
// gigabit, and its heartbeats waited behind them; the next one was asked the same. "leads, term
// 2; 806 sessions opened within the second; leads no more" after 1.4 s, and so on for as long as
// it was watched.

// crowd is a fleet whose lists take a box's link for a time.
type crowd struct {
	*fleet
	gateways []*gateway.Gateway
	servers  int
}

// size is how many gateways and servers a fleet has.
type size struct{ gateways, servers int }

// A link of some bytes a second which the lists to all gateways of the smaller size take for 5.8 s:
// so long take 985 lists of 740 KB on a gigabit. Twice as many gateways with twice as many servers
// take four times as long.
const crowdLink = 455_000

// Half as many gateways with twice as many servers are as many bytes.
var (
	crowdSizes = []size{{120, 500}, {240, 1000}}
	manyMore   = []size{{60, 1000}, {120, 2000}}
)

// inCrowd runs f with replicas whose links have that rate.
func inCrowd(t *testing.T, n size, f func(c *crowd)) {
	withPreparedFleet(t, voters, voters, func(x *fleet) {
		x.linkRate = crowdLink
		for i := range voters {
			x.net.SetUplinkRate(fmt.Sprintf("10.0.1.%d", i+1), crowdLink)
		}
	}, func(x *fleet) {
		x.putDocument(1)
		f(&crowd{fleet: x, servers: n.servers})
	})
}

// announceAll has every server announce itself at the leader, at once.
func (c *crowd) announceAll(seq uint64) {
	var announcing sync.WaitGroup
	for i := range c.servers {
		announcing.Go(func() {
			if d := c.leaderDirectory(); d != nil {
				_ = d.Announce(c.t.Context(), manyServer(i, seq)) // a later one makes up for it
			}
		})
	}
	announcing.Wait()
}

// come starts gateways, all at once.
func (c *crowd) come(n int) {
	for i := range n {
		c.gateways = append(c.gateways, c.gateway(fmt.Sprintf("10.0.2.%d", i+1)))
	}
}

// termsLed returns how many times a replica has begun to lead.
func (c *crowd) termsLed() (n uint64) {
	for _, node := range c.nodes {
		n += node.metrics.GetOrCreateCounter("badgerspoke_directory_terms_led_total").Get()
	}
	return n
}

// inForce waits until a document is in force at every gateway, and returns how long that took; no
// longer than a bound.
func (c *crowd) inForce(number uint64, bound time.Duration) time.Duration {
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

// documentsInTime puts four documents, a second apart, and checks that each is in force within a second.
func (c *crowd) documentsInTime() {
	is := is.New(c.t)
	for number := uint64(2); number < 6; number++ {
		c.putDocument(number)
		took := c.inForce(number, 5*time.Second)
		c.t.Logf("document %d in force after %v, %d gateways know all servers, terms led %d", number, took, c.known(), c.termsLed())
		is.True(took < time.Second)
		time.Sleep(time.Second)
	}
}

// knowAll waits until every gateway knows all servers, and reports whether that was within a bound.
func (c *crowd) knowAll(bound time.Duration) bool {
	for began := time.Now(); time.Since(began) < bound; time.Sleep(100 * time.Millisecond) {
		if c.known() == len(c.gateways) {
			return true
		}
	}
	return false
}

// known returns how many gateways know all servers.
func (c *crowd) known() (n int) {
	for _, g := range c.gateways {
		if len(g.Servers()) == c.servers {
			n++
		}
	}
	return n
}

// atBothSizes plays a test at the size of the largest fleet and at twice that.
func atBothSizes(t *testing.T, sizes []size, f func(c *crowd, n size)) {
	t.Parallel()
	for _, n := range sizes {
		t.Run(fmt.Sprint(n.gateways), func(t *testing.T) {
			t.Parallel()
			inCrowd(t, n, func(c *crowd) { f(c, n) })
		})
	}
}

// TestCrowdComesAtOnce: all gateways of a fleet open their sessions at the same moment. The
// leader goes on leading, and documents are in force within a second, also while lists are on
// their way.
func TestCrowdComesAtOnce(t *testing.T) { atBothSizes(t, crowdSizes, crowdComesAtOnce) }

func crowdComesAtOnce(c *crowd, n size) {
	is := is.New(c.t)
	c.announceAll(1)
	time.Sleep(2 * time.Second)
	led := c.termsLed()
	c.come(n.gateways)
	time.Sleep(time.Second)
	c.documentsInTime()
	is.True(c.knowAll(10 * time.Second))
	is.Equal(c.termsLed(), led)
}

// TestCrowdOfServersComesAtOnce: gateways have their sessions when all servers announce themselves
// within a second, so that changes of the list are as many bytes as the lists are. The leader goes on
// leading, documents are in force within a second, and all gateways know all servers.
//
// Where 985 gateways had their sessions with the leader and 9,998 servers announced themselves, the
// changes were twice what its link carries: it led no more after 1.6 s, before any other replica had
// got through to it.
func TestCrowdOfServersComesAtOnce(t *testing.T) { atBothSizes(t, manyMore, crowdOfServersComesAtOnce) }

func crowdOfServersComesAtOnce(c *crowd, n size) {
	is := is.New(c.t)
	c.come(n.gateways)
	time.Sleep(2 * time.Second)
	led := c.termsLed()
	c.announceWithin(time.Second)
	c.documentsInTime()
	is.True(c.knowAll(20 * time.Second)) // half of five links carries the entries in 9.3 s, to those that move twice
	is.Equal(c.termsLed(), led)
}

// announceWithin has every server announce itself at the leader, spread over a time.
func (c *crowd) announceWithin(d time.Duration) {
	for i := range c.servers {
		go func() {
			time.Sleep(time.Duration(i) * d / time.Duration(c.servers))
			for range 5 {
				if l := c.leaderDirectory(); l != nil && l.Announce(c.t.Context(), manyServer(i, 1)) == nil {
					return
				}
				time.Sleep(announceInterval)
			}
		}()
	}
}

// TestCrowdLosesItsLeader: a fleet that is calm loses its leader. Three seconds later there is
// another one, and it stays; documents are in force within a second.
func TestCrowdLosesItsLeader(t *testing.T) { atBothSizes(t, crowdSizes, crowdLosesItsLeader) }

func crowdLosesItsLeader(c *crowd, n size) {
	is := is.New(c.t)
	c.announceAll(1)
	time.Sleep(2 * time.Second)
	c.come(n.gateways)
	is.True(c.knowAll(time.Minute))
	time.Sleep(3 * time.Second)
	before := c.listBytes()
	c.awaitLeader().kill()
	time.Sleep(3 * time.Second)
	led := c.termsLed()
	c.documentsInTime()
	is.True(c.knowAll(10 * time.Second))
	is.Equal(c.termsLed(), led)
	is.True(c.knowAll(10 * time.Second))
	lists := 0
	for i, after := range c.listBytes() {
		if after-before[i] > 1000 {
			lists++
		}
	}
	c.t.Logf("%d of %d gateways were sent lists", lists, n.gateways)
	is.True(lists <= 2*n.gateways/voters) // those that the leader served itself, by lot a fifth
}

// listBytes returns how many bytes of lists each gateway was sent.
func (c *crowd) listBytes() (all []uint64) {
	for i := range c.gateways {
		bytes, _ := c.fleet.gateways[fmt.Sprintf("10.0.2.%d", i+1)].controlTraffic("in", "backends")
		all = append(all, bytes)
	}
	return all
}
