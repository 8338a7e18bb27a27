// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests the scenario in which whole lists delayed heartbeats, so that one leader after another
// was deposed: 40 gateways, 1,500 servers, and links that need 5.8 s for the lists of all gateways, or
// four times as long, at 75 bytes per server. One list takes 0.09 or 0.34 s of such a link.

const (
	slowLinkGateways = 40
	slowLinkServers  = 1500
	allListsTime     = 5800 * time.Millisecond
)

// withSlowLinkFleet runs f in that scenario, with all servers announced. listsTime is the time that the
// lists of all gateways need on one link.
func withSlowLinkFleet(t *testing.T, listsTime time.Duration, f func(c *largeFleet)) {
	t.Parallel()
	rate := int(slowLinkGateways * 75 * slowLinkServers / listsTime.Seconds())
	withPreparedFleet(t, voters, voters, func(x *fleet) {
		x.linkRate = float64(rate)
		for i := range voters {
			x.net.SetUplinkRate(fmt.Sprintf("10.0.1.%d", i+1), rate)
		}
	}, func(x *fleet) {
		c := &largeFleet{fleet: x, servers: slowLinkServers}
		c.announceAll(1)
		x.putDocument(1)
		time.Sleep(2 * time.Second)
		f(c)
	})
}

// checkSlowLinkConnect connects all gateways at once. The leader must keep its term, and documents
// must be in force within a second.
func checkSlowLinkConnect(c *largeFleet, listsTime time.Duration) {
	is := is.New(c.t)
	led := c.termsLed()
	c.startGateways(slowLinkGateways)
	time.Sleep(time.Second)
	c.checkDocumentDelay()
	is.True(c.awaitFullLists(listsTime))
	is.Equal(c.termsLed(), led)
}

func TestAllGatewaysConnectOverSlowLinks(t *testing.T) {
	withSlowLinkFleet(t, allListsTime, func(c *largeFleet) { checkSlowLinkConnect(c, allListsTime) })
}

func TestAllGatewaysConnectOverSlowerLinks(t *testing.T) {
	withSlowLinkFleet(t, 4*allListsTime, func(c *largeFleet) { checkSlowLinkConnect(c, 4*allListsTime) })
}

// checkSlowLinkLeaderLoss kills the leader. Three seconds later there must be a new one that keeps
// its term.
func checkSlowLinkLeaderLoss(c *largeFleet) {
	is := is.New(c.t)
	c.startGateways(slowLinkGateways)
	is.True(c.awaitFullLists(time.Minute))
	time.Sleep(3 * time.Second)
	c.awaitLeader().kill()
	time.Sleep(3 * time.Second)
	led := c.termsLed()
	c.checkDocumentDelay()
	is.True(c.awaitFullLists(10 * time.Second))
	is.Equal(c.termsLed(), led)
}

func TestLeaderLossOverSlowLinks(t *testing.T) {
	withSlowLinkFleet(t, allListsTime, checkSlowLinkLeaderLoss)
}

func TestLeaderLossOverSlowerLinks(t *testing.T) {
	withSlowLinkFleet(t, 4*allListsTime, checkSlowLinkLeaderLoss)
}
