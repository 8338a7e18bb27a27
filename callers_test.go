// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/standin"
)

// This file tests the callers' interface with a complete fleet: the bytes of
// successful responses, and the status, code and outcome of every failure.

// smallFleet starts a fleet of one control box, one router, one engine and one
// plain service.
func smallFleet(t *testing.T) *testFleet {
	f := newFleet(t, 1, 1)
	f.createAccount("hotel", 1)
	f.addEngine("e1", 1, 2)
	f.addService("s1", 1, 4, 0)
	f.settle()
	return f
}

func TestResponsesAreRelayedCompletely(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		a := f.do(completion("r1", "hotel", 3, true))
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		is.Equal(strings.Count(a.body, "data: "), 5) // three tokens, usage, end
		is.True(strings.HasSuffix(a.body, "data: [DONE]\n\n"))
		is.Equal(a.outcome, "")                        // only failures have an outcome
		is.Equal(a.header.Get("Badgerspoke-Load"), "") // between servers and routers only

		a = f.do(completion("r1", "hotel", 3, false))
		is.Equal(a.status, http.StatusOK)
		is.True(strings.Contains(a.body, `"content":"tok0 tok1 tok2 "`))

		a = f.do(request{router: "r1", method: http.MethodGet, path: "/v1/models", key: "hotel"})
		is.Equal(a.body, `{"object":"list","data":[{"id":"m","object":"model","owned_by":"llm"}]}`+"\n")
	})
}

func TestPlainServiceReceivesAccountButNoAPIKey(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		a := f.do(request{
			router: "r1", method: http.MethodPut, path: "/services/stock/rooms/7%2F8?floor=2", key: "hotel", body: "towels",
			header: map[string]string{"Cookie": "secret", "Badgerspoke-Account": "forged"},
		})
		is.Equal(a.status, http.StatusOK)
		var got map[string]string
		is.NoErr(json.Unmarshal([]byte(a.body), &got))
		is.Equal(got["method"], http.MethodPut)
		is.Equal(got["path"], "/rooms/7%2F8?floor=2")
		is.Equal(got["body"], "towels")
		is.Equal(got["account"], "hotel")
		is.Equal(got["authorization"], "")
	})
}

func TestRefusalsReportStatusCodeAndOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := smallFleet(t)
		tests := []struct {
			name   string
			r      request
			status int
			code   string
		}{
			{"no key", request{path: "/v1/models", method: "GET"}, 401, "invalid_api_key"},
			{"wrong key", request{path: "/v1/models", method: "GET", key: "x"}, 401, "invalid_api_key"},
			{"unknown path", request{path: "/v2", key: "hotel"}, 404, "not_found"},
			{"wrong method", request{path: "/v1/models", key: "hotel"}, 405, "method_not_allowed"},
			{"malformed JSON", request{path: "/v1/completions", key: "hotel", body: "{"}, 400, "malformed_request"},
			{"no model", request{path: "/v1/completions", key: "hotel", body: "{}"}, 400, "malformed_request"},
			{"unknown model", request{path: "/v1/completions", key: "hotel", body: `{"model":"x"}`}, 404, "model_not_found"},
			{"unknown service", request{path: "/services/x/y", key: "hotel"}, 404, "service_not_found"},
			{"body too large", request{path: "/services/stock/", key: "hotel", body: strings.Repeat("x", 9<<20)}, 413, "request_too_large"},
			{"bad class", request{path: "/services/stock/", key: "hotel", header: map[string]string{"Badgerspoke-Class": "vip"}}, 400, "invalid_header"},
			{"bad repeat", request{path: "/services/stock/", key: "hotel", header: map[string]string{"Badgerspoke-Repeat": "maybe"}}, 400, "invalid_header"},
			{"long key", request{path: "/services/stock/", key: "hotel", header: map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}}, 400, "invalid_header"},
		}
		for _, tt := range tests {
			is := is.New(t)
			tt.r.router = "r1"
			a := f.do(tt.r)
			is.NoErr(a.err)
			var e struct {
				Error struct{ Code, Outcome, Message string }
			}
			is.NoErr(json.Unmarshal([]byte(a.body), &e)) // the error format of the protocol
			is.Equal(a.status, tt.status)                // status
			is.Equal(e.Error.Code, tt.code)              // code
			is.Equal(a.outcome, "not-run")               // outcome header
			is.Equal(e.Error.Outcome, "not-run")         // outcome field
		}
	})
}

