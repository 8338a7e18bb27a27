// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/router"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file tests that a router gives up nothing that a sound backend server is doing while that server is
// silent for a while.

// silentService is a sound plain service that falls silent while it serves a request.
type silentService struct {
	beforeHead time.Duration // before the head of the answer
	inside     time.Duration // between the two parts of the body
	beforeEnd  time.Duration // between the last byte of the body and its end
	runs       atomic.Int64
}

// ServeHTTP implements [http.Handler].
func (s *silentService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
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
		service *silentService
		http2   bool
	}{
		{"inside the answer", &silentService{inside: silence}, false},
		{"before its end", &silentService{beforeEnd: silence}, false},
		{"inside the answer, HTTP/2", &silentService{inside: silence}, true},
		{"before its end, HTTP/2", &silentService{beforeEnd: silence}, true},
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

// silenceOfServer is longer than a connection may take to open, and shorter than two of them.
const silenceOfServer = 1400 * time.Millisecond

// fallSilent drops all traffic of the service for a time.
func (f *testFleet) fallSilent(ip string, silence time.Duration) {
	f.net.Cut(ip)
	time.AfterFunc(silence, func() { f.net.Restore(ip) })
}

// TestSilentServerKeepsItsCall guards against a call that is ended, or sent again, because the server that runs it is
// silent, in its process or on its network link, and against one that ends with the router's lease.
func TestSilentServerKeepsItsCall(t *testing.T) {
	none := func(*testFleet) {}
	cutAfter := func(d time.Duration, ip string, silence time.Duration) func(*testFleet) {
		return func(f *testFleet) { time.AfterFunc(d, func() { f.fallSilent(ip, silence) }) }
	}
	for _, tt := range []struct {
		name    string
		service *silentService
		fault   func(f *testFleet)
		took    time.Duration
	}{
		{"before the answer", &silentService{beforeHead: silenceOfServer}, none, silenceOfServer},
		{"long before the answer", &silentService{beforeHead: 3 * time.Minute}, none, 3 * time.Minute},
		{"inside the answer", &silentService{inside: silenceOfServer}, none, silenceOfServer},
		{"long inside the answer", &silentService{inside: 3 * time.Minute}, none, 3 * time.Minute},
		{"before the end of the answer", &silentService{beforeEnd: 3 * time.Minute}, none, 3 * time.Minute},
		{
			"link, before the answer", &silentService{beforeHead: time.Second},
			cutAfter(500*time.Millisecond, silentServiceIP, silenceOfServer), 500*time.Millisecond + silenceOfServer,
		},
		{
			"link, inside the answer", &silentService{inside: time.Second},
			cutAfter(500*time.Millisecond, silentServiceIP, silenceOfServer), 500*time.Millisecond + silenceOfServer,
		},
		{
			"while the lease ends", &silentService{beforeHead: 10 * time.Second},
			cutAfter(500*time.Millisecond, "10.0.1.1", 20*time.Second), 10 * time.Second,
		},
	} {
		for _, key := range []string{"", "k1"} {
			t.Run(tt.name+", key "+key, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					is := is.New(t)
					tt.service.runs.Store(0)
					f := startSilentService(t, tt.service)
					f.dialTimeout.Store(int64(socket.DialTimeout))
					tt.fault(f)
					got := f.do(order("r1", "hotel", "sheets", key))
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, "first part, second part")
					is.True(got.took < tt.took+100*time.Millisecond)
					is.Equal(tt.service.runs.Load(), int64(1))
				})
			})
		}
	}
}

// TestSilentServerOfBrokenAnswerKeepsItsRest guards against an answer that stays broken because its server, which has
// the rest of it, accepts no connection for a moment.
func TestSilentServerOfBrokenAnswerKeepsItsRest(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		text := strings.Repeat("0123456789", 80)
		s := &resumableService{
			text: text, statesEnd: true, contentType: "text/plain",
			rests: []rest{partial("bytes 500-799/800", text[brokenAt:])},
		}
		f := startSilentService(t, s)
		f.dialTimeout.Store(int64(socket.DialTimeout))
		s.afterBreak = func() {
			// The silence begins once the router has received the break.
			time.AfterFunc(networkLatency+networkLatency/2, func() { f.fallSilent(silentServiceIP, silenceOfServer) })
		}
		got := f.do(order("r1", "hotel", "sheets", ""))
		is.NoErr(got.err)
		is.Equal(got.body, text)
	})
}

// TestDeadServerOfBrokenAnswerEndsIt guards against an answer that waits without end for its rest.
func TestDeadServerOfBrokenAnswerEndsIt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := &resumableService{text: strings.Repeat("0123456789", 80), statesEnd: true, contentType: "text/plain"}
		f := startSilentService(t, s)
		f.dialTimeout.Store(int64(socket.DialTimeout))
		s.afterBreak = func() {
			time.AfterFunc(networkLatency+networkLatency/2, func() { f.net.Cut(silentServiceIP) })
		}
		got := f.do(order("r1", "hotel", "sheets", ""))
		is.True(got.err != nil)
		is.Equal(got.body, s.text[:brokenAt])
		is.True(got.took < 3*socket.DialTimeout+100*time.Millisecond)
	})
}

// TestCallerLeavingDuringResumptionDiscardsAnswer guards against an answer that its server keeps, and a failure that
// counts against that server, because the caller left while the server was silent.
func TestCallerLeavingDuringResumptionDiscardsAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := &resumableService{text: strings.Repeat("0123456789", 80), statesEnd: true, contentType: "text/plain"}
		f := startSilentService(t, s)
		f.dialTimeout.Store(int64(socket.DialTimeout))
		s.afterBreak = func() {
			time.AfterFunc(networkLatency+networkLatency/2, func() { f.fallSilent(silentServiceIP, silenceOfServer) })
		}
		r := order("r1", "hotel", "sheets", "")
		ctx, cancel := context.WithTimeout(context.Background(), silenceOfServer/2)
		defer cancel()
		r.ctx = ctx
		is.True(f.do(r).err != nil)
		time.Sleep(time.Minute)
		synctest.Wait() // orders the server's writes before the check
		is.Equal(s.discarded, 1)
	})
}
