// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests what callers receive, depending on how backend servers behave.

var errReset = errors.New("connection reset")

// TestResponsesToServerFailures lists failures with the response to the caller and the number of
// times the request arrived at a backend server.
func TestResponsesToServerFailures(t *testing.T) {
	unreachable := fails(forward.NotRun{Err: errReset})
	lostAnswer := fails(forward.MayHaveRun{Err: errReset})
	ok := answers(200, "fine", 0)
	crossed := func(_ context.Context, call forward.Call) (*forward.Response, error) {
		h := answerHeader(call)
		h.Set("Id", "another")
		return &forward.Response{Status: 200, Header: h, Length: 4, Body: io.NopCloser(strings.NewReader("evil"))}, nil
	}
	unsealed := func(_ context.Context, call forward.Call) (*forward.Response, error) {
		h := answerHeader(call)
		h.Del("Sealed")
		return &forward.Response{Status: 200, Header: h, Length: 4, Body: io.NopCloser(strings.NewReader("evil"))}, nil
	}
	cutOff := func(_ context.Context, call forward.Call) (*forward.Response, error) {
		body := &pieceReader{ctx: context.Background(), pieces: []piece{{text: "fi", err: io.ErrUnexpectedEOF}}}
		return &forward.Response{Status: 200, Header: answerHeader(call), Length: 4, Body: body}, nil
	}
	for _, tt := range []struct {
		name       string
		route      string
		behaviours []behaviour // of the backend servers, in the order of the attempts
		status     int
		body       string // substring
		arrivals   int
	}{
		{"answered", "once", []behaviour{ok, ok}, 200, "fine", 1},
		{"unreachable, then another server", "once", []behaviour{unreachable, ok}, 200, "fine", 2},
		{"no server reachable: not run", "once", []behaviour{unreachable, unreachable}, 503, "no-backend", 2},
		{"lost answer: may have run", "once", []behaviour{lostAnswer, ok}, 502, "may-have-run", 1},
		{"lost answer: repeated where allowed", "again", []behaviour{lostAnswer, ok}, 200, "fine", 2},
		{"lost twice: may have run", "again", []behaviour{lostAnswer, lostAnswer, ok}, 502, "may-have-run", 2},
		{"refused: not run", "once", []behaviour{refuses(503), refuses(503), refuses(503)}, 503, "refused-by-backend", 3},
		{"refused, then answered", "once", []behaviour{refuses(503), ok}, 200, "fine", 2},
		{"refused after a lost answer: may have run", "again", []behaviour{lostAnswer, refuses(503), refuses(503)}, 502, "may-have-run", 3},
		{"server error is passed on", "once", []behaviour{answers(500, "broken", 0), ok}, 500, "broken", 1},
		{"server error: repeated where allowed", "again", []behaviour{answers(500, "broken", 0), ok}, 200, "fine", 2},
		{"two server errors: the last is passed on", "again", []behaviour{answers(500, "a", 0), answers(500, "b", 0), ok}, 500, "b", 2},
		{"client error is final", "again", []behaviour{answers(404, "nothing", 0), ok}, 404, "nothing", 1},
		{"answer to another request: may have run", "once", []behaviour{crossed, ok}, 502, "may-have-run", 1},
		{"answer to another request: repeated", "again", []behaviour{crossed, ok}, 200, "fine", 2},
		{"unsealed success: may have run", "once", []behaviour{unsealed, ok}, 502, "may-have-run", 1},
		{"truncated answer: may have run", "once", []behaviour{cutOff, ok}, 502, "may-have-run", 1},
		{"truncated answer: repeated", "again", []behaviour{cutOff, ok}, 200, "fine", 2},
		{"no answer: timeout", "once", []behaviour{hangs, ok}, 504, "timed-out", 1},
		{"silent backend, then another server", "again", []behaviour{hangs, ok}, 200, "fine", 2},
		{"no backend", "once", nil, 503, "no-backend", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder(tt.behaviours)
				got := x.request("/" + tt.route + "/x")
				is.Equal(got.status, tt.status)
				is.True(strings.Contains(got.body, tt.body))
				is.Equal(x.servers.count(), tt.arrivals)
				is.True(!got.cut)
				if promise := got.status == 503 || got.status == 429; promise {
					is.True(got.header.Get("Retry-After") != "") // a refusal promises that the request has not run
				}
			})
		})
	}
}

// announceInOrder adds as many backend servers as there are behaviours. The first attempt meets the
// first behaviour, whichever server it goes to, and so on.
func (x *fixture) announceInOrder(behaviours []behaviour) {
	var mu sync.Mutex
	next := 0
	each := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		mu.Lock()
		d := behaviours[min(next, len(behaviours)-1)]
		next++
		mu.Unlock()
		return d(ctx, call)
	}
	all := make([]behaviour, len(behaviours))
	for i := range all {
		all[i] = each
	}
	x.announceServers("plain", all...)
}

