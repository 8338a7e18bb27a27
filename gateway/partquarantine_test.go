// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests how a gateway treats prompt parts whose requests crash servers.

func partKey(name string) []byte {
	k := quarantine.Part{Pool: "plain", Name: name}.Key()
	return k[:]
}

// listParts applies a leader's whole list with suspected and condemned parts. The first crashes were a second
// ago.
func (x *fixture) listParts(suspects map[string]int, condemned ...string) {
	m := protocol.Quarantine{Whole: true}
	for name, crashes := range suspects {
		m.SuspectParts = append(m.SuspectParts, protocol.SuspectPart{Key: partKey(name), Crashes: uint8(crashes), AgeMillis: 1000})
	}
	if len(condemned) > 0 {
		var set protocol.CondemnedParts
		for _, name := range condemned {
			set.Parts = append(set.Parts, partKey(name))
		}
		m.CondemnedParts = append(m.CondemnedParts, set)
	}
	x.g.suspicions.applyList(m)
}

// TestRequestWithCondemnedPartIsRefused checks that requests with a condemned part are refused, whatever else
// they hold, and no others.
func TestRequestWithCondemnedPartIsRefused(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.listParts(nil, "bad")
		for i, account := range []string{"key", "other"} {
			got := x.requestWith(x.t.Context(), "POST", fmt.Sprint("/again/", i), fmt.Sprint("body ", i), "Shared", "bad", "Key", account)
			is.Equal(got.status, 400)
			is.Equal(got.header.Get("Retry-After"), "")
		}
		is.Equal(x.servers.count(), 0)
		is.Equal(x.request("/again/x", "Shared", "good").status, 200)
		is.Equal(x.request("/again/x").status, 200)
		x.g.suspicions.applyList(protocol.Quarantine{RemovedParts: [][]byte{partKey("bad")}})
		is.Equal(x.request("/again/x", "Shared", "bad").status, 200)
	}, answers(200, "done", time.Millisecond))
}

// TestAnswerClearsListedPart checks which answers clear a listed part, also if they began before the list
// came, and that it is reported once.
func TestAnswerClearsListedPart(t *testing.T) {
	for _, tt := range []struct {
		name   string
		behave behaviour
		path   string
		clears bool
	}{
		{"answer", answers(200, "done", 0), "/again/x", true},
		{"stream", resuming(2, 0, nil), "/stream/x", true},
		{"stream that breaks after an event", resuming(4, 2, errReset), "/stream/x", true},
		{"answer without framing", unframed(answers(200, "part", 0)), "/again/x", true},
		{"nothing without framing", unframed(answers(200, "", 0)), "/again/x", false},
		{"stream without an event", unframed(streams()), "/stream/x", false},
		{"failure", answers(500, "no", 0), "/once/x", false},
		{"broken connection", breaksConnection, "/once/x", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, before := range []bool{false, true} {
				withGateway(t, func(x *fixture) {
					is := is.New(x.t)
					time.Sleep(time.Minute)
					if before {
						x.request(tt.path, "Shared", "part")
					}
					x.listParts(map[string]int{"part": 2})
					if !before {
						x.request(tt.path, "Shared", "part")
					}
					cleared := x.nextReport().BegunParts
					is.Equal(len(cleared) == 1, tt.clears)
					is.Equal(len(x.nextReport().BegunParts), 0)
				}, tt.behave)
			}
		})
	}
}

// TestOldAnswerClearsNoPart checks that an answer from before the first crash does not clear a part.
func TestOldAnswerClearsNoPart(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.request("/again/x", "Shared", "part")
		time.Sleep(2 * time.Second)
		x.listParts(map[string]int{"part": 2})
		is.Equal(len(x.nextReport().BegunParts), 0)
	}, answers(200, "done", 0))
}

// TestLossIsReportedWithParts checks that a lost request is reported with its parts, unless its answer had
// begun.
func TestLossIsReportedWithParts(t *testing.T) {
	for _, begun := range []bool{false, true} {
		behave := resuming(4, 2, errReset)
		if !begun {
			behave = breaksConnection
		}
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.request("/stream/x", "Shared", "part")
			x.servers.stop("10.0.5.0:80")
			time.Sleep(time.Second)
			u := x.nextReport()
			is.Equal(len(u.Losses), 1)
			is.Equal(len(u.LostParts) == 1, !begun)
			if !begun {
				is.Equal(u.LostParts[0].Names, []string{"part"})
			}
		}, behave)
	}
}

