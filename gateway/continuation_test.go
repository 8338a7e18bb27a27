// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file tests that only its own continuation follows a response that has begun.

// withType returns a behaviour that answers like another one, but states a content type.
func withType(contentType string, behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := behave(ctx, call)
		if err == nil {
			a.Header.Set("Content-Type", contentType)
		}
		return a, err
	}
}

// inChunks returns a behaviour that answers like another one, but without a length.
func inChunks(behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := behave(ctx, call)
		if err == nil {
			a.Length = -1
		}
		return a, err
	}
}

// framings returns behaviours that answer like another one, once with each framing.
func framings(behave behaviour) map[forward.Framing]behaviour {
	return map[forward.Framing]behaviour{
		forward.FramedByLength: behave, forward.FramedByChunks: inChunks(behave), forward.NotFramed: unframed(behave),
	}
}

// allowAttempts changes the number of attempts of the resumable route.
func (x *fixture) allowAttempts(n int) {
	d := testDocument()
	d.Number++
	for i, r := range d.Routes {
		if r.Name == "resume" {
			d.Routes[i].MaxAttempts = n
		}
	}
	x.g.apply(d)
}

// checkNotContinued breaks a stream and checks that an answer to its resumption neither reaches the caller nor
// ends the stream, and that the stream goes on at the next server if another attempt is left.
func checkNotContinued(t *testing.T, answer behaviour) {
	t.Helper()
	for _, attempts := range []int{2, 3} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			is.Helper()
			x.allowAttempts(attempts)
			x.announceInOrder([]behaviour{resuming(6, 3, errReset), answer, resuming(6, 0, nil)})
			got := x.request("/resume/x")
			is.Equal(x.servers.count(), attempts)
			is.Equal(got.cut, attempts == 2)
			if attempts == 2 {
				is.Equal(got.body, wholeStream(3))
				is.Equal(x.counter(`badgerspoke_gateway_broken_total{route="resume"}`), uint64(1))
				is.Equal(x.counter(`badgerspoke_gateway_answered_total{route="resume"}`), uint64(0))
				return
			}
			is.Equal(got.body, wholeStream(6))
		})
	}
}

// TestFailureDoesNotContinueStream guards against a failure that reaches the caller inside a stream or ends it as
// complete.
func TestFailureDoesNotContinueStream(t *testing.T) {
	for _, status := range []int{301, 304, 400, 404, 408, 409, 429, 500, 503, 504} {
		for _, size := range []int{0, 24, maxHeldAnswer - 1, maxHeldAnswer, 2 * maxHeldAnswer} {
			for _, contentType := range []string{"", "text/plain", "text/event-stream"} {
				body := strings.Repeat("error: failed\n\n", size/15+1)[:size]
				for framing, answer := range framings(withType(contentType, answers(status, body, 0))) {
					t.Run(fmt.Sprintf("%d, %d bytes, %q, %s", status, size, contentType, framing), func(t *testing.T) {
						checkNotContinued(t, answer)
					})
				}
			}
		}
	}
}

// TestSuccessThatIsNoRestDoesNotContinueStream guards against a success that reaches the caller inside a stream, or
// ends it as complete, without being its rest.
func TestSuccessThatIsNoRestDoesNotContinueStream(t *testing.T) {
	const eventStream = "text/event-stream"
	withStatus := func(status int, behave behaviour) behaviour {
		return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			a, err := behave(ctx, call)
			a.Status = status
			return a, err
		}
	}
	for _, tt := range []struct {
		name   string
		answer behaviour
	}{
		{"another type", withType("application/json", answers(200, `{"items":[]}`, 0))},
		{"another type, empty", withType("text/plain", answers(200, "", 0))},
		{"another type, large", withType("text/plain", answers(200, strings.Repeat("x", 2*maxHeldAnswer), 0))},
		{"another type with events", withType("text/plain", resuming(6, 0, nil))},
		{"no content", withStatus(204, answers(200, "", 0))},
		{"another success", withStatus(201, withType(eventStream, resuming(6, 0, nil)))},
		{"partial content", withStatus(206, withType(eventStream, resuming(6, 0, nil)))},
		{"no events", withType(eventStream, answers(200, "", 0))},
		{"no events, no type", answers(200, "", 0)},
		{"comment only", withType(eventStream, answers(200, ": nothing\n\n", 0))},
		{"text", withType(eventStream, answers(200, "no such stream", 0))},
		{"paragraphs", answers(200, "no such stream\n\n", 0)},
		{"event without an ID", withType(eventStream, answers(200, "event: error\ndata: no such stream\n\n", 0))},
		{"event without an ID before the rest", withType(eventStream, answers(200, "data: again\n\n"+event(4)+event(5)+event(6), 0))},
		{"from the beginning", withType(eventStream, answers(200, wholeStream(6), 0))},
		{"from the beginning, after a comment", withType(eventStream, answers(200, ": again\n\n"+wholeStream(6), 0))},
		{"from the last event", withType(eventStream, answers(200, event(3)+event(4)+event(5)+event(6), 0))},
		{"later events", withType(eventStream, answers(200, event(5)+event(6), 0))},
		{"an event again", withType(eventStream, answers(200, event(3)+event(4), 0))},
		{"one earlier event", withType(eventStream, answers(200, event(2), 0))},
	} {
		for framing, answer := range framings(tt.answer) {
			t.Run(tt.name+", "+string(framing), func(t *testing.T) { checkNotContinued(t, answer) })
		}
	}
}

