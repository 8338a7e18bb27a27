// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests rollouts while sound servers fall silent for a while, and while servers hang.

// soundSilence is how long a sound server may be silent before it goes on.
const soundSilence = 1400 * time.Millisecond

// silentServers are versioned servers, some of which are silent at times: what they get or would send meanwhile is
// late until the silence is over.
type silentServers struct {
	*versionedServers
	// silentFor returns how much longer a server is silent, by the time since the order.
	silentFor func(server int, sinceOrder time.Duration) time.Duration
}

func (s silentServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	s.mu.Lock()
	ordered := s.orderedAt
	s.mu.Unlock()
	if !ordered.IsZero() {
		for n := 1; n <= 6; n++ {
			if at == serverAddress(fmt.Sprint("b", n)) && !sleep.For(ctx, s.silentFor(n, time.Since(ordered))) {
				s.recordArrival(at)
				return nil, forward.MayHaveRun{Server: at, Err: ctx.Err()}
			}
		}
	}
	return s.versionedServers.Send(ctx, at, call)
}

// silenceDocument is a document with one route whose requests may be repeated, or must not be.
func silenceDocument(kind document.Kind) document.StoredDocument {
	d := testDocument(1)
	r := &d.Document.Routes[0]
	r.Kind, r.MaxAttempts, r.Objective, r.Timeout = kind, 3, 250*time.Millisecond, 3*time.Second
	return d
}

// patientHeaders are testHeaders for callers that wait for a given time.
type patientHeaders struct {
	testHeaders
	patience time.Duration
}

func (h patientHeaders) DecodeRequest(r *http.Request) gateway.RequestHead {
	head := h.testHeaders.DecodeRequest(r)
	head.Timeout = h.patience
	return head
}

// silenceCase says which requests are sent.
type silenceCase struct {
	name     string
	kind     document.Kind
	patience time.Duration // of the callers
}

var silenceCases = []silenceCase{
	{"repeatable", document.Repeatable, 3 * time.Second},
	{"repeatable, impatient", document.Repeatable, 300 * time.Millisecond},
	{"once", document.Once, 3 * time.Second},
	{"once, impatient", document.Once, 300 * time.Millisecond},
}

// load returns a function that starts a gateway with one such request per period.
func (c silenceCase) load(x *fleet, servers gateway.Transport) func(ip string) {
	return func(ip string) {
		x.startGatewayWithLoad(ip, patientHeaders{patience: c.patience}, servers, func(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway) {
			for range sleep.Every(ctx, rolloutPeriod) {
				inFlight.Go(func() { x.sendRequest(g, "r") })
			}
		})
	}
}

// runSilentRollout runs a rollout and returns its end, with the smallest distance to the exposure bound.
func runSilentRollout(x *fleet, c silenceCase, silentFor func(int, time.Duration) time.Duration) (state document.RolloutState, after time.Duration, headroom float64) {
	v := &versionedServers{}
	s := silentServers{versionedServers: v, silentFor: silentFor}
	x.runScenario(v, rolloutScenario{document: silenceDocument(c.kind), load: c.load(x, s), announce: func() {
		for n := 1; n <= 6; n++ {
			x.announceVersioned(registry.Announcement{Registration: versionedServer(n)})
		}
	}}, func() {
		state, after = x.awaitRolloutEnd(v)
		headroom = minHeadroom(v)
	})
	return state, after, headroom
}

// silentFrom returns the rest of a silence that began at a time.
func silentFrom(began, now, d time.Duration) time.Duration {
	if now < began || now >= began+d {
		return 0
	}
	return began + d - now
}

// maxSilentRollbacks bounds how many of the 48 rollouts of TestSilenceDoesNotRollBack are rolled back. A gateway that has
// only one request at the silent server cannot tell the silence from an answer that hangs, and counts it.
const maxSilentRollbacks = 3

// TestSilenceDoesNotRollBack guards against a good version that is rolled back because one of its servers was silent
// for a while.
func TestSilenceDoesNotRollBack(t *testing.T) {
	var rolledBack atomic.Int64
	t.Run("rollouts", func(t *testing.T) {
		for _, c := range silenceCases {
			for server := 4; server <= 6; server++ {
				for _, at := range []time.Duration{time.Second, 3 * time.Second, 7300 * time.Millisecond, 8 * time.Second} {
					t.Run(fmt.Sprintf("%s, b%d, %v", c.name, server, at), func(t *testing.T) {
						t.Parallel()
						withFleet(t, 3, func(x *fleet) {
							state, after, _ := runSilentRollout(x, c, func(n int, now time.Duration) time.Duration {
								if n != server {
									return 0
								}
								return silentFrom(at, now, soundSilence)
							})
							x.t.Logf("%v after %v", state, after)
							if state != document.RolloutComplete {
								rolledBack.Add(1)
							}
						})
					})
				}
			}
		}
	})
	is.New(t).True(rolledBack.Load() <= maxSilentRollbacks)
}

// TestHangingVersionIsRolledBack guards against a version whose servers hang and that is taken for one whose servers are
// silent for a while.
func TestHangingVersionIsRolledBack(t *testing.T) {
	for _, c := range silenceCases {
		for _, at := range []time.Duration{0, 3 * time.Second, 5 * time.Second} {
			if c.kind == document.Once && at+c.patience > 7*time.Second {
				continue // the first requests end about when a rollout is completed
			}
			t.Run(fmt.Sprintf("%s, after %v", c.name, at), func(t *testing.T) {
				t.Parallel()
				withFleet(t, 3, func(x *fleet) { x.checkHangingVersion(c, at) })
			})
		}
	}
}

// TestVersionThatHangsAfterSwitch guards against a version that hangs when it gets all requests, and is completed
// because silent attempts count only once they end.
func TestVersionThatHangsAfterSwitch(t *testing.T) {
	for _, c := range silenceCases {
		if c.kind == document.Once && c.patience > time.Second {
			continue // their requests end after the completion
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) { x.checkHangingVersion(c, 7300*time.Millisecond) })
		})
	}
}

// checkHangingVersion checks that a version is rolled back that hangs from a time on.
func (x *fleet) checkHangingVersion(c silenceCase, at time.Duration) {
	is := is.New(x.t)
	state, after, headroom := runSilentRollout(x, c, func(n int, now time.Duration) time.Duration {
		if n <= 3 {
			return 0
		}
		return silentFrom(at, now, time.Hour)
	})
	x.t.Logf("%v after %v, %.0f below the bound at least", state, after, headroom)
	is.Equal(state, document.RolloutRolledBack)
	is.True(after <= rolloutTime)
	is.True(headroom >= 0)
}