// TestNoRetryWithSuspectedPart checks that a request is not sent again once its part was at three crashes,
// its own included, or is condemned meanwhile.
func TestNoRetryWithSuspectedPart(t *testing.T) {
	for crashes, sent := range map[int]int{0: 2, 1: 2, 2: 1, 5: 1} { // the route allows two attempts
		withGateway(t, func(x *fixture) {
			x.listParts(map[string]int{"part": crashes})
			x.request("/again/x", "Shared", "part")
			is.New(x.t).Equal(x.servers.count(), sent)
		}, breaksConnection, breaksConnection)
	}
	withGateway(t, func(x *fixture) {
		time.AfterFunc(50*time.Millisecond, func() { x.listParts(nil, "part") })
		is := is.New(x.t)
		is.Equal(x.request("/again/x", "Shared", "part").status, 502)
		is.Equal(x.servers.count(), 1)
	}, breaksAfter(100*time.Millisecond), breaksAfter(100*time.Millisecond))
}

// TestWaitingRequestWithCondemnedPartIsNotSent checks a request whose part is condemned while it waits for a
// server.
func TestWaitingRequestWithCondemnedPartIsNotSent(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		d := testDocument()
		d.Number = 4
		d.Pools[0].Connections = 1 // a gateway uses at least two
		d.Routes[1].Objective = 10 * time.Second
		x.g.apply(d)
		var group sync.WaitGroup
		for i := range 2 {
			group.Go(func() { x.request(fmt.Sprint("/once/busy", i)) })
		}
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(50*time.Millisecond, func() { x.listParts(nil, "bad") })
		is.Equal(x.request("/again/x", "Shared", "bad").status, 400)
		is.Equal(x.servers.count(), 2)
		group.Wait()
	}, answers(200, "done", 200*time.Millisecond))
}

// TestUndecidedPartWaitsForDecision checks how long a request with an undecided part waits: until the part is
// condemned or cleared, at most for the time of a decision and for half of the time that it has left.
func TestUndecidedPartWaitsForDecision(t *testing.T) {
	for _, tt := range []struct {
		name     string
		patience string // milliseconds
		decide   func(x *fixture)
		status   int
		wait     time.Duration
	}{
		{"no decision", "3000", nil, 200, quarantine.DecisionWait},
		{"little time", "200", nil, 200, 100 * time.Millisecond},
		{"condemned", "3000", func(x *fixture) { x.listParts(nil, "part") }, 400, 60 * time.Millisecond},
		{"cleared", "3000", func(x *fixture) {
			x.g.suspicions.applyList(protocol.Quarantine{RemovedParts: [][]byte{partKey("part")}})
		}, 200, 60 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.listParts(map[string]int{"part": 3})
				if tt.decide != nil {
					time.AfterFunc(50*time.Millisecond, func() { tt.decide(x) })
				}
				got := x.request("/again/x", "Shared", "part", "Patience", tt.patience)
				is.Equal(got.status, tt.status)
				is.True(got.took >= tt.wait && got.took <= tt.wait+decisionPollInterval)
			}, answers(200, "done", 0))
		})
	}
}

// TestGatewayWithoutLeaderCondemnsParts checks that a gateway without a leader judges by its own evidence.
func TestGatewayWithoutLeaderCondemnsParts(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		for i := range 3 {
			at := fmt.Sprintf("10.0.5.%d:80", i)
			x.g.crashDetector.add(quarantine.TimedLoss{At: x.g.now(), Loss: quarantine.Loss{
				Key: requestKey(fmt.Sprint("/again/", i)), Pool: "plain", Server: fmt.Sprint("p", i), Address: at, RunTime: 50 * time.Millisecond,
				PoolAnswering: true, Parts: []string{"bad"},
			}})
			x.servers.stop(at)
			time.Sleep(time.Second)
		}
		is.Equal(x.request("/again/x", "Shared", "bad").status, 400)
		is.True(x.request("/again/x", "Shared", "good").status != 400)
		x.g.suspicions.beginSession()
		is.Equal(len(x.nextReport().LostParts), 3) // the next leader gets all of it
	}, answers(200, "done", 0), answers(200, "done", 0), answers(200, "done", 0), answers(200, "done", 0))
}

// TestNewLeaderForgetsNoSuspectedPart checks that a gateway still counts the crashes of a list that the next
// leader's first list lacks.
func TestNewLeaderForgetsNoSuspectedPart(t *testing.T) {
	withGateway(t, func(x *fixture) {
		x.listParts(map[string]int{"part": 2})
		x.listParts(nil) // the first list of the next leader
		x.request("/again/x", "Shared", "part")
		is.New(x.t).Equal(x.servers.count(), 1) // two crashes are known, so no attempt follows
	}, breaksConnection, breaksConnection)
}

// breaksAfter is a server that breaks each connection some time after the request has been sent.
func breaksAfter(delay time.Duration) behaviour {
	return func(ctx context.Context, _ forward.Call) (*forward.Response, error) {
		sleep.For(ctx, delay)
		return nil, forward.MayHaveRun{Err: errReset}
	}
}
