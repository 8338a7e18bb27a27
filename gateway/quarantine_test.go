// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests how a gateway applies the directory's list of requests during which servers
// crashed.

// requestKey returns the key of the request that [fixture.request] sends to a path.
func requestKey(path string) quarantine.Key {
	return quarantine.KeyOf("t", "POST", "host", path, []byte("a body"))
}

// listSuspects applies a leader's whole list with entries for the given paths.
func (x *fixture) listSuspects(crashes int, condemned bool, paths ...string) {
	m := protocol.Quarantine{Whole: true}
	for _, path := range paths {
		k := requestKey(path)
		m.Set = append(m.Set, protocol.Quarantined{
			Key: k[:], Hint: uint32(quarantine.HintOf("t", "POST", "host", path, len("a body"))), Ends: uint8(crashes), Condemned: condemned,
		})
	}
	x.g.suspicions.applyList(m)
}

// nextReport returns the quarantine part of the next report.
func (x *fixture) nextReport() (u protocol.Usage) {
	x.g.suspicions.addToReport(x.g.now(), &u)
	return u
}

// TestCondemnedRequestIsRefused checks that exactly the condemned request is refused, and only
// while it is listed.
func TestCondemnedRequestIsRefused(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		x.listSuspects(3, true, "/again/deadly")
		r := x.request("/again/deadly")
		is.Equal(r.status, 400)
		is.Equal(r.header.Get("Retry-After"), "")
		is.Equal(x.servers.count(), 0)
		is.Equal(x.request("/again/deadly", "Key", "other").status, 200) // another account
		is.Equal(x.request("/again/other").status, 200)
		is.Equal(x.requestWith(x.t.Context(), "POST", "/again/deadly", "a Body").status, 200) // another body of the same length
		k := requestKey("/again/deadly")
		x.g.suspicions.applyList(protocol.Quarantine{Removed: [][]byte{k[:]}})
		is.Equal(x.request("/again/deadly").status, 200)
	}, answers(200, "done", time.Millisecond))
}

// TestWholeAnswerClearsSuspectedRequest checks that a whole answer clears a suspected request, and
// that a server error or a broken answer does not.
func TestWholeAnswerClearsSuspectedRequest(t *testing.T) {
	for _, tt := range []struct {
		behave  behaviour
		cleared int
	}{
		{answers(200, "done", 0), 1}, {unframed(answers(200, "done", 0)), 0}, {answers(404, "no", 0), 0}, {answers(500, "no", 0), 0}, {breaksConnection, 0},
		{fails(forward.NotRun{Err: io.EOF}), 0},
	} {
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.listSuspects(1, false, "/once/suspect")
			x.request("/once/suspect")
			x.request("/once/suspect")
			x.request("/once/other")
			cleared := x.nextReport().Cleared
			is.Equal(len(cleared), tt.cleared)
			is.Equal(len(x.nextReport().Cleared), 0) // reported once
			x.g.suspicions.followsLeader.Store(false)
			x.request("/once/suspect")
			is.Equal(len(x.nextReport().Cleared), 0) // not reported without a session
		}, tt.behave)
	}
}

// TestNoAttemptAfterThreeServerCrashes checks that no attempt is made after servers crashed under
// three attempts, no matter how many of the crashes are known from the list.
func TestNoAttemptAfterThreeServerCrashes(t *testing.T) {
	for listedCrashes, sent := range map[int]int{0: 2, 1: 2, 2: 1, 5: 1} { // the route allows two attempts
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.listSuspects(listedCrashes, false, "/again/deadly")
			is.Equal(x.request("/again/deadly").status, 502)
			is.Equal(x.servers.count(), sent)
		}, breaksConnection, breaksConnection, breaksConnection)
	}
}

// TestUndecidedRequestWaitsForDecision checks that a request with three crashes waits for the
// leader's decision and is sent if there is none in time.
func TestUndecidedRequestWaitsForDecision(t *testing.T) {
	for _, condemned := range []bool{false, true} {
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.listSuspects(3, false, "/again/deadly")
			if condemned {
				time.AfterFunc(100*time.Millisecond, func() { x.listSuspects(3, true, "/again/deadly") })
			}
			r := x.request("/again/deadly")
			is.Equal(r.status == 400, condemned)
			is.Equal(r.took >= quarantine.DecisionWait, !condemned)
			is.True(r.took <= quarantine.DecisionWait+50*time.Millisecond)
		}, answers(200, "done", 0))
	}
}

// TestAnsweredRequestIsNotSuspectedLater checks that a request is not suspected if its second
// attempt is answered before the first attempt's server is found to have crashed.
func TestAnsweredRequestIsNotSuspectedLater(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		is.Equal(x.request("/again/unlucky").status, 200)
		x.servers.stop("10.0.5.0:80")
		x.servers.stop("10.0.5.1:80")
		time.Sleep(time.Second)
		is.Equal(len(x.nextReport().Losses), 0)
	}, breaksConnection, answers(200, "done", time.Millisecond))
}

