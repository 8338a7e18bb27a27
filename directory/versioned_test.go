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
	unnamed bool // the old servers name no version
	fails   func(sinceOrder time.Duration) float64
	// gone is the time from the order until servers of the target become unreachable: the one that
	// received the first request, or all. Zero means never.
	gone    time.Duration
	allGone bool

	mu          sync.Mutex
	rng         *rand.Rand
	orderedAt   time.Time
	target      []time.Time // arrivals at the target
	old         []time.Time // arrivals at the old version
	first       string      // address of the target server with the first request
	minHeadroom float64     // smallest difference between the bound and the requests sent to the target
	bad         int         // failed answers of the target
	fifty       time.Time   // time of the 50th failed answer
}

func (v *versionedServers) DropIdle(string) {}
func (v *versionedServers) DropAllIdle()    {}

func (*versionedServers) Refuses(context.Context, string) bool { return false }

// recordArrival records a request and reports whether it fails.
func (v *versionedServers) recordArrival(address string) (fails bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if v.orderedAt.IsZero() {
		return false
	}
	if address < address4 {
		v.old = append(v.old, now)
		return false
	}
	v.target = append(v.target, now)
	if v.first == "" {
		v.first = address
	}
	sent, of := float64(len(v.target)), float64(len(v.target)+len(v.old))
	v.minHeadroom = min(v.minHeadroom, exposure.Share*of+exposure.Slack-sent)
	return v.fails != nil && v.rng.Float64() < v.fails(now.Sub(v.orderedAt))
}

var address4 = address("b4")

func (v *versionedServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Answer, error) {
	fails := v.recordArrival(at)
	if v.hasGone(at) {
		return nil, forward.NotRun{Server: at, Err: io.ErrClosedPipe}
	}
	if !sleep.For(ctx, 20*time.Millisecond) {
		return nil, forward.Unknown{Server: at, Err: ctx.Err()}
	}
	answer := &forward.Answer{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}
	if fails {
		answer.Status = 500
		v.countBad()
	}
	return answer, nil
}

func (v *versionedServers) hasGone(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gone > 0 && !v.orderedAt.IsZero() && time.Since(v.orderedAt) >= v.gone && address >= address4 && (v.allGone || address == v.first)
}

func (v *versionedServers) countBad() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.bad++; v.bad == 50 {
		v.fifty = time.Now()
	}
}

// exposed returns the number of requests sent to the target, the smallest headroom below the bound, and
// the time from the target's 50th failed answer to its last request, or 0 without such an answer.
func (v *versionedServers) exposed() (sent int, room float64, late time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.fifty.IsZero() {
		late = v.target[len(v.target)-1].Sub(v.fifty)
	}
	return len(v.target), v.minHeadroom, late
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
	return count(v.target), count(v.old)
}

// withRollout runs f in a fleet with gateways under load while a rollout to the target begins.
func (x *fleet) rolling(v *versionedServers, f func()) {
	is := is.New(x.t)
	x.put(1)
	stop := x.keepVersions(v)
	defer stop()
	for i := range 3 {
		x.startLoadedGateway(rolloutGateway(i), v, rolloutPeriod)
	}
	time.Sleep(3 * time.Second)
	v.mu.Lock()
	v.rng, v.minHeadroom = rand.New(rand.NewPCG(1, 2)), exposure.Slack
	v.mu.Unlock()
	is.NoErr(x.orderRollout(rollout.Order{Pool: "p", Target: "v2", Duration: rolloutTime}))
	v.mu.Lock()
	v.orderedAt = time.Now()
	v.mu.Unlock()
	f()
}

func rolloutGateway(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// announceVersions announces the servers of both versions in each interval until stop is called. The
// target's servers do not run before the order.
func (x *fleet) keepVersions(v *versionedServers) (stop func()) {
	versions := []string{"v1", "v2"}
	if v.unnamed {
		versions[0] = ""
	}
	ctx, cancel := context.WithCancel(x.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for range sleep.Every(ctx, interval) {
			for i := range 6 {
				if id := fmt.Sprint("b", i+1); v.allGone || !v.hasGone(address(id)) {
					x.announceVersion(id, versions[i/3])
				}
			}
		}
	})
	return func() { cancel(); running.Wait() }
}

// announceVersion announces a server. One of the target is announced only once a rollout is under way,
// since it would otherwise get requests by load.
func (x *fleet) announceVersion(id, version string) {
	d := x.leading()
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
	defer cancel()
	if _, err := d.Rollout(ctx, "p"); err != nil && version == "v2" {
		return
	}
	x.beats[id]++
	// A replica that has lost the lead refuses it.
	_ = d.Announce(ctx, registry.Announcement{
		Registration: protocol.Registration{ID: id, Pool: "p", Address: address(id), Slots: 40, Version: version}, Seq: x.beats[id],
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
