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

// This file defines a fleet with servers of two versions, gateways under load, and a rollout.

// Of each test's rollout.
const (
	rolloutTime   = 12 * time.Second
	rolloutPeriod = 20 * time.Millisecond // between two requests of a gateway
)

// versionedServers is backend servers b1 to b3 of the old version and b4 to b6 of the target, which
// answer after 20 ms; the target's fail a part.
type versionedServers struct {
	unnamed bool // the old servers name no version
	fails   func(sinceOrder time.Duration) float64
	// gone is after which time since the order servers of the target cannot be reached: the one
	// that had a request first, or all. 0: none.
	gone    time.Duration
	allGone bool

	mu          sync.Mutex
	rng         *rand.Rand
	orderedAt   time.Time
	target      []time.Time // arrivals at it
	old         []time.Time
	first       string  // server of the target that had a request
	minHeadroom float64 // the least that the bound left, at any moment
	bad         int     // answers of the target
	fifty       time.Time
}

func (v *versionedServers) DropIdle(string) {}
func (v *versionedServers) DropAllIdle()    {}

func (*versionedServers) Refuses(context.Context, string) bool { return false }

// recordArrival counts an arrival and returns whether it fails.
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
	v.minHeadroom = min(v.minHeadroom, rolloutBounds.Share*of+rolloutBounds.Slack-sent)
	return v.fails != nil && v.rng.Float64() < v.fails(now.Sub(v.orderedAt))
}

var address4 = serverAddress("b4")

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

// exposed returns how many requests the target had, the least that the bound left, and how long
// after its 50th bad answer the last came, 0 if there was none.
func (v *versionedServers) exposed() (sent int, room float64, late time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.fifty.IsZero() {
		late = v.target[len(v.target)-1].Sub(v.fifty)
	}
	return len(v.target), v.minHeadroom, late
}

// arrivalsAfter counts the arrivals at both versions arrivalsAfter a time.
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

// rolling is a fleet with gateways under load and a rollout to the target that begins now.
func (x *fleet) rolling(v *versionedServers, f func()) {
	is := is.New(x.t)
	x.putDocument(1)
	stop := x.keepVersions(v)
	defer stop()
	for i := range 3 {
		x.startLoadedGateway(rolloutGateway(i), v, rolloutPeriod)
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

func rolloutGateway(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// keepVersions announces the servers of both versions in each interval, until stop. Before the
// order the target's do not run.
func (x *fleet) keepVersions(v *versionedServers) (stop func()) {
	versions := []string{"v1", "v2"}
	if v.unnamed {
		versions[0] = ""
	}
	ctx, cancel := context.WithCancel(x.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for range sleep.Every(ctx, announceInterval) {
			for i := range 6 {
				if id := fmt.Sprint("b", i+1); v.allGone || !v.hasGone(serverAddress(id)) {
					x.announceVersion(id, versions[i/3])
				}
			}
		}
	})
	return func() { cancel(); running.Wait() }
}

// announceVersion announces a server of the target only once a rollout is under way: without
// one it would get its part of the requests.
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
	// Whoever does not lead any more refuses it.
	_ = d.Announce(ctx, registry.Announcement{
		Registration: protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 40, Version: version}, Seq: x.announceSeqs[id],
	})
}

// awaitRolloutEnd waits for the rollout's end and returns it, and how long after the order it was.
func (x *fleet) awaitRolloutEnd(v *versionedServers) (state document.RolloutState, after time.Duration) {
	for time.Since(v.orderedAt) < 2*rolloutTime {
		if state = x.newestRollout().State; state != document.RolloutUnderWay {
			return state, time.Since(v.orderedAt)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return state, time.Since(v.orderedAt)
}
