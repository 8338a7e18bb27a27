// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file tests what crosses between regions, and what it costs.

// TestBytesBetweenRegions: what the leader and the gateways of another region send each other
// does not grow with those gateways, and a document is in force at all of them at once,
// although the link carries little and every backend server has just announced itself.
func TestBytesBetweenRegions(t *testing.T) {
	const servers, measured = 600, 10 * time.Second
	crossed := map[int]uint64{}
	for _, gateways := range []int{5, 40} {
		inRegions(t, 1_000_000, func(x *fleet) {
			is := is.New(x.t)
			x.leadIn(north)
			x.announceMany(servers)
			all := append(x.gatewaysIn(north, gateways), x.gatewaysIn(south, gateways)...)
			time.Sleep(10 * time.Second)
			before := x.net.Crossed(north, south) + x.net.Crossed(south, north)
			time.Sleep(measured)
			crossed[gateways] = x.net.Crossed(north, south) + x.net.Crossed(south, north) - before
			x.put(1)
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

// TestAnnouncementsCrossAsNumbers: backend servers that announce themselves at the replicas of
// a region without the leader take few bytes of the link once the leader lists them, and stay
// listed for longer than one that is silent does.
func TestAnnouncementsCrossAsNumbers(t *testing.T) {
	const servers, seconds = 300, 45 // a silent one is forgotten after 40
	inRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		x.leadIn(north)
		g := x.gatewaysIn(south, 1)[0]
		relays := x.relays(south)
		ctx, stop := context.WithTimeout(x.t.Context(), seconds*time.Second)
		defer stop()
		var announcing sync.WaitGroup
		for i := range servers {
			announcing.Go(func() {
				time.Sleep(time.Duration(i) * interval / servers)
				for seq := uint64(1); ctx.Err() == nil; seq++ {
					is.NoErr(relays[i%2].d.Announce(x.t.Context(), manyServer(i, seq)))
					sleep.For(ctx, interval)
				}
			})
		}
		time.Sleep(5 * time.Second)
		before := x.net.Crossed(south, north)
		time.Sleep(10 * time.Second)
		perServer := (x.net.Crossed(south, north) - before) / 10 / servers
		least := servers
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			least = min(least, len(g.Servers()))
		}
		announcing.Wait()
		x.t.Logf("%d bytes a second for each server, listed at all times: %d", perServer, least)
		is.True(perServer < 25)
		is.Equal(least, servers)
	})
}