// TestRestContinuesStream checks that the rest of a stream is accepted in all its forms.
func TestRestContinuesStream(t *testing.T) {
	const eventStream = "text/event-stream"
	rest := event(4) + event(5) + event(6)
	for _, tt := range []struct {
		name   string
		answer behaviour
		body   string
	}{
		{"no type", answers(200, rest, 0), rest},
		{"type with a parameter", withType(eventStream+"; charset=utf-8", answers(200, rest, 0)), rest},
		{"comment first", withType(eventStream, answers(200, ": wait\n\n"+rest, 0)), ": wait\n\n" + rest},
		{"ID behind the data", answers(200, "data: x\nid: 4\n\n", 0), "data: x\nid: 4\n\n"},
		{"no space", answers(200, "id:4\ndata:x\n\n", 0), "id:4\ndata:x\n\n"},
		{"CRLF", answers(200, "id: 4\r\ndata: x\r\n\r\n", 0), "id: 4\r\ndata: x\r\n\r\n"},
		{"event without an ID behind the others", answers(200, rest+"data: end\n\n", 0), rest + "data: end\n\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{resuming(6, 3, errReset), tt.answer})
				got := x.request("/resume/x")
				is.Equal(got.body, wholeStream(3)+tt.body)
				is.True(!got.cut)
				is.Equal(x.counter(`badgerspoke_gateway_answered_total{route="resume"}`), uint64(1))
			})
		})
	}
}

// TestEmptyRestConfirmsUnstatedEnd checks that a stream whose last answer ended in order, without stating it, is
// complete if another server has no further events.
func TestEmptyRestConfirmsUnstatedEnd(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(3)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), unframed(resuming(6, 0, nil)), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.True(!got.cut)
		is.Equal(x.servers.count(), 3)
	})
}

// TestStreamWithoutPositionIsCutOff guards against repeating events without an ID: no server can tell where a
// stream that ended behind them goes on.
func TestStreamWithoutPositionIsCutOff(t *testing.T) {
	for _, text := range []string{"data: a\n\n", event(1) + "data: b\n\n"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			broken := streams(piece{text: text}, piece{after: pause, err: errReset})
			x.announceInOrder([]behaviour{broken, answers(200, text+event(2), 0)})
			got := x.request("/resume/x")
			is.Equal(got.body, text)
			is.True(got.cut)
			is.Equal(x.servers.count(), 1)
		})
	}
}

// TestStreamThatBrokeBeforeItsFirstEventStartsAgain checks that a stream of which no event has been passed on may
// come from the beginning, and only as a stream.
func TestStreamThatBrokeBeforeItsFirstEventStartsAgain(t *testing.T) {
	broken := streams(piece{text: "data: ha"}, piece{after: pause, err: errReset})
	for _, text := range []string{wholeStream(3), "data: a\n\ndata: b\n\n"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceInOrder([]behaviour{broken, answers(200, text, 0)})
			got := x.request("/resume/x")
			is.Equal(got.body, text)
			is.True(!got.cut)
		})
	}
	for _, answer := range []behaviour{answers(500, "failed", 0), answers(200, "", 0), unframed(answers(200, "", 0))} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceInOrder([]behaviour{broken, answer})
			got := x.request("/resume/x")
			is.Equal(got.body, "")
			is.True(got.cut)
		})
	}
}

// TestRejectedAnswerIsNotObserved guards against evidence from an answer that did not continue its stream.
func TestRejectedAnswerIsNotObserved(t *testing.T) {
	for _, answer := range []behaviour{answers(404, "no such stream", 0), answers(200, wholeStream(6), 0)} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceInOrder([]behaviour{resuming(6, 3, errReset), answer})
			x.request("/resume/x")
			is.Equal(x.counter(`badgerspoke_gateway_attempts_failed_total{cause="no continuation"}`), uint64(1))
			x.g.table.mu.Lock()
			defer x.g.table.mu.Unlock()
			observed := 0
			for _, k := range x.g.table.servers {
				if k.latencyRatio != (place.LatencyRatio{}) {
					observed++
				}
			}
			is.Equal(observed, 1)
		})
	}
}