func TestBackendFailuresReportTrueOutcome(t *testing.T) {
	streamed := completion("r1", "hotel", 4, true)
	unstreamed := completion("r1", "hotel", 4, false)
	notRepeatable := unstreamed
	notRepeatable.header = map[string]string{"Badgerspoke-Repeat": "never"}
	serviceOrder := order("r1", "hotel", "sheets", "")
	tests := []struct {
		name    string
		r       request
		failure standin.Failure
		status  int
		outcome string // outcome of the failure; "" means a complete response
		runs    int    // number of executions
	}{
		{"refused, then accepted", unstreamed, standin.Refuse, 200, "", 1},
		{"refused, may not be repeated", notRepeatable, standin.Refuse, 200, "", 1},
		{"no response, safe to repeat", unstreamed, standin.AbortBeforeResponse, 200, "", 2},
		{"no response, may not be repeated", notRepeatable, standin.AbortBeforeResponse, 502, "unknown", 1},
		{"no response from a service", serviceOrder, standin.AbortBeforeResponse, 502, "unknown", 1},
		{"service refuses", serviceOrder, standin.Refuse, 200, "", 1},
		{"stream breaks in the middle", streamed, standin.AbortMidResponse, 200, "unknown", 1},
		{"stream ends without its end mark", streamed, standin.Truncate, 200, "unknown", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := smallFleet(t)
				for range 12 { // earn budget for a retry
					f.do(request{router: "r1", method: "GET", path: "/services/stock/warm", key: "hotel"})
				}
				f.engines["e1"].FailNext(tt.failure)
				f.services["s1"].FailNext(tt.failure)
				a := f.do(tt.r)
				is.NoErr(a.err)
				is.Equal(a.status, tt.status)
				runs := f.engines["e1"].Runs() + f.services["s1"].Runs("sheets")
				is.Equal(runs, tt.runs)
				switch {
				case tt.outcome == "":
					is.Equal(a.outcome, "")
				case tt.status == 200: // the stream has an error event and no end mark
					is.True(strings.Contains(a.body, "event: error"))
					is.True(strings.Contains(a.body, `"outcome":"`+tt.outcome+`"`))
					is.True(!strings.Contains(a.body, "[DONE]"))
				default:
					is.Equal(a.outcome, tt.outcome)
				}
			})
		})
	}
}

// TestRouterObservesServerBackoff checks that a server that refuses a request and requests
// backoff receives nothing from the router during the backoff, even if the router would have
// suspected it for a shorter time.
func TestRouterObservesServerBackoff(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		for range 200 { // earn budget for retries
			f.do(request{router: "r1", method: "GET", path: "/services/stock/warm", key: "hotel"})
		}
		engine := f.engines["e1"]
		engine.AskForBackoff(8 * time.Second)
		sendCompletions := func(n int) {
			for range n {
				is.Equal(f.do(completion("r1", "hotel", 4, false)).status, 200)
				time.Sleep(50 * time.Millisecond)
			}
		}
		sendCompletions(60)
		is.Equal(engine.RefusedInBackoff(), 1)
		time.Sleep(8 * time.Second)
		before := engine.Runs()
		sendCompletions(60)
		is.True(engine.Runs() > before)
	})
}

// TestRetriedRequestHasUnknownOutcome checks that the outcome of a request that was lost and
// sent again is unknown, since the first attempt may have run, even if the retry
// is refused.
func TestRetriedRequestHasUnknownOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		for range 12 { // earn budget for one retry
			f.do(request{router: "r1", method: "GET", path: "/services/stock/warm", key: "hotel"})
		}
		f.engines["e1"].FailNext(standin.AbortBeforeResponse)
		f.engines["e1"].FailNext(standin.Refuse) // no retry budget is left
		a := f.do(completion("r1", "hotel", 4, false))
		is.Equal(f.engines["e1"].Runs(), 1)
		is.Equal(a.status, 502)
		is.Equal(a.outcome, "unknown")
		is.Equal(a.header.Get("Retry-After"), "")
		is.True(strings.Contains(a.body, `"backend_broken"`))
	})
}

