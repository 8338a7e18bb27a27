// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests rollouts over two regions: one region is cut off, or the target has servers in one
// region only.

// regionalServers are servers in two regions, each in the hall that has its region's name.
type regionalServers struct {
	countedServers
	x     *fleet
	halls [7]string // by server number
	cut   atomic.Bool
}

// regionView is the servers as the gateways of a region reach them.
type regionView struct {
	*regionalServers
	region string
}

func (f regionView) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	f.arrivalLog.record(f.region + at)
	for n, hall := range f.halls {
		if f.cut.Load() && at == serverAddress(fmt.Sprint("b", n)) && hall != f.region {
			return nil, forward.NotRun{Server: at, Err: io.ErrClosedPipe}
		}
	}
	return f.countedServers.Send(ctx, at, call)
}

// announce announces the servers that reach the leader.
func (r *regionalServers) announce() {
	l := r.x.leaderDirectory()
	if l == nil {
		return
	}
	region := r.x.regions[strings.TrimSuffix(l.Address(), ":7400")]
	for n := 1; n < len(r.halls); n++ {
		s := versionedServer(n)
		s.Hall = r.halls[n]
		if r.halls[n] != "" && (!r.cut.Load() || r.halls[n] == region) {
			r.x.announceVersioned(registry.Announcement{Registration: s})
		}
	}
}

// arrivalsBetween counts the requests that reached some servers between two times.
func (r *regionalServers) arrivalsBetween(begin, end time.Time, servers ...int) int {
	return r.requestsSince(begin, servers...) - r.requestsSince(end, servers...)
}

// withRolloutOverRegions runs f during a rollout with two gateways in the north and one in the south.
func (x *fleet) withRolloutOverRegions(v *versionedServers, d document.StoredDocument, halls [7]string, f func(r *regionalServers)) {
	r := &regionalServers{countedServers: newCountedServers(v), x: x, halls: halls}
	regions := map[string]string{rolloutGatewayIP(0): north, rolloutGatewayIP(1): north, rolloutGatewayIP(2): south}
	load := func(ip string) {
		x.place(ip, regions[ip])
		x.startLoadedGateway(ip, regionView{r, regions[ip]}, rolloutPeriod)
	}
	x.runScenario(v, rolloutScenario{document: d, load: load, announce: r.announce}, func() { f(r) })
}

// serversInBothRegions places servers of both versions in both regions.
var serversInBothRegions = [7]string{1: north, 2: north, 3: south, 4: north, 5: north, 6: south}

// requireOrdersRefused checks that no replica of a region that is cut off acknowledges an order.
func (x *fleet) requireOrdersRefused(region string) {
	is := is.New(x.t)
	for _, ip := range x.ips {
		n := x.nodes[ip]
		if x.regions[ip] != region {
			continue
		}
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		for _, err := range []error{n.d.StartRollout(ctx, orderTo("v2")), n.d.StartRollout(ctx, orderTo("v3")), n.d.AbortRollout(ctx, "p", 1)} {
			is.True(errors.As(err, new(directory.Unavailable)) || errors.As(err, new(directory.NotLeader)))
		}
		cancel()
	}
}

// TestRegionPartitionDuringRollout cuts a region off for 4 s during a rollout. Both sides must keep
// serving requests, the minority must refuse orders, and the rollout must end as the target's quality
// requires, within the exposure bound of both regions together.
func TestRegionPartitionDuringRollout(t *testing.T) {
	fails20 := func(time.Duration) float64 { return 0.2 }
	fails60 := func(at time.Duration) float64 { return 0.6 * float64(at/(4*time.Second)) }
	for _, test := range []struct {
		name   string
		fails  func(time.Duration) float64
		state  document.RolloutState
		leader string // region of the leader
		at     []time.Duration
	}{
		{"good", nil, document.RolloutComplete, north, faultTimes},
		{"good", nil, document.RolloutComplete, south, []time.Duration{0}},
		{"20 %", fails20, document.RolloutRolledBack, north, []time.Duration{500 * time.Millisecond, 2 * time.Second}},
		{"20 %", fails20, document.RolloutRolledBack, south, []time.Duration{500 * time.Millisecond}},
		{"60 % after 4 s", fails60, document.RolloutRolledBack, north, []time.Duration{3 * time.Second, 4100 * time.Millisecond}},
		{"60 % after 4 s", fails60, document.RolloutRolledBack, south, []time.Duration{3 * time.Second}},
	} {
		for _, at := range test.at {
			t.Run(fmt.Sprint(test.name, " led from the ", test.leader, " ", at), func(t *testing.T) {
				withTwoRegions(t, 1_000_000, func(x *fleet) {
					v := &versionedServers{fails: test.fails}
					x.withRolloutOverRegions(v, testDocument(1), serversInBothRegions, func(r *regionalServers) {
						time.Sleep(at)
						x.electLeaderInWithPause(test.leader, 0)
						cutOffDuringRollout(x, v, r, test.state)
						is.New(x.t).True(test.fails == nil || minHeadroom(v) >= 0)
					})
				})
			})
		}
	}
}

