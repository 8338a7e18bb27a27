// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests hedges where they meet other rules than that of silence.

// maxOverlap is how long two servers may work on one stream.
const maxOverlap = 400 * time.Millisecond

// TestTwoServersDoNotWorkOnOneStream guards against a server that works on a stream for long after a hedge's server has
// begun to.
func TestTwoServersDoNotWorkOnOneStream(t *testing.T) {
	for _, after := range []int{0, 2} {
		for _, begins := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Hour} {
			t.Run(fmt.Sprintf("after event %d, hedge begins after %v", after, begins), func(t *testing.T) {
				withGateway(t, func(x *fixture) {
					is := is.New(x.t)
					ends := make(chan time.Time, 2)
					var beganAt time.Time
					hedge := later(begins, func(ctx context.Context, call forward.Call) (*forward.Response, error) {
						beganAt = time.Now()
						return resuming(6, 0, nil)(ctx, call)
					})
					x.announceInOrder([]behaviour{recorded(ends, pausing(6, after, silence)), recorded(ends, hedge)})
					got := x.request("/resume/x")
					is.Equal(got.body, wholeStream(6))
					if overlap := (<-ends).Sub(beganAt); !beganAt.IsZero() && overlap > maxOverlap {
						t.Errorf("two servers worked on the stream for %v", overlap)
					}
				})
			})
		}
	}
}

// TestLargeFailureOfHedgeIsWhole guards against a part of a failure that looks complete.
func TestLargeFailureOfHedgeIsWhole(t *testing.T) {
	body := strings.Repeat("x", 2*maxHeldAnswer)
	for _, status := range []int{404, 500} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			lost := later(1200*time.Millisecond, fails(forward.MayHaveRun{Err: errReset}))
			x.announceInOrder([]behaviour{lost, answers(status, body, 0)})
			got := x.request("/again/x")
			is.True(got.status != status || len(got.body) == len(body)) // whole, or another answer
		})
	}
}

// TestCommentDoesNotReplaceSilentServer guards against giving up a sound server for one that has sent no event.
func TestCommentDoesNotReplaceSilentServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		comment := streams(piece{text: ": wait\n\n"}, piece{after: 100 * time.Millisecond, err: errReset})
		x.announceInOrder([]behaviour{pausing(6, 0, silence), comment})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.True(!got.cut)
	})
}

// TestEmptyUnframedAnswerDoesNotReplaceSilentServer guards against giving up a sound server for an answer that may have
// been broken off before its first byte.
func TestEmptyUnframedAnswerDoesNotReplaceSilentServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{answers(200, "fine", silence), unframed(answers(200, "", 0))})
		is.Equal(x.request("/again/x").body, "fine")
	})
}

// TestFailureOfHedgeIsPassedOn guards against a caller who waits until the timeout for an answer that the gateway
// holds, because the first server is dead.
func TestFailureOfHedgeIsPassedOn(t *testing.T) {
	for _, status := range []int{302, 404, 500} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{hangs, answers(status, "nothing", 0)})
				got := x.request("/again/x")
				is.Equal(got.status, status)
				is.True(got.took <= maxPause+hedgePollInterval)
			})
		})
	}
}

// TestStreamWithoutIDsIsNoEvidence guards against ejecting a sound server because of pauses in streams that no other one
// can continue.
func TestStreamWithoutIDsIsNoEvidence(t *testing.T) {
	slow := streams(piece{text: "data: 1\n\n", after: pause}, piece{text: "data: 2\n\n", after: silence})
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() { x.request("/resume/x") })
		}
		time.Sleep(time.Second)
		is.Equal(x.state("p0"), outlier.InUse)
		callers.Wait()
	}, slow)
}

// TestServerThatDiesAfterSilenceIsReplaced guards against a server that sends one more event and then dies taking the
// last attempt with it.
func TestServerThatDiesAfterSilenceIsReplaced(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		dying := streams(piece{text: event(1), after: pause}, piece{text: event(2), after: 500 * time.Millisecond}, piece{after: time.Hour})
		x.announceInOrder([]behaviour{dying, later(200*time.Millisecond, resuming(6, 0, nil))})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
	})
}

// TestHangingTargetCountsAsFailed guards against a version that never answers and yet has no failure counted.
func TestHangingTargetCountsAsFailed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v2", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.5})
		x.renewShares()
		x.request("/again/x")
		is.True(x.failedAtTarget() > 0)
	}, hangs, hangs)
}