func TestBrokenUnstreamedResponseIsAnError(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		f.services["s1"].FailNext(standin.AbortMidResponse)
		a := f.do(order("r1", "hotel", "sheets", ""))
		is.True(a.err != nil) // the connection breaks before the declared length
		f.engines["e1"].FailNext(standin.AbortMidResponse)
		a = f.do(completion("r1", "hotel", 4, false))
		is.True(a.err != nil)
	})
}

func TestBrokenStreamIsResumed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 1)
		f.createAccount("hotel", 1)
		e := f.addEngineWith("e1", 1, standin.EngineSettings{Slots: 1, Resumable: true})
		f.settle()
		want := f.do(completion("r1", "hotel", 10, true)).body
		e.FailNext(standin.AbortMidResponse)
		r := completion("r1", "hotel", 10, true)
		r.header = map[string]string{"Badgerspoke-Repeat": "never"}
		a := f.do(r)
		is.NoErr(a.err)
		is.Equal(a.body, want)                           // identical bytes, no duplicates
		is.Equal(e.Runs(), 2)                            // not executed again
		is.Equal(a.header.Get("Badgerspoke-Resume"), "") // between servers and routers only
		// If the caller disconnects, the execution is cancelled although the engine could resume it.
		ctx, cancel := context.WithCancel(context.Background())
		r = completion("r1", "hotel", 10000, true)
		r.ctx = ctx
		wait := f.startAll(r)
		time.Sleep(time.Second)
		cancel()
		wait()
		time.Sleep(100 * time.Millisecond)
		is.Equal(e.Running(), 0)
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		failed := 0
		for range 100 {
			f.engines["e1"].FailNext(standin.AbortBeforeResponse)
			if a := f.do(completion("r1", "hotel", 1, false)); a.status != 200 {
				failed++
			}
		}
		is.True(f.engines["e1"].Runs() <= 110) // retries are at most a tenth of the requests
		is.True(failed > 0)
	})
}

func TestCallerDisconnectCancelsExecution(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		r := completion("r1", "hotel", 10000, true)
		r.ctx = ctx
		wait := f.startAll(r, r)
		time.Sleep(time.Second)
		is.Equal(f.engines["e1"].Running(), 2)
		cancel()
		wait()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.engines["e1"].Running(), 0)        // cancelled at the engine
		a := f.do(completion("r1", "hotel", 1, true)) // the slots are free again
		is.Equal(a.status, 200)
	})
}

// TestSlowRequestBodyTimesOut checks that a caller that doesn't send its body is
// cut off after the time limit for bodies.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		c, err := f.net.DialerFrom(clientIP).DialContext(t.Context(), "tcp", "10.0.2.1:8080")
		is.NoErr(err)
		defer c.Close()
		_, err = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer hotel\r\nContent-Length: 100\r\n\r\n{"))
		is.NoErr(err)
		b := make([]byte, 64)
		n, err := c.Read(b)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(b[:n]), "HTTP/1.1 400")) // after the time limit for the body
	})
}

func TestTotalBodySizeIsBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		big := completion("r1", "hotel", 50, false)
		big.body = strings.Replace(big.body, "{", `{"pad":"`+strings.Repeat("x", 7<<20)+`",`, 1)
		var rs []request
		for range 30 { // 210 MB; 128 MB are allowed, 32 MB of them waiting
			rs = append(rs, big)
		}
		full := 0
		for _, a := range f.startAll(rs...)() {
			if a.status == http.StatusTooManyRequests {
				full++
				is.Equal(a.outcome, "not-run")
			}
		}
		is.True(full >= 12)
		is.Equal(f.do(completion("r1", "hotel", 1, true)).status, 200) // all memory is released
	})
}

func TestFullQueueRefusesRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := smallFleet(t)
		var rs []request
		for range 1024 + 12 { // 12 more than an account may queue
			rs = append(rs, completion("r1", "hotel", 1, false))
		}
		full := 0
		for _, a := range f.startAll(rs...)() {
			if a.status == http.StatusTooManyRequests {
				full++
				is.Equal(a.outcome, "not-run")
				is.Equal(a.header.Get("Retry-After"), "1")
			}
		}
		is.Equal(full, 12)
		is.Equal(f.engines["e1"].Runs(), len(rs)-full) // "not-run" was correct
	})
}