// reconnectTime bounds the time until a gateway that was cut off follows the directory again. It is the
// bound of most deployments.
const reconnectTime = 3 * time.Second

// shareLeaseTime is how long a gateway applies its share after the loss of the leader, plus the time for
// requests in flight.
const shareLeaseTime = 2*time.Second + propagationTime

// cutOffDuringRollout cuts the south off for 4 s and checks how the rollout ends.
func cutOffDuringRollout(x *fleet, v *versionedServers, r *regionalServers, want document.RolloutState) {
	is := is.New(x.t)
	cut := time.Now()
	joined := cut.Add(4 * time.Second)
	r.cut.Store(true)
	x.net.CutRegion(south)
	time.AfterFunc(4*time.Second, func() {
		x.net.RestoreRegion(south)
		r.cut.Store(false)
	})
	time.Sleep(time.Second)
	x.requireOrdersRefused(south)
	state, after := x.awaitRolloutEnd(v)
	end := time.Now()
	x.t.Logf("cut off after %v, ended after %v, minimum headroom %.0f", cut.Sub(v.orderedAt), after, minHeadroom(v))
	is.Equal(state, want)
	is.True(after <= rolloutTime)
	time.Sleep(max(time.Until(joined), 0) + reconnectTime + time.Second)
	is.True(r.arrivalsBetween(cut, joined, 1, 2, 4, 5) > 100)
	is.True(r.arrivalsBetween(cut, joined, 3, 6) > 100)
	for _, n := range []int{4, 5, 6} { // without a leader no gateway has a share
		afterLease, _ := r.arrivalLog.countSince(south+serverAddress(fmt.Sprint("b", n)), cut.Add(shareLeaseTime))
		afterJoin, _ := r.arrivalLog.countSince(south+serverAddress(fmt.Sprint("b", n)), joined)
		is.Equal(afterLease, afterJoin)
	}
	drained := []int{4, 5, 6}
	if want == document.RolloutComplete {
		drained = []int{1, 2, 3}
	}
	for _, n := range drained {
		fromNorth, _ := r.arrivalLog.countSince(north+serverAddress(fmt.Sprint("b", n)), end.Add(propagationTime))
		is.Equal(fromNorth, 0)
	}
	reconnected := end.Add(propagationTime)
	if latest := joined.Add(reconnectTime); latest.After(reconnected) {
		reconnected = latest
	}
	is.Equal(r.requestsSince(reconnected, drained...), 0)
}

// TestRolloutAcrossRegions checks that after completion no gateway in either region sends requests to
// old servers in either region.
func TestRolloutAcrossRegions(t *testing.T) {
	withTwoRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		v := &versionedServers{}
		x.withRolloutOverRegions(v, testDocument(1), serversInBothRegions, func(r *regionalServers) {
			state, after := x.awaitRolloutEnd(v)
			end := time.Now()
			is.Equal(state, document.RolloutComplete)
			is.True(after < 10*time.Second)
			time.Sleep(2 * time.Second)
			is.Equal(r.requestsSince(end.Add(propagationTime), 1, 2, 3), 0)
			is.True(r.requestsSince(end, 6) > 50)
		})
	})
}
