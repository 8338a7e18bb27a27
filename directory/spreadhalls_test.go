// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests which replica serves a gateway where sessions are spread over data halls.

const (
	hallGateways = 60
	hallReplicas = 6
)

// withHallFleet runs f with two replicas in each of three halls, and gateways in all of them. The
// fleet is large enough for its links that sessions are spread.
func withHallFleet(t *testing.T, f func(c *largeFleet)) {
	withPreparedFleet(t, hallReplicas, voters, func(x *fleet) {
		x.linkRate, x.halls = largeFleetLinkRate, map[string]string{}
		for i := range hallReplicas {
			x.halls[fmt.Sprintf("10.0.1.%d", i+1)] = hallName(i)
			x.net.SetUplinkRate(fmt.Sprintf("10.0.1.%d", i+1), largeFleetLinkRate)
		}
		for i := range hallGateways {
			x.halls[fmt.Sprintf("10.0.2.%d", i+1)] = hallName(i)
		}
	}, func(x *fleet) {
		c := &largeFleet{fleet: x, servers: 500}
		x.putDocument(1)
		c.startGateways(hallGateways)
		time.Sleep(time.Second)
		c.announceOver(time.Second)
		f(c)
	})
}

func hallName(i int) string { return fmt.Sprint("hall-", i%3) }

// servedGateways returns how many gateways have a session, and how many of these have it with a
// replica of their own hall.
func (c *largeFleet) servedGateways() (all, inOwnHall int) {
	for _, ip := range c.ips {
		if c.nodes[ip].d == nil {
			continue
		}
		names, err := c.nodes[ip].d.ServedGateways(c.t.Context())
		is.New(c.t).NoErr(err)
		for _, name := range names {
			all++
			if c.halls[strings.TrimSuffix(name, ":7400")] == c.halls[ip] {
				inOwnHall++
			}
		}
	}
	return all, inOwnHall
}

// TestGatewaysAreServedInTheirHalls: soon after sessions are spread, every gateway is served by a
// replica of its own hall. If one replica is lost, the other one of the hall serves them; if both are
// lost, replicas of other halls do until some seconds after the hall's own replicas are back. Throughout,
// all gateways list all servers and get the newest document.
func TestGatewaysAreServedInTheirHalls(t *testing.T) {
	t.Parallel()
	withHallFleet(t, func(c *largeFleet) {
		is := is.New(c.t)
		number := uint64(1)
		checkServed := func(after time.Duration, wantInOwnHall int) {
			c.t.Helper()
			time.Sleep(after)
			all, inOwnHall := c.servedGateways()
			c.t.Logf("%d gateways served, %d by replicas of their own hall", all, inOwnHall)
			is.Equal(all, hallGateways)
			is.Equal(inOwnHall, wantInOwnHall)
			number++
			c.putDocument(number)
			is.True(c.awaitDocument(number, 5*time.Second) < time.Second)
			is.True(c.awaitFullLists(10 * time.Second))
		}
		checkServed(4*time.Second, hallGateways)
		c.nodes["10.0.1.2"].kill()
		checkServed(4*time.Second, hallGateways)
		c.nodes["10.0.1.5"].kill()
		checkServed(4*time.Second, hallGateways*2/3)
		c.startReplica("10.0.1.2", false)
		c.startReplica("10.0.1.5", false)
		checkServed(20*time.Second, hallGateways)
	})
}

// TestPartitionedReplicaRedirectsGateways: a replica is partitioned from all other replicas but not from
// its gateways. It must redirect them, so that a document that is accepted meanwhile is in force at
// all gateways within 3.5 s. The same holds if this replica is the leader.
func TestPartitionedReplicaRedirectsGateways(t *testing.T) {
	t.Parallel()
	withHallFleet(t, func(c *largeFleet) {
		is := is.New(c.t)
		time.Sleep(4 * time.Second)
		number := uint64(1)
		for _, leads := range []bool{false, true} {
			var ip string
			for _, ip = range c.ips {
				if c.nodes[ip].d.Leads() == leads {
					break
				}
			}
			for _, other := range c.ips {
				if other != ip {
					c.net.Partition(ip, other)
				}
			}
			number++
			c.putDocument(number)
			took := c.awaitDocument(number, 10*time.Second)
			c.t.Logf("in force after %v; leader cut off: %v", took, leads)
			is.True(took <= 3500*time.Millisecond)
			c.net.HealPartitions()
			time.Sleep(5 * time.Second)
		}
	})
}

// TestGatewayStaysAwayFromUnreachableReplica: gateways that cannot reach their assigned replica must
// stay at another one, and not be sent back with each tick.
func TestGatewayStaysAwayFromUnreachableReplica(t *testing.T) {
	t.Parallel()
	withHallFleet(t, func(c *largeFleet) {
		is := is.New(c.t)
		time.Sleep(4 * time.Second)
		var cutOff []string
		for _, ip := range c.ips {
			if n := c.nodes[ip]; !n.d.Leads() {
				names, err := n.d.ServedGateways(c.t.Context())
				is.NoErr(err)
				for _, name := range names {
					cutOff = append(cutOff, strings.TrimSuffix(name, ":7400"))
				}
				c.net.Partition(ip, cutOff...)
				break
			}
		}
		is.True(len(cutOff) > 3)
		time.Sleep(4 * time.Second)
		opened := func() (n uint64) {
			for _, ip := range cutOff {
				_, watches := c.fleet.gateways[ip].controlTraffic("out", "watch")
				n += watches
			}
			return n
		}
		before := opened()
		c.putDocument(2)
		is.True(c.awaitDocument(2, 5*time.Second) < time.Second)
		time.Sleep(9 * time.Second)
		c.t.Logf("%d gateways opened %d sessions in 10 s", len(cutOff), opened()-before)
		is.True(opened()-before <= 2*uint64(len(cutOff)))
	})
}
