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
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests to which side, the caller or the server, the gateway attributes an answer that did
// not reach its caller.

// brokenCaller is a caller whose connection accepts some writes and then fails, while the request's
// context stays alive.
type brokenCaller struct {
	*httptest.ResponseRecorder
	writesLeft int // writes that still succeed
}

func (b *brokenCaller) Write(p []byte) (int, error) {
	if b.writesLeft == 0 {
		return 0, errReset
	}
	b.writesLeft--
	return b.ResponseRecorder.Write(p)
}

// requestInto sends a request whose answer is written to w.
func (x *fixture) requestInto(ctx context.Context, path string, w http.ResponseWriter) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("a body"))
	r.Host = "host"
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "key")
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	x.g.ServeHTTP(w, r)
}

// TestRelayFailureIsAttributed checks that a failed write is attributed to the caller and ejects no
// server, and that an oversized event and a cut-off answer are attributed to the server.
func TestRelayFailureIsAttributed(t *testing.T) {
	large := answers(200, strings.Repeat("x", 2*maxHeldAnswer), 0)
	for _, tt := range []struct {
		name, path, cause string
		writes            int // that the caller accepts
		behave            behaviour
		ejects            bool
	}{
		{"large answer, first part", "/again/x", "caller gone", 0, large, false},
		{"large answer, the rest", "/again/x", "caller gone", 1, large, false},
		{"large answer, cut off", "/again/x", "cut off", 9, cutOff(large), true},
		{"event", "/stream/x", "caller gone", 0, streams(piece{text: event(1)}), false},
		{"end of a stream inside an event", "/stream/x", "stream cut off", 9, streams(piece{text: "data: half"}), true},
		{"event too large", "/stream/x", "stream broken", 9, endlessEvent, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				for range 5 { // enough failures to eject a server
					x.requestInto(x.t.Context(), tt.path, &brokenCaller{ResponseRecorder: httptest.NewRecorder(), writesLeft: tt.writes})
				}
				failed := func(cause string) uint64 {
					name := fmt.Sprintf("badgerspoke_gateway_attempts_failed_total{cause=%q}", cause)
					return x.g.stats.metricSet.GetOrCreateCounter(name).Get()
				}
				is.True(failed(tt.cause) > 0)
				is.Equal(failed(""), uint64(0))
				ejected := x.g.stats.metricSet.GetOrCreateCounter(`badgerspoke_gateway_suspected_total{pool="plain"}`).Get() > 0
				is.Equal(ejected, tt.ejects)
			}, tt.behave)
		})
	}
}

// cutOff returns a behaviour that answers like another one, except that the body breaks at its end.
func cutOff(behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := behave(ctx, call)
		if err == nil {
			a.Body = io.NopCloser(io.MultiReader(a.Body, iotest.ErrReader(errReset)))
		}
		return a, err
	}
}

// endlessEvent streams an event that is larger than the limit and never ends.
func endlessEvent(_ context.Context, call forward.Call) (*forward.Response, error) {
	body := io.NopCloser(strings.NewReader(strings.Repeat("x", 2*maxEvent)))
	return &forward.Response{Status: http.StatusOK, Header: answerHeader(call), Length: -1, Body: body}, nil
}

// TestNonResumableStreamEndingInsideAnEventIsCutOff guards against a last chunk for a stream that its server
// broke off inside an event. Lines end with LF or CRLF.
func TestNonResumableStreamEndingInsideAnEventIsCutOff(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		whole := strings.ReplaceAll(wholeStream(3), "\n", lineEnd)
		half := strings.TrimSuffix(whole, lineEnd)
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			got := x.request("/stream/x")
			is.Equal(got.body, strings.ReplaceAll(wholeStream(2), "\n", lineEnd))
			is.True(got.cut)
		}, streams(piece{text: half}))
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			got := x.request("/stream/x")
			is.Equal(got.body, whole)
			is.True(!got.cut)
		}, streams(piece{text: whole}))
	}
}

// TestOtherContentOnStreamRouteIsRelayed checks that an answer which is no event stream needs no events.
func TestOtherContentOnStreamRouteIsRelayed(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			got := x.request(path)
			is.Equal(got.body, `{"items":[]}`)
			is.True(!got.cut)
		}, func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			a, err := answers(200, `{"items":[]}`, 0)(ctx, call)
			a.Header.Set("Content-Type", "application/json")
			return a, err
		})
	}
}
