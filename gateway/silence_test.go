// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests that an answer of a sound backend server that falls silent for a while is not given up before
// another server has taken over.

// silence is how long a sound server sends nothing, longer than any stall timeout of the test routes.
const silence = 1400 * time.Millisecond

// pausing returns a behaviour that streams events up to last, starting after the one that the call names, and is
// silent for a time after the given event, 0 for before the first one.
func pausing(last, after int, d time.Duration) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		from, _ := strconv.Atoi(call.Header.Get("After"))
		if from == 0 && after == 0 && !sleep.For(ctx, d) {
			return nil, forward.MayHaveRun{Err: ctx.Err()}
		}
		var pieces []piece
		for id := from + 1; id <= last; id++ {
			p := piece{text: event(id), after: pause}
			if id == after+1 && after > 0 {
				p.after = d
			}
			pieces = append(pieces, p)
		}
		return streams(pieces...)(ctx, call)
	}
}

// replacements are behaviours of servers that cannot take over from a silent one.
var replacements = map[string]behaviour{
	"refuses":                  refuses(503),
	"unreachable":              fails(forward.NotRun{Err: errReset}),
	"resets the connection":    fails(forward.MayHaveRun{Err: errReset}),
	"silent for good":          hangs,
	"silent behind its header": streams(piece{text: event(1), after: time.Hour}),
	"fails":                    answers(500, "broken", 0),
	"knows nothing of it":      answers(404, "nothing", 0),
	"ends at once":             streams(),
	"breaks inside an event":   streams(piece{text: "id: 9\nda"}, piece{err: io.ErrUnexpectedEOF}),
}

// TestSilentServerIsNotGivenUpForNothing guards against requests that end without an answer because their sound
// server fell silent for a while and no other one could take over.
func TestSilentServerIsNotGivenUpForNothing(t *testing.T) {
	for name, replacement := range replacements {
		for _, after := range []int{0, 2} {
			if name == "ends at once" && after == 0 {
				continue // a whole answer
			}
			for attempts := 2; attempts <= 5; attempts++ {
				t.Run(fmt.Sprintf("%s, after event %d, %d attempts", name, after, attempts), func(t *testing.T) {
					withGateway(t, func(x *fixture) {
						is := is.New(x.t)
						x.allowAttempts(attempts)
						x.announceInOrder([]behaviour{pausing(6, after, silence), replacement, replacement, replacement, replacement})
						got := x.request("/resume/x")
						is.Equal(got.status, 200)
						is.Equal(got.body, wholeStream(6))
						is.True(!got.cut)
					})
				})
			}
		}
	}
}

// TestSilentPlainAnswerIsNotGivenUpForNothing is the same for plain answers.
func TestSilentPlainAnswerIsNotGivenUpForNothing(t *testing.T) {
	for name, replacement := range replacements {
		if name == "ends at once" {
			continue // a whole answer
		}
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{answers(200, "fine", silence), replacement, replacement})
				got := x.request("/again/x")
				is.Equal(got.status, 200)
				is.Equal(got.body, "fine")
			})
		})
	}
}

// TestSilentServersKeepTheirRequests guards against the same where all servers are silent at once.
func TestSilentServersKeepTheirRequests(t *testing.T) {
	for _, servers := range []int{1, 2, 6} {
		for _, after := range []int{0, 2} {
			for attempts := 2; attempts <= 5; attempts++ {
				t.Run(fmt.Sprintf("%d servers, after event %d, %d attempts", servers, after, attempts), func(t *testing.T) {
					withGateway(t, func(x *fixture) {
						is := is.New(x.t)
						x.allowAttempts(attempts)
						silentUntil := time.Now().Add(silence + time.Duration(after)*pause)
						alsoSilent := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
							if !sleep.For(ctx, time.Until(silentUntil)) {
								return nil, forward.MayHaveRun{Err: ctx.Err()}
							}
							return resuming(6, 0, nil)(ctx, call)
						}
						behaviours := []behaviour{pausing(6, after, silence)}
						for range servers - 1 {
							behaviours = append(behaviours, alsoSilent)
						}
						x.announceInOrder(behaviours)
						got := x.request("/resume/x")
						is.Equal(got.status, 200)
						is.Equal(got.body, wholeStream(6))
						is.True(!got.cut)
					})
				})
			}
		}
	}
}

// TestSilentServerIsKeptWithoutReplacement guards against requests that end without an answer because nothing was
// left to replace their silent server.
func TestSilentServerIsKeptWithoutReplacement(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(x *fixture)
	}{
		{"no retry budget", func(x *fixture) { x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0 }},
		{"hall out of service", func(x *fixture) {
			x.moveServer("p1", "y")
			x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"y"}, HallChanges: 1})
		}},
		{"another version", func(x *fixture) { x.setVersions("v1", "v2") }},
		{"another region than the homes", func(x *fixture) {
			x.joinNorthRegion()
			x.moveServer("p0", "n1")
			x.moveServer("p1", "s1")
			d := homesDocument(4, []string{"north"}, nil)
			x.g.apply(d)
		}},
		{"backoff", func(x *fixture) {
			x.g.table.mu.Lock()
			defer x.g.table.mu.Unlock()
			k := x.g.table.servers["p1"]
			k.notice = k.notice.WithBackoff(x.g.now(), 10*time.Second)
		}},
		{"cold without a share", func(x *fixture) {
			s := x.g.table.servers["p1"].Server
			s.Cold = &protocol.Cold{Remaining: 10 * time.Second}
			x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
		}},
		{"gone", func(x *fixture) { x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p1"}}) }},
	} {
		for _, after := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, after event %d", tt.name, after), func(t *testing.T) {
				withGateway(t, func(x *fixture) {
					is := is.New(x.t)
					tt.prepare(x)
					got := x.request("/resume/x")
					is.Equal(got.status, 200)
					is.Equal(got.body, wholeStream(6))
					is.True(!got.cut)
				}, pausing(6, after, silence), pausing(6, after, silence))
			})
		}
	}
}

// moveServer lists a server in another data hall.
func (x *fixture) moveServer(id, hall string) {
	s := x.g.table.servers[id].Server
	s.Hall = hall
	x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
}

// deadlineRecorder records the deadline for the caller to accept what is written.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// TestEndAfterSilenceReachesCaller guards against a stream whose end is lost because the time that the caller had for
// the event before it is over when a silent server ends the stream.
func TestEndAfterSilenceReachesCaller(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		d := testDocument()
		d.Number++
		for i := range d.Routes {
			d.Routes[i].Timeout = time.Minute
		}
		x.g.apply(d)
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		x.requestInto(x.t.Context(), "/stream/x", w)
		is.Equal(w.Body.String(), wholeStream(2))
		is.True(time.Until(w.deadline) >= writeTimeout/2)
	}, streams(piece{text: event(1)}, piece{text: event(2), after: writeTimeout/4 - time.Millisecond}, piece{after: writeTimeout - time.Second, err: io.EOF}))
}
