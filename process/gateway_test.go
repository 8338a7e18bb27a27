// SPDX-License-Identifier: Apache-2.0

package process

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

type alwaysReady struct{}

func (alwaysReady) Ready() bool { return true }

// TestNotReadyAtConnectionLimit checks that a gateway at its connection limit is not reported as
// ready.
func TestNotReadyAtConnectionLimit(t *testing.T) {
	is := is.New(t)
	n := fakenet.New(0)
	l, err := n.Listen("10.0.0.1:80")
	is.NoErr(err)
	callers := socket.LimitListener(l, 2)
	defer callers.Close()
	status := func() int {
		w := httptest.NewRecorder()
		readiness(alwaysReady{}, callers).ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
		return w.Code
	}
	for range 2 {
		is.Equal(status(), 200)
		_, err := n.DialerFrom("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
		is.NoErr(err)
		conn, err := callers.Accept()
		is.NoErr(err)
		defer conn.Close()
		if callers.Full() {
			is.Equal(status(), 503)
			conn.Close()
			is.Equal(status(), 200)
		}
	}
}
