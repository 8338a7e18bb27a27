// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file tests answers that only the end of their connection ends: nothing may conclude from it that
// they are complete.

// unframed returns a behaviour that answers like another one, but without a length or chunks.
func unframed(behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := behave(ctx, call)
		if err == nil {
			a.Length, a.Unframed = -1, true
		}
		return a, err
	}
}

// isFramed reports whether a reply states its end.
func (r reply) isFramed() bool { return r.header.Get("Transfer-Encoding") != "identity" }

// TestUnframedAnswerGetsNoFraming guards against a length or chunks of the gateway's own for an answer
// that may have been broken off.
func TestUnframedAnswerGetsNoFraming(t *testing.T) {
	large := strings.Repeat("x", 2*maxHeldAnswer)
	for _, tt := range []struct {
		name, path, body string
		behave           behaviour
	}{
		{"safe", "/again/x", "part", answers(200, "part", 0)},
		{"unsafe", "/once/x", "part", answers(200, "part", 0)},
		{"empty", "/again/x", "", answers(200, "", 0)},
		{"failure", "/once/x", "part", answers(500, "part", 0)},
		{"large", "/again/x", large, answers(200, large, 0)},
		{"stream", "/stream/x", wholeStream(3), resuming(3, 0, nil)},
		{"resumable stream", "/resume/x", wholeStream(3), resuming(3, 0, nil)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, framed := range []bool{true, false} {
				behave := tt.behave
				if !framed {
					behave = unframed(behave)
				}
				withGateway(t, func(x *fixture) {
					is := is.New(x.t)
					got := x.request(tt.path)
					is.Equal(got.body, tt.body)
					is.Equal(got.isFramed(), framed)
					is.True(framed || got.header.Get("Content-Length") == "")
					is.True(!got.cut)
					is.Equal(x.servers.count(), 1) // nothing shows that it was broken off
				}, behave)
			}
		})
	}
}

// TestStreamWithoutEventsNeedsFraming guards against taking a connection that ends before the first event of a
// stream for the end of an empty one.
func TestStreamWithoutEventsNeedsFraming(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			got := x.request(path)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.header.Get("Content-Length"), "0")
		}, streams())
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceInOrder([]behaviour{unframed(streams()), resuming(3, 0, nil)})
			got := x.request(path)
			if path == "/resume/x" {
				is.Equal(got.body, wholeStream(3))
				return
			}
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(x.servers.count(), 1)
		})
	}
}

// TestStreamThatBeganWithChunksIsNotEndedByThem guards against a last chunk for a stream that goes on in an
// answer without chunks.
func TestStreamThatBeganWithChunksIsNotEndedByThem(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), unframed(resuming(5, 0, nil))})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(5))
		is.True(got.isFramed())
		is.True(got.cut)
	})
}

// TestStreamThatBeganUnframedGoesOnFramed checks that a stream which began without chunks arrives whole when
// it is taken up by an answer with them.
func TestStreamThatBeganUnframedGoesOnFramed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{unframed(resuming(6, 3, errReset)), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.True(!got.isFramed())
		is.True(!got.cut)
	})
}

// resettableConn records whether its close is to be a reset.
type resettableConn struct {
	net.Conn
	resets bool
}

// SetLinger is the method of [net.TCPConn].
func (c *resettableConn) SetLinger(seconds int) error {
	c.resets = seconds == 0
	return nil
}

// TestCutUnframedAnswerResetsItsCaller checks that a known break is visible to a caller for whom only the
// end of the connection ends the answer.
func TestCutUnframedAnswerResetsItsCaller(t *testing.T) {
	large := answers(200, strings.Repeat("x", 2*maxHeldAnswer), 0)
	for _, tt := range []struct {
		name, path string
		behave     behaviour
		resets     bool
	}{
		{"large answer", "/again/x", unframed(cutOff(large)), true},
		{"stream", "/stream/x", unframed(resuming(6, 3, errReset)), true},
		{"framed stream", "/stream/x", resuming(6, 3, errReset), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				var conn resettableConn
				got := x.requestWith(socket.WithConn(x.t.Context(), &conn), http.MethodPost, tt.path, "a body")
				is.True(got.cut)
				is.Equal(conn.resets, tt.resets)
			}, tt.behave)
		})
	}
}

