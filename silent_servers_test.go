// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/router"
)

// This file tests that a router gives up nothing that a sound backend server is doing while that server is
// silent for a while.

// silentService is a sound plain service that falls silent while it serves a request.
type silentService struct {
	beforeHead time.Duration // before the head of the answer
	inside     time.Duration // between the two parts of the body
	beforeEnd  time.Duration // between the last byte of the body and its end
}

// ServeHTTP implements [http.Handler].
func (s silentService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the router has left
	time.Sleep(s.beforeHead)
	for i, part := range []string{"first part, ", "second part"} {
		if i > 0 {
			time.Sleep(s.inside)
		}
		_, _ = io.WriteString(w, part) // as above
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(s.beforeEnd)
}

// silentServiceIP is the box on which startSilentService puts the service.
const silentServiceIP = "10.0.4.2"

// startSilentService starts a fleet of one control box and one router in front of a service.
func startSilentService(t *testing.T, h http.Handler) *testFleet {
	f := newFleet(t, 1, 1)
	f.createAccount("hotel", 1)
	const address = silentServiceIP + ":9000"
	f.serveStandIn(address, h)
	f.addServer(&operatorv1.Server{
		Name: "s1", Pool: "stock", Address: address, Kind: operatorv1.Kind_KIND_SERVICE, Slots: 4,
		Mark: operatorv1.Mark_MARK_SERVING,
	})
	f.settle()
	return f
}

// useHTTP2 makes the callers of a fleet use HTTP/2.
func (f *testFleet) useHTTP2() {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	f.client.Transport = &http.Transport{DialContext: f.net.DialerFrom(clientIP).DialContext, Protocols: &protocols}
	f.t.Cleanup(f.client.CloseIdleConnections)
}

// TestTimeLimitOfCallerCountsNoSilenceOfServer guards against an answer whose server is silent for longer than a
// caller may take to accept a chunk: the deadline of the last chunk passed meanwhile, and the answer was cut off.
func TestTimeLimitOfCallerCountsNoSilenceOfServer(t *testing.T) {
	silence := router.DefaultLimits.WriteTimeout + time.Second
	for _, tt := range []struct {
		name    string
		service silentService
		http2   bool
	}{
		{"inside the answer", silentService{inside: silence}, false},
		{"before its end", silentService{beforeEnd: silence}, false},
		{"inside the answer, HTTP/2", silentService{inside: silence}, true},
		{"before its end, HTTP/2", silentService{beforeEnd: silence}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := startSilentService(t, tt.service)
				if tt.http2 {
					f.useHTTP2()
				}
				got := f.do(order("r1", "hotel", "sheets", ""))
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, "first part, second part")
			})
		})
	}
}
