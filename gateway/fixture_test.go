// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines fixture, a gateway in a synctest bubble with virtual time. Its backend servers
// are functions, and it has its own header codec.

// sharedTokens is the size of the prompt part named by the Shared header.
const sharedTokens = 3000

// testHeaders is a codec with header names that no deployment uses.
type testHeaders struct{}

func (testHeaders) DecodeRequest(r *http.Request) RequestHead {
	ms, _ := strconv.Atoi(r.Header.Get("Patience"))
	own, _ := strconv.Atoi(r.Header.Get("Tokens"))
	prompt := place.Prompt{Own: own}
	if name := r.Header.Get("Shared"); name != "" {
		prompt.Shared = []place.Part{{Name: name, Tokens: sharedTokens}}
	}
	return RequestHead{
		ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond,
		Prompt: prompt, LastEventID: r.Header.Get("After"), Resumes: r.Header.Get("Begun-By"),
	}
}

func (testHeaders) ForwardHeader(from http.Header, f Forwarding) http.Header {
	h := from.Clone()
	h.Del("Key")
	h.Set("Left", strconv.FormatInt(f.Timeout.Milliseconds(), 10))
	h.Set("Backend", f.Server)
	h.Set("Tenant", f.Account)
	if f.LastEventID != "" {
		h.Set("After", f.LastEventID)
	}
	return h
}

func (testHeaders) DecodeAnswer(status int, h http.Header) AnswerHead {
	backoff, _ := time.ParseDuration(h.Get("Backoff"))
	return AnswerHead{
		ID: h.Get("Id"), Misdirected: status == http.StatusMisdirectedRequest, Signed: h.Get("Sealed") != "", Backoff: backoff,
		Leaving: h.Get("Leaving") != "",
	}
}

func (testHeaders) AnswerHeader(from http.Header) http.Header { return from.Clone() }

// behaviour is a backend server's handling of a call.
type behaviour func(ctx context.Context, call forward.Call) (*forward.Response, error)

// fakeServers implements [Transport] with behaviours and records the calls.
type fakeServers struct {
	mu         sync.Mutex
	behaviours map[string]behaviour // by address
	arrivals   []forward.Call
	dropped    []string // addresses whose idle connections were closed
}

func (f *fakeServers) Send(ctx context.Context, address string, call forward.Call) (*forward.Response, error) {
	f.mu.Lock()
	f.arrivals = append(f.arrivals, call)
	does := f.behaviours[address]
	f.mu.Unlock()
	if does == nil {
		return nil, forward.NotRun{Server: address, Err: io.ErrClosedPipe}
	}
	return does(ctx, call)
}

// set sets the behaviour of an address.
func (f *fakeServers) set(address string, d behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviours[address] = d
}

// at returns the behaviour of an address.
func (f *fakeServers) at(address string) behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behaviours[address]
}

func (f *fakeServers) DropIdle(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped = append(f.dropped, address)
}

func (f *fakeServers) DropAllIdle() { f.DropIdle("all") }

// RefusesConnections implements [Transport]. Addresses without a behaviour refuse connections.
func (f *fakeServers) RefusesConnections(_ context.Context, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behaviours[address] == nil
}

func (f *fakeServers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// answerHeader returns the header of an answer to a call.
func answerHeader(call forward.Call) http.Header {
	return http.Header{"Id": call.Header["Id"], "Sealed": {"yes"}}
}

// answers returns an answer with a body after a delay.
func answers(status int, body string, after time.Duration) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		if !sleep.For(ctx, after) {
			return nil, forward.MayHaveRun{Err: ctx.Err()}
		}
		return &forward.Response{
			Status: status, Header: answerHeader(call), Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

// fails fails every call with the same error.
func fails(err error) behaviour {
	return func(context.Context, forward.Call) (*forward.Response, error) { return nil, err }
}

// hangs accepts the call and never answers.
func hangs(ctx context.Context, _ forward.Call) (*forward.Response, error) {
	<-ctx.Done()
	return nil, forward.MayHaveRun{Err: ctx.Err()}
}

// refuses refuses every call as not run.
func refuses(status int) behaviour {
	return func(_ context.Context, call forward.Call) (*forward.Response, error) {
		h := http.Header{"Id": call.Header["Id"], "Not-Run": {"1"}}
		return nil, forward.NotRun{Refused: true, Status: status, Header: h, Err: io.EOF}
	}
}

// piece is a part of a streamed body.
type piece struct {
	text  string
	after time.Duration
	err   error // ends the stream; io.EOF if it is complete
}

// streams answers with a stream of pieces.
func streams(pieces ...piece) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return &forward.Response{
			Status: http.StatusOK, Header: answerHeader(call), Length: -1, Body: &pieceReader{ctx: ctx, pieces: pieces},
		}, nil
	}
}