// observedCaller records whether a write found a connection whose close is no reset.
type observedCaller struct {
	*httptest.ResponseRecorder
	conn    *resettableConn
	orderly bool
}

func (c *observedCaller) Write(p []byte) (int, error) {
	c.orderly = c.orderly || !c.conn.resets
	return c.ResponseRecorder.Write(p)
}

// TestUnframedAnswerIsResetUntilItsEnd guards against a gateway that dies in the middle of an answer and leaves the
// orderly end that the kernel sends, which its caller takes for that of the whole answer.
func TestUnframedAnswerIsResetUntilItsEnd(t *testing.T) {
	large := strings.Repeat("x", 2*maxHeldAnswer)
	for _, tt := range []struct {
		name, path string
		behave     behaviour
	}{
		{"safe", "/again/x", answers(200, "part", 0)},
		{"failure", "/once/x", answers(500, "part", 0)},
		{"large", "/again/x", answers(200, large, 0)},
		{"stream", "/stream/x", resuming(3, 0, nil)},
		{"resumable stream", "/resume/x", resuming(3, 0, nil)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				w := &observedCaller{ResponseRecorder: httptest.NewRecorder(), conn: &resettableConn{}}
				x.requestInto(socket.WithConn(x.t.Context(), w.conn), tt.path, w)
				is.True(w.Body.Len() > 0)
				is.True(!w.orderly)
				is.True(!w.conn.resets) // once the answer has ended
			}, unframed(tt.behave))
		})
	}
}

// TestBrokenUnframedAnswerIsRetried checks that an answer without framing whose connection breaks is sent
// again like any other.
func TestBrokenUnframedAnswerIsRetried(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{unframed(cutOff(answers(200, "part", 0))), answers(200, "whole", time.Millisecond)})
		got := x.request("/again/x")
		is.Equal(got.body, "whole")
		is.True(got.isFramed())
	})
}

// endingWithServer returns a behaviour that answers like another one, but whose server ends with its answer.
func endingWithServer(x *fixture, behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := behave(ctx, call)
		if err == nil {
			address := "10.0.5." + strings.TrimPrefix(call.Header.Get("Backend"), "p") + ":80"
			a.Body = io.NopCloser(io.MultiReader(a.Body, stoppingReader{x, address}))
		}
		return a, err
	}
}

// stoppingReader stops a server and fails as the transport does that has noticed it.
type stoppingReader struct {
	x       *fixture
	address string
}

func (r stoppingReader) Read([]byte) (int, error) {
	r.x.servers.stop(r.address)
	return 0, forward.ServerEnded{Server: r.address}
}

// TestCrashThatEndsUnframedAnswerIsDetected guards against a crash that no request is suspected of because
// its answer seemed to end in order. An answer of a server that goes on is evidence that its pool answers.
func TestCrashThatEndsUnframedAnswerIsDetected(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			behave := unframed(answers(200, "part", time.Millisecond))
			if crashed {
				behave = endingWithServer(x, behave)
			}
			x.announceInOrder([]behaviour{behave})
			is.Equal(x.request("/again/x").status == 200, !crashed)
			time.Sleep(time.Second)
			is.Equal(len(x.nextReport().Losses) == 1, crashed)
			is.Equal(x.counter(`badgerspoke_gateway_backends_ended_total{pool="plain"}`) == 1, crashed)
			is.Equal(x.g.table.pool("plain").recentResults, []attemptResult{{server: "p0", answered: !crashed}})
		})
	}
}

