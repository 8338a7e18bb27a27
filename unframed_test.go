// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/standin"
)

// This file tests that a router states the end of a response only where the backend server has stated it.

// TestResponseOfUnknownEndIsNotFramed guards against a length or a last chunk for a response that ended with
// the server's connection.
func TestResponseOfUnknownEndIsNotFramed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		whole := f.do(order("r1", "hotel", "sheets", ""))
		is.True(whole.framed)
		f.services["s1"].FailNext(standin.Unframed)
		got := f.do(order("r1", "hotel", "towels", ""))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.True(!got.framed)
		is.True(strings.HasSuffix(got.body, "}\n"))
		f.services["s1"].FailNext(standin.TruncateUnframed)
		got = f.do(order("r1", "hotel", "soap", ""))
		is.True(!got.framed)
		is.True(len(got.body) < len(whole.body))
	})
}

// TestResponseOfUnknownEndIsNotReplayed guards against a response that may be incomplete being recorded
// under its idempotency key.
func TestResponseOfUnknownEndIsNotReplayed(t *testing.T) {
	for _, failure := range []standin.Failure{standin.Unframed, standin.TruncateUnframed} {
		inBubble(t, func(t *testing.T) {
			is := is.New(t)
			f := smallFleet(t)
			f.services["s1"].FailNext(failure)
			is.Equal(f.do(order("r1", "hotel", "sheets", "k1")).status, http.StatusOK)
			again := f.do(order("r1", "hotel", "sheets", "k1"))
			is.Equal(again.status, http.StatusConflict)
			is.Equal(again.outcome, "unknown")
			is.Equal(f.services["s1"].Runs("sheets"), 1)
		})
	}
}

// TestEndMarkStatesEndOfUnframedStream checks that an engine's stream which states its end itself is framed.
func TestEndMarkStatesEndOfUnframedStream(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		f.engines["e1"].FailNext(standin.Unframed)
		got := f.do(completion("r1", "hotel", 3, true))
		is.NoErr(got.err)
		is.True(got.framed)
		is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	})
}

// TestResponseOfUnknownEndIsResetOverHTTP2 guards against an end of an HTTP/2 stream, which states that the
// response is complete.
func TestResponseOfUnknownEndIsResetOverHTTP2(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		f.client.Transport = &http.Transport{DialContext: f.net.DialerFrom(clientIP).DialContext, Protocols: &protocols}
		f.services["s1"].FailNext(standin.Unframed)
		got := f.do(order("r1", "hotel", "towels", ""))
		is.Equal(got.status, http.StatusOK)
		is.True(got.err != nil)
		is.True(strings.HasSuffix(got.body, "}\n"))
		is.NoErr(f.do(order("r1", "hotel", "sheets", "")).err)
		f.client.CloseIdleConnections()
	})
}

// TestServerThatEndsWithItsResponseBreaksIt guards against a part of a response that ends in order because its server
// ended, whose connections the kernel closes in order.
func TestServerThatEndsWithItsResponseBreaksIt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		is.Equal(f.do(order("r1", "hotel", "sheets", "")).status, http.StatusOK) // opens a connection
		f.services["s1"].FailNext(standin.Unframed)
		whole := f.do(order("r1", "hotel", "sheets", ""))
		is.NoErr(whole.err)
		f.services["s1"].FailNext(standin.TruncateUnframed)
		time.AfterFunc(whole.took/2, func() { f.net.Kill("10.0.4.1") }) // most of the time the router waits for the end
		got := f.do(order("r1", "hotel", "towels", ""))
		is.Equal(got.status, http.StatusOK)
		is.True(got.body != "")
		is.True(got.err != nil)
	})
}

// TestStreamWithEndMarkNeedsNoServer guards against breaking off a stream whose content has stated its end because its
// server ended afterwards, and against waiting for the end of its connection.
func TestStreamWithEndMarkNeedsNoServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		framed := f.do(completion("r1", "hotel", 3, true))
		for range 2 {
			f.engines["e1"].FailNext(standin.Unframed)
			got := f.do(completion("r1", "hotel", 3, true))
			is.NoErr(got.err)
			is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n"))
			is.True(got.took <= framed.took)
			time.AfterFunc(framed.took, func() { f.net.Kill("10.0.3.1") })
		}
	})
}