func TestUnmatchedRequestsAreRefused(t *testing.T) {
	for _, tt := range []struct {
		name   string
		path   string
		header []string
		status int
	}{
		{"no route", "/nowhere/x", nil, 404},
		{"another host", "/once/x", []string{"Host", "x"}, 200}, // the Host header field is not the host
		{"unknown key", "/once/x", []string{"Key", "wrong"}, 401},
		{"no key", "/once/x", []string{"Key", ""}, 401},
		{"known", "/once/x", nil, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is.New(x.t).Equal(x.request(tt.path, tt.header...).status, tt.status)
			}, answers(200, "fine", 0))
		})
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		d := testDocument()
		d.Number, d.Limits.BodyBytes = 4, 10
		x.g.apply(d)
		is.Equal(x.requestWith(x.t.Context(), "POST", "/once/x", strings.Repeat("x", 11)).status, 413)
		is.Equal(x.requestWith(x.t.Context(), "POST", "/once/x", strings.Repeat("x", 10)).status, 200)
	}, answers(200, "fine", 0))
}

func TestHeaderOverTheLimit(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		pad := strings.Repeat("x", 1000-len("Host: host\r\nId: request-1\r\nKey: key\r\nPad: \r\n"))
		is.Equal(x.request("/once/x", "Pad", pad+"x").status, 200) // no limit
		d := testDocument()
		d.Number, d.Limits.HeaderBytes = 4, 1000
		x.g.apply(d)
		is.Equal(x.request("/once/x", "Pad", pad).status, 200)
		is.Equal(x.request("/once/x", "Pad", pad+"x").status, 431)
		is.Equal(x.request("/nowhere/x", "Pad", pad+"x").status, 431) // checked before the route
		is.Equal(x.servers.count(), 2)                                // nothing was forwarded
	}, answers(200, "fine", 0))
}

// TestRequestsBeforeFirstDocumentAreRefusedAsNotRun checks that a gateway without a document
// refuses requests as not run, not as unknown.
func TestRequestsBeforeFirstDocumentAreRefusedAsNotRun(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.routes.Store(nil)
		is.True(!x.g.Ready())
		is.Equal(x.request("/nowhere/x", "Key", "wrong").status, 503)
	}, answers(200, "fine", 0))
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		older := testDocument()
		older.Number, older.Routes = 2, nil
		x.g.apply(older)
		is.Equal(x.g.DocumentNumber(), uint64(3))
		is.Equal(x.request("/once/x").status, 200)
	}, answers(200, "fine", 0))
}

// TestForwardedRequest checks the forwarded request head and body.
func TestForwardedRequest(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.request("/once/a%2Fb?q=1", "Patience", "1000", "Tenant", "forged", "Other", "kept")
		call := x.servers.arrivals[0]
		is.Equal(call.Path, "/once/a%2Fb?q=1")
		is.Equal(call.Host, "host")
		is.Equal(string(call.Body), "a body")
		is.Equal(call.Header.Get("Left"), "1000")
		is.Equal(call.Header.Get("Backend"), "p0")
		is.Equal(call.Header.Get("Tenant"), "t")
		is.Equal(call.Header.Get("Key"), "")
		is.Equal(call.Header.Get("Other"), "kept")
	}, answers(200, "fine", 0))
}

// TestForwardedTimeout checks that a second backend server receives the remaining time, and that
// the route's timeout limits the caller's.
func TestForwardedTimeout(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{hangs, answers(200, "fine", 0)})
		x.request("/again/x", "Patience", "9000")
		is.Equal(x.servers.arrivals[0].Header.Get("Left"), "3000") // the route's timeout
		is.Equal(x.servers.arrivals[1].Header.Get("Left"), "2000") // after 2.5 objectives
	})
}

func TestCallerTimeout(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/once/x", "Patience", "1500")
		is.Equal(got.status, 504)
		is.Equal(got.took, 1500*time.Millisecond)
	}, hangs)
}

// TestLeavingCallerCancelsAttempt checks that the call to the backend server is canceled when the
// caller leaves.
func TestLeavingCallerCancelsAttempt(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		ctx, cancel := context.WithTimeout(x.t.Context(), 300*time.Millisecond)
		defer cancel()
		var stoppedAt time.Time
		x.servers.behaviours["10.0.5.0:80"] = func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			defer func() { stoppedAt = time.Now() }()
			return hangs(ctx, call)
		}
		began := time.Now()
		got := x.requestWith(ctx, "POST", "/again/x", "")
		is.True(got.cut)
		is.Equal(stoppedAt.Sub(began), 300*time.Millisecond)
		is.Equal(x.servers.count(), 1) // no retry without a caller
	}, hangs)
}

// TestMisdirectedServerIsRemoved checks that if another backend server has taken over an address,
// the request, which has not run, goes to another server, and the table drops the entry.
func TestMisdirectedServerIsRemoved(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{refuses(http.StatusMisdirectedRequest), answers(200, "fine", 0)})
		is.Equal(x.request("/once/x").status, 200)
		is.Equal(x.g.table.size(), 1)
	})
}