// TestServerThatEndsWithItsAnswerIsReplaced guards against a part of an answer that is passed on as the whole because
// its server ended between two events, or within a plain answer, and the kernel closed the connection in order.
func TestServerThatEndsWithItsAnswerIsReplaced(t *testing.T) {
	large := strings.Repeat("x", 2*maxHeldAnswer)
	for _, tt := range []struct {
		name, path string
		part       behaviour
		next       behaviour // of the other server
		body       string
		cut        bool
	}{
		{"safe", "/again/x", answers(200, "part", 0), answers(200, "whole", 0), "whole", false},
		{"unsafe", "/once/x", answers(200, "part", 0), answers(200, "whole", 0), "{\"error\":\"may-have-run\"}\n", false},
		{"large", "/again/x", answers(200, large, 0), answers(200, "whole", 0), large, true},
		{"stream", "/stream/x", resuming(3, 0, nil), resuming(6, 0, nil), wholeStream(3), true},
		{"resumable stream", "/resume/x", resuming(3, 0, nil), resuming(6, 0, nil), wholeStream(6), false},
		{"resumable stream, unframed rest", "/resume/x", resuming(3, 0, nil), unframed(resuming(6, 0, nil)), wholeStream(6), false},
		{"whole resumable stream", "/resume/x", resuming(6, 0, nil), resuming(6, 0, nil), wholeStream(6), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{endingWithServer(x, unframed(tt.part)), tt.next})
				var conn resettableConn
				got := x.requestWith(socket.WithConn(x.t.Context(), &conn), http.MethodPost, tt.path, "a body")
				is.Equal(got.body, tt.body)
				is.Equal(got.cut, tt.cut)
				is.Equal(conn.resets, tt.cut)
			})
		})
	}
}

// TestUnframedAnswerIsNoOutcomeOfItsVersion guards against a rollout that goes on because of answers that
// may have been broken off.
func TestUnframedAnswerIsNoOutcomeOfItsVersion(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		x.renewShares()
		x.countAnswers("/once/1", 2)
		got, _ := x.g.table.takeOutcomes(x.g.now())
		is.Equal([]uint64{got[0].Sent, got[0].Answered, got[0].Failed}, []uint64{2, 0, 0})
		begun := uint32(0)
		for _, n := range got[0].PaceCounts {
			begun += n
		}
		is.Equal(begun, uint32(2)) // it shows how soon the answers began
		is.Equal(x.counter(`badgerspoke_gateway_unconfirmed_total{route="once"}`), uint64(2))
		is.Equal(x.counter(`badgerspoke_gateway_answered_total{route="once"}`), uint64(0))
	}, oldAndNew[0], unframed(oldAndNew[1]))
}

// TestPoliteStopBreaksNoAnswer guards against whole answers that are broken because their server, which has announced that
// it leaves, closes its listener and then sends the rest of what is open. A server that has announced nothing, or whose
// address another one has taken, has died with its answer.
func TestPoliteStopBreaksNoAnswer(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(x *fixture)
		whole bool
	}{
		{"to the directory", func(x *fixture) { x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p0"}}) }, true},
		{"with an answer", func(x *fixture) { x.g.table.recordNotice("p0", AnswerHead{Leaving: true}) }, true},
		{"not at all", func(*fixture) {}, false},
		{"another server has its address", func(x *fixture) { x.list(x.server("p0", "p9", ""), "p0") }, false},
	} {
		for path, body := range map[string]string{"/once/x": "whole", "/again/x": "whole", "/stream/x": wholeStream(2)} {
			t.Run(tt.name+path, func(t *testing.T) {
				withGateway(t, func(x *fixture) {
					is := is.New(x.t)
					n := fakenet.New(time.Millisecond)
					l, err := n.Listen(malformedAddress)
					is.NoErr(err)
					go func() {
						conn, err := l.Accept()
						is.NoErr(err)
						_, err = conn.Read(make([]byte, 4096))
						is.NoErr(err)
						tt.leave(x)
						l.Close()
						_, _ = io.WriteString(conn, signedHead("")+body) // the end shows what came of it
						conn.Close()
					}()
					c := forward.New(forward.Settings{Dialer: n.DialerFrom("10.9.0.2")})
					x.announceInOrder([]behaviour{func(ctx context.Context, call forward.Call) (*forward.Response, error) {
						return c.Send(ctx, malformedAddress, call)
					}})
					var conn resettableConn
					got := x.requestWith(socket.WithConn(x.t.Context(), &conn), http.MethodPost, path, "a body", "Patience", "400")
					is.Equal(got.body == body && got.status == 200 && !got.cut, tt.whole)
				})
			})
		}
	}
}
