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

// This file tests what one gateway does with the directory's list of requests under which servers
// end.

// theBody is the key of what [fixture.ask] sends to a path.
func theBody(path string) quarantine.Key {
	return quarantine.KeyOf("t", "POST", "host", path, []byte("a body"))
}

// list gives the gateway the whole list of a leader.
func (x *fixture) list(ends int, condemned bool, paths ...string) {
	m := protocol.Quarantine{Whole: true}
	for _, path := range paths {
		k := theBody(path)
		m.Set = append(m.Set, protocol.Quarantined{
			Key: k[:], Hint: uint32(quarantine.HintOf("t", "POST", "host", path, len("a body"))), Ends: uint8(ends), Condemned: condemned,
		})
	}
	x.g.suspicions.take(m)
}

// reported returns what the next report has of it.
func (x *fixture) reported() (u protocol.Usage) {
	x.g.suspicions.report(x.g.now(), &u)
	return u
}

// TestCondemnedIsRefused: that request alone, and only until it is listed no more.
func TestCondemnedIsRefused(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		x.list(3, true, "/again/deadly")
		r := x.request("/again/deadly")
		is.Equal(r.status, 400)
		is.Equal(r.header.Get("Retry-After"), "")
		is.Equal(x.servers.count(), 0)
		is.Equal(x.request("/again/deadly", "Key", "other").status, 200) // of another account
		is.Equal(x.request("/again/other").status, 200)
		is.Equal(x.requestWith(x.t.Context(), "POST", "/again/deadly", "a Body").status, 200) // of the same length
		k := theBody("/again/deadly")
		x.g.suspicions.take(protocol.Quarantine{Gone: [][]byte{k[:]}})
		is.Equal(x.request("/again/deadly").status, 200)
	}, answers(200, "done", time.Millisecond))
}

// TestAnsweredSuspectIsReported: a whole answer clears a suspect, a failure of the server's own and
// a broken answer do not.
func TestAnsweredSuspectIsReported(t *testing.T) {
	for _, tt := range []struct {
		does    behaviour
		cleared int
	}{
		{answers(200, "done", 0), 1}, {answers(404, "no", 0), 0}, {answers(500, "no", 0), 0}, {broken, 0},
		{fails(forward.NotRun{Err: io.EOF}), 0},
	} {
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.list(1, false, "/once/suspect")
			x.request("/once/suspect")
			x.request("/once/suspect")
			x.request("/once/other")
			cleared := x.reported().Cleared
			is.Equal(len(cleared), tt.cleared)
			is.Equal(len(x.reported().Cleared), 0) // once
			x.g.suspicions.told.Store(false)
			x.request("/once/suspect")
			is.Equal(len(x.reported().Cleared), 0) // to nobody
		}, tt.does)
	}
}

// TestThirdEndIsTheLast: no attempt follows the third end in a row, whichever of them are known
// from the list.
func TestThirdEndIsTheLast(t *testing.T) {
	for known, sent := range map[int]int{0: 2, 1: 2, 2: 1, 5: 1} { // the route allows two
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.list(known, false, "/again/deadly")
			is.Equal(x.request("/again/deadly").status, 502)
			is.Equal(x.servers.count(), sent)
		}, broken, broken, broken)
	}
}

// TestUndecidedWaits: a request at three ends waits for what becomes of it, and goes when nothing
// does.
func TestUndecidedWaits(t *testing.T) {
	for _, condemned := range []bool{false, true} {
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			x.list(3, false, "/again/deadly")
			if condemned {
				time.AfterFunc(100*time.Millisecond, func() { x.list(3, true, "/again/deadly") })
			}
			r := x.request("/again/deadly")
			is.Equal(r.status == 400, condemned)
			is.Equal(r.took >= quarantine.DecisionWait, !condemned)
			is.True(r.took <= quarantine.DecisionWait+50*time.Millisecond)
		}, answers(200, "done", 0))
	}
}

// TestAnswerBeforeTheEndIsKnown: the second attempt is answered before it shows that the first one's
// server has ended. Nothing is suspected.
func TestAnswerBeforeTheEndIsKnown(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		is.Equal(x.request("/again/unlucky").status, 200)
		x.servers.stop("10.0.5.0:80")
		x.servers.stop("10.0.5.1:80")
		time.Sleep(time.Second)
		is.Equal(len(x.reported().Losses), 0)
	}, broken, answers(200, "done", time.Millisecond))
}

// TestAloneAGatewayJudges: without a leader that lists anything it refuses what it saw at three
// ends itself, and tells the next leader all that it saw.
func TestAloneAGatewayJudges(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		is.Equal(x.request("/again/fine").status, 502) // all of them break connections
		time.Sleep(time.Second)                        // and it shows that they go on
		for i := range 3 {
			at := fmt.Sprintf("10.0.5.%d:80", i)
			x.g.endDetector.add(quarantine.TimedLoss{At: x.g.now(), Loss: quarantine.Loss{
				Key: theBody("/again/deadly"), Pool: "plain", Server: fmt.Sprint("p", i), Address: at, RunTime: 50 * time.Millisecond, PoolAnswering: true,
			}})
			x.servers.stop(at)
			time.Sleep(time.Second)
		}
		is.Equal(x.request("/again/deadly").status, 400)
		is.Equal(len(x.reported().Losses), 3)
		is.Equal(len(x.reported().Losses), 0)
		x.g.suspicions.beginSession()
		is.Equal(len(x.reported().Losses), 3)
		x.list(0, false) // a leader that knows of nothing decides now
		is.True(x.request("/again/deadly").status != 400)
	}, broken, broken, broken)
}

// TestUnreachedSaysNothing: attempts that reach nobody while a server is down do not hide that the
// pool answers.
func TestUnreachedSaysNothing(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(t)
		for range 10 {
			is.Equal(x.request("/again/").status, 200)
		}
		x.servers.stop("10.0.5.0:80")
		for range maxRecentEnds {
			x.request("/again/")
		}
		is.True(x.g.table.othersServe("plain", "another"))
	}, answers(200, "done", time.Millisecond))
}
