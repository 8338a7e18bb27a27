// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
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
