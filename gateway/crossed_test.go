// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// TestRefusalOfAnotherRequestPromisesNothing guards against a 503, which promises that a request has not run, because a
// server's late refusal of another request came in the place of the answer. A refusal that names no request may be one
// of another, unless it is the first answer on its connection. The connections on which the answer may still come are
// closed.
func TestRefusalOfAnotherRequestPromisesNothing(t *testing.T) {
	for _, tt := range []struct {
		id     string
		reused bool
		status int
	}{
		{"request-1", true, 503}, {"", false, 503},
		{"request-2", true, 502}, {"", true, 502},
	} {
		t.Run(fmt.Sprintf("%q %v", tt.id, tt.reused), func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				got := x.request("/once/x")
				is.Equal(got.status, tt.status)
				is.Equal(got.header.Get("Retry-After") != "", tt.status == 503)
				is.Equal(slices.Contains(x.servers.dropped, "10.0.5.0:80"), tt.status == 502)
			}, func(context.Context, forward.Call) (*forward.Response, error) {
				h := http.Header{}
				if tt.id != "" {
					h.Set("Id", tt.id)
				}
				return nil, forward.NotRun{Refused: true, Reused: tt.reused, Status: 503, Header: h, Err: io.EOF}
			})
		})
	}
}
