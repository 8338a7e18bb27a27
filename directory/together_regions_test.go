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

// This file tests rollouts over two regions: one that is cut off, and servers of the target in
// one region only.

// regional is servers in two regions, each in the hall of its region's name.
type regional struct {
	countedServers
	x     *fleet
	halls [7]string // by the number of the server
	cut   atomic.Bool
}

// from is the servers as a gateway of a region reaches them.
type from struct {
	*regional
	region string
}

func (f from) Send(ctx context.Context, at string, call forward.Call) (*forward.Answer, error) {
	f.arrivalLog.record(f.region + at)
	for n, hall := range f.halls {
		if f.cut.Load() && at == serverAddress(fmt.Sprint("b", n)) && hall != f.region {
			return nil, forward.NotRun{Server: at, Err: io.ErrClosedPipe}
		}
	}
	return f.countedServers.Send(ctx, at, call)
}

// announce announces the servers that reach the leader.
func (r *regional) announce() {
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

// among counts what reached some servers between two moments.
func (r *regional) among(begin, end time.Time, servers ...int) int {
	return r.requestsSince(begin, servers...) - r.requestsSince(end, servers...)
}

// rollingOver is a rollout with two gateways in the north and one in the south.
func (x *fleet) rollingOver(v *versionedServers, d document.Held, halls [7]string, f func(r *regional)) {
	r := &regional{countedServers: newCountedServers(v), x: x, halls: halls}
	regions := map[string]string{rolloutGateway(0): north, rolloutGateway(1): north, rolloutGateway(2): south}
	load := func(ip string) {
		x.place(ip, regions[ip])
		x.startLoadedGateway(ip, from{r, regions[ip]}, rolloutPeriod)
	}
	x.runScenario(v, rolloutScenario{document: d, load: load, announce: r.announce}, func() { f(r) })
}

// bothHalls has servers of both versions in both regions.
var bothHalls = [7]string{1: north, 2: north, 3: south, 4: north, 5: north, 6: south}

// mustRefuse checks that no replica of a region that is cut off acknowledges an order.
func (x *fleet) mustRefuse(region string) {
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

// TestRegionIsCutOffInARollout: from some moment on, for 4 s. Both sides go on, orders at the
// minority's are refused, and the rollout ends as the target deserves, within the bound over both.
func TestRegionIsCutOffInARollout(t *testing.T) {
	fails20 := func(time.Duration) float64 { return 0.2 }
	fails60 := func(at time.Duration) float64 { return 0.6 * float64(at/(4*time.Second)) }
	for _, test := range []struct {
		name   string
		fails  func(time.Duration) float64
		state  document.RolloutState
		leader string // where it stands
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
				inRegions(t, 1_000_000, func(x *fleet) {
					v := &versionedServers{fails: test.fails}
					x.rollingOver(v, testDocument(1), bothHalls, func(r *regional) {
						time.Sleep(at)
						x.leadAfter(test.leader, 0)
						cutOff(x, v, r, test.state)
						is.New(x.t).True(test.fails == nil || minHeadroom(v) >= 0)
					})
				})
			})
		}
	}
}

// contact is how long a gateway that was cut off needs at most until it obeys the directory
// again, the bound of most deployments.
const contact = 3 * time.Second

// lease is how long a gateway's share lasts after its leader is lost, and what is on its way.
const lease = 2*time.Second + propagationTime

// cutOff cuts the south off for 4 s, and checks how the rollout ends.
func cutOff(x *fleet, v *versionedServers, r *regional, want document.RolloutState) {
	is := is.New(x.t)
	cut := time.Now()
	joined := cut.Add(4 * time.Second)
	r.cut.Store(true)
	x.net.CutRegion(south)
	time.AfterFunc(4*time.Second, func() {
		x.net.JoinRegion(south)
		r.cut.Store(false)
	})
	time.Sleep(time.Second)
	x.mustRefuse(south)
	state, after := x.awaitRolloutEnd(v)
	end := time.Now()
	x.t.Logf("cut off after %v, ended after %v, %.0f below the bound at least", cut.Sub(v.orderedAt), after, minHeadroom(v))
	is.Equal(state, want)
	is.True(after <= rolloutTime)
	time.Sleep(max(time.Until(joined), 0) + contact + time.Second)
	is.True(r.among(cut, joined, 1, 2, 4, 5) > 100)
	is.True(r.among(cut, joined, 3, 6) > 100)
	for _, n := range []int{4, 5, 6} { // without a leader nobody has a share
		unled, _ := r.arrivalLog.countSince(south+serverAddress(fmt.Sprint("b", n)), cut.Add(lease))
		ledAgain, _ := r.arrivalLog.countSince(south+serverAddress(fmt.Sprint("b", n)), joined)
		is.Equal(unled, ledAgain)
	}
	left := []int{4, 5, 6}
	if want == document.RolloutComplete {
		left = []int{1, 2, 3}
	}
	for _, n := range left {
		inTouch, _ := r.arrivalLog.countSince(north+serverAddress(fmt.Sprint("b", n)), end.Add(propagationTime))
		is.Equal(inTouch, 0)
	}
	both := end.Add(propagationTime)
	if inTouch := joined.Add(contact); inTouch.After(both) {
		both = inTouch
	}
	is.Equal(r.requestsSince(both, left...), 0)
}

// TestRolloutOverTwoRegions: once complete is said, no gateway sends to old servers, wherever it
// and they stand.
func TestRolloutOverTwoRegions(t *testing.T) {
	inRegions(t, 1_000_000, func(x *fleet) {
		is := is.New(x.t)
		v := &versionedServers{}
		x.rollingOver(v, testDocument(1), bothHalls, func(r *regional) {
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
