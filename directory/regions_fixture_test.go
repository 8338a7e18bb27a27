// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
)

// This file adds regions to the fixture: three replicas in the north, two in the south, and a link
// between the regions.

const (
	north, south       = "north", "south"
	interRegionLatency = 30 * time.Millisecond // one way
)

// withTwoRegions runs f in a fleet with two regions. The link between them carries bytesPerSecond each
// way.
func withTwoRegions(t *testing.T, bytesPerSecond int, f func(x *fleet)) {
	withPreparedFleet(t, voters, voters, func(x *fleet) {
		x.regions = map[string]string{}
		x.syncTime = 5 * time.Millisecond
		x.tuning = replica.Tuning{ElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 80 * time.Millisecond} // the values of a process
		x.net.SetRegionLink(interRegionLatency, bytesPerSecond)
		for i := range voters {
			x.place(fmt.Sprintf("10.0.1.%d", i+1), []string{north, north, north, south, south}[i])
		}
	}, f)
}

func (x *fleet) place(ip, region string) {
	x.regions[ip] = region
	x.net.SetRegion(ip, region)
}

// topology returns the fleet's topology: each region has one data hall of the same name.
func (x *fleet) topology() topology.Topology {
	halls := map[string]string{}
	for _, region := range x.regions {
		halls[region] = region
	}
	t, err := topology.New(halls)
	if err != nil {
		x.t.Fatal(err)
	}
	return t
}

// startGatewaysIn starts gateways in a region, each with its own address.
func (x *fleet) startGatewaysIn(region string, n int) (all []*gateway.Gateway) {
	for range n {
		ip := fmt.Sprintf("10.0.2.%d", len(x.gateways)+1)
		x.place(ip, region)
		all = append(all, x.startGateway(ip))
	}
	return all
}

// announceMany announces n backend servers at the leader.
func (x *fleet) announceMany(n int) {
	is := is.New(x.t)
	for i := range n {
		is.NoErr(x.awaitLeader().d.Announce(x.t.Context(), numberedAnnouncement(i, 1)))
	}
}

// numberedAnnouncement returns the announcement of backend server number i.
func numberedAnnouncement(i int, seq uint64) registry.Announcement {
	return registry.Announcement{Registration: protocol.Registration{
		ID: fmt.Sprintf("b%d", i), Pool: "p", Address: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200), Slots: 4,
	}, Seq: seq}
}

// relays returns the running replicas of a region except the leader.
func (x *fleet) relays(region string) (all []*directoryNode) {
	for _, ip := range x.ips {
		if n := x.nodes[ip]; x.regions[ip] == region && n.d != nil && !n.d.Leads() {
			all = append(all, n)
		}
	}
	return all
}

// electLeaderIn makes a replica of a region the leader, with enough time between restarts for it to
// remain the leader.
func (x *fleet) electLeaderIn(region string) { x.electLeaderInWithPause(region, 2*time.Second) }

// electLeaderInWithPause kills leaders until a replica of the region leads, and pauses after each restart.
func (x *fleet) electLeaderInWithPause(region string, pause time.Duration) {
	for range 20 {
		n := x.awaitLeader()
		if x.regions[n.ip] == region {
			return
		}
		n.kill()
		x.awaitLeader()
		x.startReplica(n.ip, false)
		time.Sleep(pause)
	}
	x.t.Fatalf("no replica in the %s became the leader", region)
}

// addresses returns the fleet addresses of all replicas.
func (x *fleet) addresses() (all []string) {
	for _, ip := range x.ips {
		all = append(all, ip+":7400")
	}
	return all
}
