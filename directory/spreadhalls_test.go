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

// inHalls runs f with two replicas in each of three halls, and gateways in all of them, in a fleet
// that is large for their links.
func inHalls(t *testing.T, f func(c *crowd)) {
	withPreparedFleet(t, hallReplicas, voters, func(x *fleet) {
		x.linkRate, x.halls = crowdLink, map[string]string{}
		for i := range hallReplicas {
			x.halls[fmt.Sprintf("10.0.1.%d", i+1)] = hallNamed(i)
			x.net.SetUplinkRate(fmt.Sprintf("10.0.1.%d", i+1), crowdLink)
		}
		for i := range hallGateways {
			x.halls[fmt.Sprintf("10.0.2.%d", i+1)] = hallNamed(i)
		}
	}, func(x *fleet) {
		c := &crowd{fleet: x, servers: 500}
		x.putDocument(1)
		c.come(hallGateways)
		time.Sleep(time.Second)
		c.announceWithin(time.Second)
		f(c)
	})
}

func hallNamed(i int) string { return fmt.Sprint("hall-", i%3) }

// served returns how many gateways have a session, and how many of them one with a replica of their
// own hall.
func (c *crowd) served() (all, atHome int) {
	for _, ip := range c.ips {
		if c.nodes[ip].d == nil {
			continue
		}
		names, err := c.nodes[ip].d.Serves(c.t.Context())
		is.New(c.t).NoErr(err)
		for _, name := range names {
			all++
			if c.halls[strings.TrimSuffix(name, ":7400")] == c.halls[ip] {
				atHome++
			}
		}
	}
	return all, atHome
}

// TestGatewaysAreServedInTheirHalls: all gateways are served by replicas of their own hall soon after
// the sessions are spread; by the other one when one is lost; elsewhere when both are, and at home
// again some seconds after they are back. All know all servers and the newest document throughout.
func TestGatewaysAreServedInTheirHalls(t *testing.T) {
	t.Parallel()
	inHalls(t, func(c *crowd) {
		is := is.New(c.t)
		number := uint64(1)
		settled := func(after time.Duration, wantHome int) {
			c.t.Helper()
			time.Sleep(after)
			all, home := c.served()
			c.t.Logf("%d served, %d at home", all, home)
			is.Equal(all, hallGateways)
			is.Equal(home, wantHome)
			number++
			c.putDocument(number)
			is.True(c.inForce(number, 5*time.Second) < time.Second)
			is.True(c.knowAll(10 * time.Second))
		}
		settled(4*time.Second, hallGateways)
		c.nodes["10.0.1.2"].kill()
		settled(4*time.Second, hallGateways)
		c.nodes["10.0.1.5"].kill()
		settled(4*time.Second, hallGateways*2/3)
		c.startReplica("10.0.1.2", false)
		c.startReplica("10.0.1.5", false)
		settled(20*time.Second, hallGateways)
	})
}

// TestReplicaIsCutOffFromTheOthers: a replica that serves gateways reaches no other replica, and its
// gateways reach it. It sends them away, and a document that was taken meanwhile is in force at all
// gateways within 3.5 s. So it is when the leader is the one that is cut off.
func TestReplicaIsCutOffFromTheOthers(t *testing.T) {
	t.Parallel()
	inHalls(t, func(c *crowd) {
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
					c.net.Part(ip, other)
				}
			}
			number++
			c.putDocument(number)
			took := c.inForce(number, 10*time.Second)
			c.t.Logf("in force after %v, with the leader cut off: %v", took, leads)
			is.True(took <= 3500*time.Millisecond)
			c.net.Reunite()
			time.Sleep(5 * time.Second)
		}
	})
}

// TestGatewayCannotReachItsReplica: gateways that cannot reach the replica that should serve them stay
// at another one, and are not sent back with each tick.
func TestGatewayCannotReachItsReplica(t *testing.T) {
	t.Parallel()
	inHalls(t, func(c *crowd) {
		is := is.New(c.t)
		time.Sleep(4 * time.Second)
		var cutOff []string
		for _, ip := range c.ips {
			if n := c.nodes[ip]; !n.d.Leads() {
				names, err := n.d.Serves(c.t.Context())
				is.NoErr(err)
				for _, name := range names {
					cutOff = append(cutOff, strings.TrimSuffix(name, ":7400"))
				}
				c.net.Part(ip, cutOff...)
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
		is.True(c.inForce(2, 5*time.Second) < time.Second)
		time.Sleep(9 * time.Second)
		c.t.Logf("%d gateways opened %d sessions in 10 s", len(cutOff), opened()-before)
		is.True(opened()-before <= 2*uint64(len(cutOff)))
	})
}