// TestGatewayWithoutLeaderCondemnsByItsOwnEvidence checks that a gateway without a leader refuses a
// request that it has seen at three crashes, and reports all its evidence to the next leader.
func TestGatewayWithoutLeaderCondemnsByItsOwnEvidence(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		is.Equal(x.request("/again/fine").status, 502) // all servers break connections
		time.Sleep(time.Second)                        // long enough to find that the servers are still running
		for i := range 3 {
			at := fmt.Sprintf("10.0.5.%d:80", i)
			x.g.crashDetector.add(quarantine.TimedLoss{At: x.g.now(), Loss: quarantine.Loss{
				Key: requestKey("/again/deadly"), Pool: "plain", Server: fmt.Sprint("p", i), Address: at, RunTime: 50 * time.Millisecond, PoolAnswering: true,
			}})
			x.servers.stop(at)
			time.Sleep(time.Second)
		}
		is.Equal(x.request("/again/deadly").status, 400)
		is.Equal(len(x.nextReport().Losses), 3)
		is.Equal(len(x.nextReport().Losses), 0)
		x.g.suspicions.beginSession()
		is.Equal(len(x.nextReport().Losses), 3)
		x.listSuspects(0, false) // the list of a new leader, which is empty, now decides
		is.True(x.request("/again/deadly").status != 400)
	}, breaksConnection, breaksConnection, breaksConnection)
}

// crash sends a request that crashes the server at an address, and waits until that is found.
func (x *fixture) crash(path, address string) {
	x.request(path)
	x.servers.stop(address)
	time.Sleep(2 * crashProbeDelay)
}

// TestCrashCountsBeforeLeaderListsIt checks that a gateway counts a crash that it has seen although
// the leader's list does not include it, as when the link to the leader has gone silent.
func TestCrashCountsBeforeLeaderListsIt(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		x.request("/again/fine")
		x.listSuspects(2, false, "/again/deadly")
		x.crash("/again/deadly", "10.0.5.0:80")
		sent := x.servers.count()
		r := x.request("/again/deadly")
		is.True(r.took >= quarantine.DecisionWait) // the third crash makes the request undecided
		is.Equal(x.servers.count(), sent+1)        // and no attempt follows the next crash
	}, breaksConnection, answers(200, "done", time.Millisecond))
}

// TestNewLeaderForgetsNoSuspect checks that a gateway still counts the crashes of a list that the
// next leader's first list lacks, and that an answer at another gateway ends that.
func TestNewLeaderForgetsNoSuspect(t *testing.T) {
	for _, answered := range []bool{false, true} {
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.listSuspects(2, false, "/again/deadly")
			x.listSuspects(0, false) // the first list of the next leader
			if answered {
				k := requestKey("/again/deadly")
				x.g.suspicions.applyList(protocol.Quarantine{Removed: [][]byte{k[:]}})
			}
			x.request("/again/deadly")
			is.Equal(x.servers.count() == 1, !answered) // two crashes are known, so one more attempt is allowed
		}, breaksConnection, breaksConnection)
	}
}

// TestUndecidedRequestWaitsForNewLeader checks that a request that waits for a decision while the
// leader changes gives the next leader the time to decide.
func TestUndecidedRequestWaitsForNewLeader(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		x.listSuspects(3, false, "/again/deadly")
		newLeader := quarantine.DecisionWait - 50*time.Millisecond
		time.AfterFunc(newLeader, func() { x.listSuspects(0, false) })
		time.AfterFunc(newLeader+quarantine.SettleTime, func() { x.listSuspects(3, true, "/again/deadly") })
		is.Equal(x.request("/again/deadly").status, 400)
		is.Equal(x.servers.count(), 0)
	}, breaksConnection)
}

// TestOldListHidesNoLocalVerdict checks that a gateway without a leader refuses a request that it
// has condemned although the last leader's list has it as a suspect.
func TestOldListHidesNoLocalVerdict(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		x.listSuspects(1, false, "/again/deadly")
		x.g.suspicions.followsLeader.Store(false)
		for i := range 3 {
			x.g.suspicions.add(x.g.now(), []quarantine.TimedLoss{{At: x.g.now(), Loss: quarantine.Loss{
				Key: requestKey("/again/deadly"), Pool: "plain", Server: fmt.Sprint("p", i), RunTime: 50 * time.Millisecond, PoolAnswering: true,
			}}})
			time.Sleep(time.Second)
		}
		is.Equal(x.request("/again/deadly").status, 400)
	}, breaksConnection)
}

// TestUnreachedAttemptsDoNotHideAnswers checks that attempts that reach no server while one is down
// do not hide that the rest of the pool answers.
func TestUnreachedAttemptsDoNotHideAnswers(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		for range 10 {
			is.Equal(x.request("/again/").status, 200)
		}
		x.servers.stop("10.0.5.0:80")
		for range maxRecentResults {
			x.request("/again/")
		}
		is.True(x.g.table.othersAnswering("plain", "another"))
	}, answers(200, "done", time.Millisecond))
}