func TestServerIsEjectedAndRecovers(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("plain", fails(forward.NotRun{Err: errReset}), answers(200, "fine", 0))
		for range 12 {
			is.Equal(x.request("/once/x").status, 200)
		}
		wasted := x.servers.count() - 12
		is.True(wasted <= 3) // then it was ejected
		x.servers.behaviours["10.0.5.0:80"] = answers(200, "fine", 0)
		time.Sleep(outlier.MinGatewayEjection)
		is.Equal(x.request("/again/x").status, 200) // a repeatable request may try an ejected server
		is.Equal(x.g.table.servers["p0"].health.State(x.g.now()), outlier.InUse)
	})
}

// TestNonRepeatableRequestAvoidsEjectedServer checks that a request that may not be repeated never
// goes to an ejected backend server while another one is available.
func TestNonRepeatableRequestAvoidsEjectedServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("plain", answers(200, "fine", 0), answers(200, "fine", 0))
		p := x.g.table.pool("plain")
		for range 3 {
			p.failures.Record(x.g.now(), &x.g.table.servers["p0"].health, outlier.Lost, false)
		}
		time.Sleep(2 * outlier.MinGatewayEjection)
		for range 5 {
			x.request("/once/x")
		}
		for _, call := range x.servers.arrivals {
			is.Equal(call.Header.Get("Backend"), "p1")
		}
	})
}

// TestRetryBudget checks that retries stop at the budget if every backend server fails.
func TestRetryBudget(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Extra = 10
		x.announceInOrder([]behaviour{answers(500, "broken", 0), answers(500, "broken", 0)})
		for range 100 {
			x.request("/again/x")
		}
		repeats := x.servers.count() - 100
		is.True(repeats >= 10 && repeats <= 21) // 0.7 x (0.2 x 100 + 10)
	})
}

// TestRefusalWithoutRetryBudget checks the refusal of a request that another server might have
// accepted, but for the retry budget.
func TestRefusalWithoutRetryBudget(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Extra = 0
		x.announceInOrder([]behaviour{refuses(503), refuses(503)})
		got := x.request("/once/x")
		is.Equal(got.status, 503)
		is.True(strings.Contains(got.body, "no-retry-budget"))
		is.Equal(x.servers.count(), 1)
	})
}

// TestUnlistedServerIsRemovedOnceItFails checks that a backend server missing from a complete list
// is used only as long as it answers.
func TestUnlistedServerIsRemovedOnceItFails(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("plain", answers(200, "fine", 0), answers(200, "fine", 0))
		list := []protocol.Server{x.g.table.servers["p1"].Server}
		x.g.table.update(protocol.Servers{Term: 1, Whole: true, Complete: true, Set: list})
		for range 4 {
			is.Equal(x.request("/again/x").status, 200)
		}
		is.Equal(x.g.Servers(), []string{"p0", "p1"})
		x.servers.behaviours["10.0.5.0:80"] = fails(forward.NotRun{Err: errReset})
		x.g.table.servers["p1"].ownLoad.Requests = 1 // so that p0 is preferred
		for range 4 {
			is.Equal(x.request("/again/x").status, 200)
		}
		is.Equal(x.g.Servers(), []string{"p1"})
	})
}

// TestStop checks the phases of a planned stop.
func TestStop(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var group sync.WaitGroup
		var long reply
		group.Go(func() { long = x.request("/once/x", "Patience", "3000") })
		time.Sleep(10 * time.Millisecond)
		ended := make(chan time.Duration, 1)
		began := time.Now()
		go func() { x.g.Stop(context.Background()); ended <- time.Since(began) }()
		time.Sleep(time.Second)
		is.True(!x.g.Ready())
		early := x.request("/once/x")
		is.Equal(early.status, 200) // the load balancer has not noticed yet
		is.Equal(early.header.Get("Connection"), "close")
		time.Sleep(700 * time.Millisecond)
		group.Go(func() { x.request("/once/x") }) // keeps the gateway from ending early
		time.Sleep(800 * time.Millisecond)        // after a third of the grace
		late := x.request("/once/x", "Patience", "2900")
		is.Equal(late.status, 200) // its deadline is within the grace period
		later := x.request("/once/x", "Patience", "10000")
		is.Equal(later.status, 503)
		is.True(strings.Contains(later.body, "stopping"))
		group.Wait()
		is.Equal(long.status, 200)
		is.True(<-ended < 6*time.Second) // the gateway ends with its last request
	}, answers(200, "fine", 900*time.Millisecond))
}

func TestBrokenRequestBody(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.requestWithBody(&pieceReader{ctx: x.t.Context(), pieces: []piece{{text: "a b", err: errReset}}}, 10)
		is.Equal(got.status, 400)
		is.Equal(x.servers.count(), 0)
	}, answers(200, "fine", 0))
}

func TestConcurrentRequestsReleaseServers(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var group sync.WaitGroup
		statuses := make([]int, 200)
		for i := range statuses {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				statuses[i] = x.request(fmt.Sprintf("/again/%d", i)).status
			})
		}
		group.Wait()
		for _, s := range statuses {
			is.Equal(s, 200)
		}
		for _, k := range x.g.table.servers {
			is.Equal(k.ownLoad.Requests, 0) // every assignment was released
			is.Equal(k.ownLoad.Tokens, 0)
		}
	}, answers(200, "a", 20*time.Millisecond), answers(200, "b", 20*time.Millisecond))
}