type pieceReader struct {
	ctx    context.Context
	pieces []piece
}

func (r *pieceReader) Read(b []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	p := r.pieces[0]
	if !sleep.For(r.ctx, p.after) {
		return 0, r.ctx.Err()
	}
	r.pieces = r.pieces[1:]
	return copy(b, p.text), p.err
}

func (r *pieceReader) Close() error { return nil }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// fixture is a gateway under test.
type fixture struct {
	t       *testing.T
	g       *Gateway
	servers *fakeServers
	reports uint64 // reports counted by the leader
}

func testDocument() document.Document {
	route := func(name string, kind document.Kind, attempts int, resumable bool) document.Route {
		return document.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 400 * time.Millisecond,
			Targets: []document.Target{{Pool: "plain", Weight: 1}}, MaxAttempts: attempts, Resumable: resumable, EventGap: 100 * time.Millisecond,
		}
	}
	engine := route("engine", document.Stream, 2, true)
	engine.Targets[0].Pool = "engines"
	return document.Document{
		Number: 3,
		Pools:  []document.Pool{{Name: "plain", Connections: 100}, {Name: "engines", Engine: true}},
		Routes: []document.Route{
			route("once", document.Once, 2, false), route("again", document.Repeatable, 2, false),
			route("stream", document.Stream, 2, false), route("resume", document.Stream, 2, true), engine,
		},
		Accounts: []document.Account{{Name: "t", Keys: []string{"key"}}, {Name: "u", Keys: []string{"other"}}},
	}
}

// withGateway runs f with a gateway in a synctest bubble. Its pool "plain" has the backend servers
// p0, p1, … with the given behaviours. There is no directory.
func withGateway(t *testing.T, f func(x *fixture), behaviours ...behaviour) {
	synctest.Test(t, func(t *testing.T) {
		set := metrics.NewSet()
		x := &fixture{t: t, servers: &fakeServers{behaviours: map[string]behaviour{}}}
		x.g = Start(t.Context(), Settings{
			Identity: link.Identity{Name: "g"}, Hall: "z", Headers: testHeaders{}, Transport: x.servers,
			Retries: retry.Limits{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}, Grace: 8 * time.Second,
			MaxTotalBodyBytes: 1 << 20, Random: func() uint64 { return 1 }, Metrics: set,
			Log: decision.New(io.Discard, slog.LevelInfo, decision.DefaultBudget, set),
		})
		defer func() {
			x.g.stop()
			x.g.cfg.Log.Close()
			synctest.Wait()
			if n := x.counter("badgerspoke_gateway_second_heads_total"); n > 0 {
				t.Errorf("%d heads followed another one in the same response", n)
			}
		}()
		x.g.gatewayCount.Store(1)
		x.g.apply(testDocument())
		x.announceServers("plain", behaviours...)
		f(x)
	})
}

// announceServers adds backend servers with the given behaviours to a pool.
func (x *fixture) announceServers(pool string, behaviours ...behaviour) {
	m := protocol.Servers{Term: 1}
	for i, d := range behaviours {
		b := protocol.Server{Handle: uint32(len(pool)*10 + i), Registration: protocol.Registration{
			ID: fmt.Sprintf("%s%d", pool[:1], i), Pool: pool, Address: fmt.Sprintf("10.0.%d.%d:80", len(pool), i), Hall: "z", Slots: 4,
		}}
		x.servers.set(b.Address, d)
		m.Set = append(m.Set, b)
	}
	x.g.table.update(m)
}

// reply is the response received by a caller.
type reply struct {
	status int
	header http.Header
	body   string
	cut    bool // the connection was closed without a complete answer
	took   time.Duration
}

// request sends a request and waits for the reply.
func (x *fixture) request(path string, header ...string) reply {
	return x.requestWith(x.t.Context(), http.MethodPost, path, "a body", header...)
}

func (x *fixture) requestWith(ctx context.Context, method, path, body string, header ...string) (out reply) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Host = "host"
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	began := time.Now()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			out.cut = true
		}
		out.status, out.header, out.body, out.took = w.Code, w.Result().Header, w.Body.String(), time.Since(began)
	}()
	x.g.ServeHTTP(w, r)
	return out
}

// monotonic returns a clock that starts at zero.
func monotonic() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