// TestBegunPlainAnswerIsNotContinued guards against another server's answer inside a large plain answer that broke
// off on the route of resumable streams.
func TestBegunPlainAnswerIsNotContinued(t *testing.T) {
	large := strings.Repeat("x", 2*maxHeldAnswer)
	for _, status := range []int{200, 404, 500} {
		for framing, begun := range framings(withType("application/json", answers(status, large, 0))) {
			for name, next := range map[string]behaviour{
				"large":  withType("application/json", answers(status, large, 0)),
				"short":  withType("application/json", answers(status, "short", 0)),
				"stream": withType("text/event-stream", resuming(6, 0, nil)),
				"failed": answers(500, "failed", 0),
			} {
				t.Run(fmt.Sprintf("%d, %s, then %s", status, framing, name), func(t *testing.T) {
					withGateway(t, func(x *fixture) {
						is := is.New(x.t)
						x.announceInOrder([]behaviour{cutOff(begun), next})
						got := x.request("/resume/x")
						is.Equal(got.status, status)
						is.Equal(len(got.body), len(large))
						is.True(got.cut)
						is.Equal(x.servers.count(), 1)
						is.Equal(x.counter(`badgerspoke_gateway_broken_total{route="resume"}`), uint64(1))
					})
				})
			}
		}
	}
}

// TestPauseDoesNotEndFinalAnswer guards against giving up a server that pauses within an answer which no other
// server can continue: a large plain one, or a stream without IDs.
func TestPauseDoesNotEndFinalAnswer(t *testing.T) {
	text := strings.Repeat("x", maxHeldAnswer)
	large := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := withType("application/json", inChunks(answers(200, text, 0)))(ctx, call)
		end := &pieceReader{ctx: ctx, pieces: []piece{{text: "end", after: 2 * time.Second}}}
		a.Body = io.NopCloser(io.MultiReader(a.Body, end))
		return a, err
	}
	for _, path := range []string{"/resume/x", "/again/x"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceInOrder([]behaviour{large, large})
			got := x.request(path)
			is.Equal(len(got.body), len(text)+len("end"))
			is.True(!got.cut)
			is.Equal(x.servers.count(), 1)
		})
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		text := []piece{{text: "data: a\n\n"}, {text: "data: b\n\n", after: 2 * time.Second}}
		x.announceInOrder([]behaviour{streams(text...), streams(text...)})
		got := x.request("/resume/x")
		is.Equal(got.body, "data: a\n\ndata: b\n\n")
		is.True(!got.cut)
		is.Equal(x.servers.count(), 1)
	})
	withGateway(t, func(x *fixture) { // a later event with an ID can be followed again
		is := is.New(x.t)
		text := []piece{{text: "data: a\n\n"}, {text: event(1)}, {text: event(2), after: time.Hour}}
		x.announceInOrder([]behaviour{streams(text...), resuming(2, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, "data: a\n\n"+wholeStream(2))
		is.True(got.took < time.Second)
	})
}

// TestNothingIsRefusedInBegunResponse guards against an error response of the gateway inside a response that has
// begun, whatever ends the request.
func TestNothingIsRefusedInBegunResponse(t *testing.T) {
	withGateway(t, func(x *fixture) {
		for cause := range responsesByCause {
			is := is.New(x.t)
			w := httptest.NewRecorder()
			c := &call{g: x.g, r: httptest.NewRequestWithContext(x.t.Context(), http.MethodPost, "/resume/x", nil)}
			c.response = response.New(w, c.r, x.g.recordSecondHead)
			c.relay = &relay{c: c}
			is.NoErr(c.relay.writeHead(http.StatusOK, http.Header{}, -1, false))
			_, _ = c.relay.body.Write([]byte(event(1)))
			func() {
				defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
				c.finish(Refusal{Cause: cause})
			}()
			is.Equal(w.Body.String(), event(1))
			is.Equal(x.counter(fmt.Sprintf("badgerspoke_gateway_refused_total{cause=%q}", cause)), uint64(0))
		}
	})
}

// deafCaller is a caller whose connection fails one write and accepts the others.
type deafCaller struct {
	*httptest.ResponseRecorder
	writes, failing int
}

func (d *deafCaller) Write(p []byte) (int, error) {
	d.writes++
	if d.writes == d.failing {
		n, _ := d.ResponseRecorder.Write(p[:len(p)/2])
		return n, errReset
	}
	return d.ResponseRecorder.Write(p)
}

// TestNothingFollowsFailedWrite guards against further events behind one that its caller got only in part, and
// against running a request again for a caller that cannot get the rest.
func TestNothingFollowsFailedWrite(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 0, nil), resuming(6, 0, nil)})
		w := &deafCaller{ResponseRecorder: httptest.NewRecorder(), failing: 3}
		x.requestInto(x.t.Context(), "/resume/x", w)
		is.Equal(w.Body.String(), wholeStream(2)+event(3)[:len(event(3))/2])
		is.Equal(x.servers.count(), 1)
	})
}
