// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file adds servers of two versions, gateways under load, and a rollout to the fixture.

// Times of each test's rollout.
const (
	rolloutTime   = 12 * time.Second
	rolloutPeriod = 20 * time.Millisecond // between two requests of a gateway
)

// versionedServers are backend servers that answer after 20 ms: b1 to b3 run the old version, b4 to b6
// the target, which fails a part of its requests.
type versionedServers struct {
	oldUnnamed bool // the old servers name no version
	fails      func(sinceOrder time.Duration) float64
	// unreachableAfter is the time from the order until the target server with the first request, or all
	// of them, become unreachable. Zero means never.
	unreachableAfter time.Duration
	allUnreachable   bool

	mu             sync.Mutex
	rng            *rand.Rand
	orderedAt      time.Time
	targetArrivals []time.Time // arrivals at the target
	oldArrivals    []time.Time // arrivals at the old version
	firstTarget    string      // address of the target server with the first request
	minHeadroom    float64     // smallest difference between the bound and the requests sent to the target
	badAnswers     int         // failed answers of the target
	fiftiethBadAt  time.Time   // time of the 50th failed answer
}

func (v *versionedServers) DropIdle(string) {}
func (v *versionedServers) DropAllIdle()    {}

func (*versionedServers) RefusesConnections(context.Context, string) bool { return false }

// recordArrival records a request and reports whether it fails.
func (v *versionedServers) recordArrival(address string) (fails bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if v.orderedAt.IsZero() {
		return false
	}
	if address < firstTargetAddress {
		v.oldArrivals = append(v.oldArrivals, now)
		return false
	}
	v.targetArrivals = append(v.targetArrivals, now)
	if v.firstTarget == "" {
		v.firstTarget = address
	}
	sent, total := float64(len(v.targetArrivals)), float64(len(v.targetArrivals)+len(v.oldArrivals))
	v.minHeadroom = min(v.minHeadroom, rolloutBounds.Share*total+rolloutBounds.Slack-sent)
	return v.fails != nil && v.rng.Float64() < v.fails(now.Sub(v.orderedAt))
}

var firstTargetAddress = serverAddress("b4")

func (v *versionedServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	fails := v.recordArrival(at)
	if v.isUnreachable(at) {
		return nil, forward.NotRun{Server: at, Err: io.ErrClosedPipe}
	}
	if !sleep.For(ctx, 20*time.Millisecond) {
		return nil, forward.MayHaveRun{Server: at, Err: ctx.Err()}
	}
	answer := &forward.Response{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}
	if fails {
		answer.Status = 500
		v.recordBadAnswer()
	}
	return answer, nil
}

func (v *versionedServers) isUnreachable(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreachableAfter > 0 && !v.orderedAt.IsZero() && time.Since(v.orderedAt) >= v.unreachableAfter && address >= firstTargetAddress && (v.allUnreachable || address == v.firstTarget)
}

func (v *versionedServers) recordBadAnswer() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.badAnswers++; v.badAnswers == 50 {
		v.fiftiethBadAt = time.Now()
	}
}

// measureExposure returns the number of requests sent to the target, the smallest headroom below the
// bound, and the time from the target's 50th failed answer to its last request, or 0 without such an
// answer.
func (v *versionedServers) measureExposure() (sent int, headroom float64, late time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.fiftiethBadAt.IsZero() {
		late = v.targetArrivals[len(v.targetArrivals)-1].Sub(v.fiftiethBadAt)
	}
	return len(v.targetArrivals), v.minHeadroom, late
}

// arrivalsAfter counts the arrivals at both versions after a time.
func (v *versionedServers) arrivalsAfter(from time.Time) (target, old int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := func(times []time.Time) (n int) {
		for _, t := range times {
			if t.After(from) {
				n++
			}
		}
		return n
	}
	return count(v.targetArrivals), count(v.oldArrivals)
}

// withRollout runs f in a fleet with gateways under load while a rollout to the target begins.
func (x *fleet) withRollout(v *versionedServers, f func()) {
	is := is.New(x.t)
	x.putDocument(1)
	stop := x.announceVersions(v)
	defer stop()
	for i := range 3 {
		x.startLoadedGateway(rolloutGatewayIP(i), v, rolloutPeriod)
	}
	time.Sleep(3 * time.Second)
	v.mu.Lock()
	v.rng, v.minHeadroom = rand.New(rand.NewPCG(1, 2)), rolloutBounds.Slack
	v.mu.Unlock()
	is.NoErr(x.orderRollout(rollout.Order{Pool: "p", Target: "v2", Duration: rolloutTime}))
	v.mu.Lock()
	v.orderedAt = time.Now()
	v.mu.Unlock()
	f()
}

func rolloutGatewayIP(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// announceVersions announces the servers of both versions in each interval until stop is called. The
// target's servers do not run before the order.
func (x *fleet) announceVersions(v *versionedServers) (stop func()) {
	versions := []string{"v1", "v2"}
	if v.oldUnnamed {
		versions[0] = ""
	}
	ctx, cancel := context.WithCancel(x.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for range sleep.Every(ctx, announceInterval) {
			for i := range 6 {
				if id := fmt.Sprint("b", i+1); v.allUnreachable || !v.isUnreachable(serverAddress(id)) {
					x.announceVersion(id, versions[i/3])
				}
			}
		}
	})
	return func() { cancel(); running.Wait() }
}

// announceVersion announces a server. Servers of the target are announced only once a rollout is under
// way; without one they would get their part of the requests.
func (x *fleet) announceVersion(id, version string) {
	d := x.leaderDirectory()
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
	defer cancel()
	if _, err := d.Rollout(ctx, "p"); err != nil && version == "v2" {
		return
	}
	x.announceSeqs[id]++
	// A replica that no longer leads refuses it.
	_ = d.Announce(ctx, registry.Announcement{
		Registration: protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 40, Version: version}, Seq: x.announceSeqs[id],
	})
}

// awaitRolloutEnd waits for the rollout's end and returns its state and the time since the order.
func (x *fleet) awaitRolloutEnd(v *versionedServers) (state document.RolloutState, after time.Duration) {
	for time.Since(v.orderedAt) < 2*rolloutTime {
		if state = x.newestRollout().State; state != document.RolloutUnderWay {
			return state, time.Since(v.orderedAt)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return state, time.Since(v.orderedAt)
}