// TestUnneededHedgeIsNoMissingAnswer guards against counting a hedge that was not needed as a missing answer of the pool.
func TestUnneededHedgeIsNoMissingAnswer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{pausing(6, 2, silence), hangs})
		x.request("/resume/x")
		time.Sleep(time.Millisecond)
		x.g.table.mu.Lock()
		defer x.g.table.mu.Unlock()
		for _, r := range x.g.table.pool("plain").recentResults {
			is.True(r.answered)
		}
	})
}

// slowCaller takes a while for its second write.
type slowCaller struct {
	*httptest.ResponseRecorder
	writes int
}

func (s *slowCaller) Write(p []byte) (int, error) {
	if s.writes++; s.writes == 2 {
		time.Sleep(time.Second)
	}
	return s.ResponseRecorder.Write(p)
}

// TestSlowCallerIsNoSilence guards against evidence against a server, and hedges, because a caller reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		w := &slowCaller{ResponseRecorder: httptest.NewRecorder()}
		x.requestInto(x.t.Context(), "/resume/x", w)
		is.Equal(w.Body.String(), wholeStream(6))
		is.Equal(x.servers.count(), 1)
		is.Equal(x.counter(`badgerspoke_gateway_silences_total{pool="plain"}`), uint64(0))
	}, resuming(6, 0, nil), resuming(6, 0, nil))
}

// TestLateGatewayMakesNoMoreHedges guards against hedges for hedges whose answers a late gateway may not have read.
func TestLateGatewayMakesNoMoreHedges(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(3)
		x.announceServers("plain", hangs, hangs, hangs)
		var callers sync.WaitGroup
		callers.Go(func() { x.request("/resume/x") })
		time.Sleep(1500 * time.Millisecond)
		is.Equal(x.servers.count(), 2)
		release := x.holdDelay(2 * overload.DelayLate)
		time.Sleep(time.Second)
		arrivals := x.servers.count()
		release()
		callers.Wait()
		is.Equal(arrivals, 2)
	})
}

// TestOldTrialDoesNotEndNewOne guards against two trials of an ejected server at a time, after the first one was silent
// and ends late.
func TestOldTrialDoesNotEndNewOne(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		k := x.g.table.servers["p0"]
		assign := func() *assignment {
			x.g.table.mu.Lock()
			defer x.g.table.mu.Unlock()
			k.ownLoad.Requests++
			return &assignment{entry: k, serverID: "p0", startedAt: x.g.now(), trial: k.health.Sent(x.g.now())}
		}
		time.Sleep(time.Second)
		for range 3 {
			x.g.release(assign(), outlier.Lost)
		}
		time.Sleep(1600 * time.Millisecond)
		is.Equal(x.state("p0"), outlier.Trial)
		first := assign()
		is.True(first.trial)
		x.g.countSilence(first)
		time.Sleep(3100 * time.Millisecond)
		is.Equal(x.state("p0"), outlier.Trial)
		second := assign()
		is.True(second.trial)
		x.g.release(first, outlier.NoVerdict) // at its deadline
		is.Equal(x.state("p0"), outlier.Ejected)
		x.g.release(second, outlier.Answered)
	}, hangs)
}

// TestUnlistedServerThatGoesOnStays guards against forgetting a sound server because of a silence, while the directory
// does not list it yet.
func TestUnlistedServerThatGoesOnStays(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0
		x.g.table.mu.Lock()
		x.g.table.servers["p0"].unlisted = true
		x.g.table.mu.Unlock()
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() { is.Equal(x.request("/resume/x").body, wholeStream(6)) })
		}
		callers.Wait()
		is.Equal(x.request("/resume/x").status, 200)
	}, pausing(6, 2, silence))
}

// TestHedgeAfterUnreachableServerIsCharged guards against a hedge that no retry budget pays for, since an earlier one
// reached no server.
func TestHedgeAfterUnreachableServerIsCharged(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(4)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 2 // of 2 extra ones, 0.7 are used
		x.announceInOrder([]behaviour{hangs, fails(forward.NotRun{Err: errReset}), hangs, hangs})
		x.request("/resume/x")
		is.Equal(x.servers.count(), 3) // one of them unreachable, and one retry
	})
}
