// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file tests the traffic between regions.

// TestRegionTrafficDoesNotGrowWithGateways checks that the traffic between the leader and another region
// does not grow with the gateways there. It also checks that all gateways receive a document at once,
// although the link is slow and every backend server has just been announced.
func TestRegionTrafficDoesNotGrowWithGateways(t *testing.T) {
	t.Parallel()
	const servers, measured = 600, 10 * time.Second
	crossed := map[int]uint64{}
	for _, gateways := range []int{5, 40} {
		withTwoRegions(t, 1_000_000, func(x *fleet) {
			is := is.New(x.t)
			x.electLeaderIn(north)
			x.announceMany(servers)
			all := append(x.startGatewaysIn(north, gateways), x.startGatewaysIn(south, gateways)...)
			time.Sleep(10 * time.Second)
			before := x.net.BytesBetweenRegions(north, south) + x.net.BytesBetweenRegions(south, north)
			time.Sleep(measured)
			crossed[gateways] = x.net.BytesBetweenRegions(north, south) + x.net.BytesBetweenRegions(south, north) - before
			x.putDocument(1)
			began := time.Now()
			for _, g := range all {
				for g.DocumentNumber() < 1 {
					time.Sleep(10 * time.Millisecond)
				}
			}
			is.True(time.Since(began) < 300*time.Millisecond)
		})
	}
	t.Logf("bytes between regions in %v: %d with 5 gateways in each, %d with 40", measured, crossed[5], crossed[40])
	is.New(t).True(crossed[40] < crossed[5]*3/2)
}

// TestRegionTrafficStaysWithinBudget checks that the traffic between regions stays below 50 KB/s in both
// directions together while the load of every server changes with every report of every gateway.
func TestRegionTrafficStaysWithinBudget(t *testing.T) {
	t.Parallel()
	const servers, gateways, measured = 600, 30, 10
	withTwoRegions(t, 7_500_000, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		x.announceMany(servers)
		for i := range 2 * gateways {
			region := []string{north, south}[i%2]
			r := x.startReporter(fmt.Sprintf("10.0.5.%d", i+1), region, uint32(i+1), x.addresses()...)
			r.varies = true
			defer r.stop()
		}
		time.Sleep(10 * time.Second)
		before := x.net.BytesBetweenRegions(north, south) + x.net.BytesBetweenRegions(south, north)
		time.Sleep(measured * time.Second)
		rate := (x.net.BytesBetweenRegions(north, south) + x.net.BytesBetweenRegions(south, north) - before) / measured
		x.t.Logf("%d bytes a second between regions", rate)
		is.True(rate < 50_000)
	})
}

// TestRepeatedAnnouncementsUseHandlesBetweenRegions checks that servers announced at the replicas of
// another region take few bytes of the link once the leader lists them, and stay listed beyond the time
// after which silent servers are removed.
func TestRepeatedAnnouncementsUseHandlesBetweenRegions(t *testing.T) {
	t.Parallel()
	const servers, seconds = 300, 45 // a silent server is removed after 40 s
	withTwoRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		g := x.startGatewaysIn(south, 1)[0]
		relays := x.relays(south)
		ctx, stop := context.WithTimeout(x.t.Context(), seconds*time.Second)
		defer stop()
		var announcing sync.WaitGroup
		for i := range servers {
			announcing.Go(func() {
				time.Sleep(time.Duration(i) * announceInterval / servers)
				for seq := uint64(1); ctx.Err() == nil; seq++ {
					is.NoErr(relays[i%2].d.Announce(x.t.Context(), numberedAnnouncement(i, seq)))
					sleep.For(ctx, announceInterval)
				}
			})
		}
		time.Sleep(5 * time.Second)
		before := x.net.BytesBetweenRegions(south, north)
		time.Sleep(10 * time.Second)
		perServer := (x.net.BytesBetweenRegions(south, north) - before) / 10 / servers
		least := servers
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			least = min(least, len(g.Servers()))
		}
		announcing.Wait()
		x.t.Logf("%d bytes per second and server, at least %d servers listed", perServer, least)
		is.True(perServer < 25)
		is.Equal(least, servers)
	})
}

// TestFleetRestartAcrossRegions cuts the power of all replicas and gateways while backend servers keep
// announcing themselves. Soon after the restart every gateway must serve again, with the document and
// nearly all servers.
func TestFleetRestartAcrossRegions(t *testing.T) {
	t.Parallel()
	const servers, gateways = 1200, 40
	withTwoRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		stop := x.announceAnywhereRepeatedly(servers)
		x.startGatewaysIn(north, gateways)
		x.startGatewaysIn(south, gateways)
		x.putDocument(1)
		time.Sleep(10 * time.Second)
		x.losePower()
		for _, g := range x.gateways {
			x.net.Kill(g.ip)
			g.kill()
		}
		time.Sleep(3 * time.Second)
		for _, ip := range x.ips {
			x.startReplica(ip, false)
		}
		for ip := range x.gateways {
			x.startGateway(ip)
		}
		began := time.Now()
		for ip, g := range x.gateways {
			for g.g.DocumentNumber() < 1 || len(g.g.Servers()) < servers*95/100 {
				if time.Since(began) > 20*time.Second {
					x.t.Fatalf("%s has document %d and %d servers", ip, g.g.DocumentNumber(), len(g.g.Servers()))
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		x.t.Logf("serves after %v", time.Since(began))
		is.True(time.Since(began) < 2*time.Second)
		stop()
	})
}

// announceAnywhereRepeatedly announces backend servers once per interval, each at any replica that
// answers, until stop is called.
func (x *fleet) announceAnywhereRepeatedly(servers int) (stop func()) {
	ctx, cancel := context.WithCancel(x.t.Context())
	var announcing sync.WaitGroup
	for i := range servers {
		announcing.Go(func() {
			sleep.For(ctx, time.Duration(i)*announceInterval/time.Duration(servers))
			for seq := uint64(1); ctx.Err() == nil; seq++ {
				x.announceAnywhere(ctx, i, seq)
				sleep.For(ctx, announceInterval)
			}
		})
	}
	return func() { cancel(); announcing.Wait() }
}

// announceAnywhere tries the replicas in turn until one accepts the announcement.
func (x *fleet) announceAnywhere(ctx context.Context, i int, seq uint64) {
	for try := i; try < i+2*len(x.ips) && ctx.Err() == nil; try++ {
		n := x.nodes[x.ips[try%len(x.ips)]]
		if d := n.current.Load(); d != nil {
			trying, cancel := context.WithTimeout(ctx, time.Second)
			err := d.Announce(trying, numberedAnnouncement(i, seq))
			cancel()
			if err == nil {
				return
			}
		}
		sleep.For(ctx, 100*time.Millisecond)
	}
}
