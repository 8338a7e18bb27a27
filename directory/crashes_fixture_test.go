// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file adds to the fixture backend servers that crash, by themselves or because of a request, and
// callers of a fleet with such servers.

const (
	crashDelay   = 60 * time.Millisecond   // from the start of a crashing request to the crash of its server
	restartDelay = 1500 * time.Millisecond // from the crash of a server to its restart
)

// crashingServers are backend servers of one pool. A crashing request, whose body begins with "deadly" or
// whose prompt has a part with such a name, crashes the server that begins it.
type crashingServers struct {
	x           *fleet
	runTime     time.Duration // run time of a request
	streams     bool          // the header of an answer is sent at once, its body after the run
	keepIDs     bool          // a server restarts with its earlier identifier
	halls       []string      // halls of the servers, in turn
	firstTarget int           // number of the first server of another version, which is announced after the order; 0 for none
	resets      bool          // a crashing request only breaks its own connection
	downTime    time.Duration // from a crash to the restart; 0 means restartDelay

	mu                    sync.Mutex
	repaired              bool                // crashing requests crash no server any more
	ordered               bool                // the rollout to the other version was ordered
	processes             map[string]*process // by address
	starts                int
	crashes               []time.Time
	crashingRequestStarts map[string][]time.Time // when servers began crashing requests, by body
}

// process is one run of the server at an address.
type process struct {
	id    string
	seq   uint64
	up    bool
	ended chan struct{}
}

// startCrashingServers starts n servers.
func (x *fleet) startCrashingServers(n int, run time.Duration) *crashingServers {
	m := &crashingServers{x: x, runTime: run, processes: map[string]*process{}, crashingRequestStarts: map[string][]time.Time{}}
	for i := range n {
		m.start(serverAddress(fmt.Sprint("b", i+1)))
	}
	return m
}

func (m *crashingServers) start(at string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	m.processes[at] = &process{id: fmt.Sprint("s", m.starts), up: true, ended: make(chan struct{})}
}

// restart starts a server at the address of one that has crashed.
func (m *crashingServers) restart(at string, before *process) {
	m.start(at)
	if !m.keepIDs {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes[at].id, m.processes[at].seq = before.id, before.seq
}

// crash crashes the servers at some addresses at once. They restart later, with new identifiers unless
// keepIDs is set.
func (m *crashingServers) crash(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range addresses {
		p := m.processes[at]
		if !p.up {
			continue
		}
		p.up = false
		close(p.ended)
		m.crashes = append(m.crashes, time.Now())
		time.AfterFunc(cmp.Or(m.downTime, restartDelay), func() {
			m.restart(at, p)
			m.announce()
		})
	}
}

// announce announces all running servers.
func (m *crashingServers) announce() {
	d := m.x.leaderDirectory()
	if d == nil {
		return
	}
	for _, a := range m.announcements() {
		ctx, cancel := context.WithTimeout(m.x.t.Context(), time.Second)
		_ = d.Announce(ctx, a) // a replica that no longer leads refuses it
		cancel()
	}
}

func (m *crashingServers) announcements() (all []registry.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for at, p := range m.processes {
		if !p.up {
			continue
		}
		version := m.version(at)
		if version == "v2" && !m.ordered {
			continue
		}
		p.seq++
		all = append(all, registry.Announcement{
			Registration: protocol.Registration{ID: p.id, Pool: "p", Address: at, Slots: 12, Hall: m.hall(at), Version: version}, Seq: p.seq,
		})
	}
	return all
}

// hall returns the hall of the server at an address.
func (m *crashingServers) hall(at string) string {
	if len(m.halls) == 0 {
		return ""
	}
	return m.halls[numberOf(at)%len(m.halls)]
}

// version returns the version of the server at an address.
func (m *crashingServers) version(at string) string {
	switch {
	case m.firstTarget == 0:
		return ""
	case numberOf(at) < m.firstTarget:
		return "v1"
	}
	return "v2"
}

// numberOf returns the number of the server at an address.
func numberOf(at string) (n int) {
	_, _ = fmt.Sscanf(at, "10.0.3.%d:", &n) // the format of serverAddress
	return n
}

func (m *crashingServers) DropIdle(string) {}
func (m *crashingServers) DropAllIdle()    {}

// RefusesConnections implements gateway.Transport.
func (m *crashingServers) RefusesConnections(ctx context.Context, at string) bool {
	return sleep.For(ctx, networkLatency) && !m.processAt(at).up
}

func (m *crashingServers) processAt(at string) process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.processes[at]
}

// Send implements gateway.Transport.
func (m *crashingServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	if !sleep.For(ctx, networkLatency) {
		return nil, forward.NotRun{Server: at, Err: ctx.Err()}
	}
	p := m.processAt(at)
	if !p.up {
		return nil, forward.NotRun{Server: at, Err: syscall.ECONNREFUSED}
	}
	run := m.runTime
	if cause := crashCause(call); cause != "" && !m.isRepaired() {
		m.recordStart(cause)
		if m.resets {
			return nil, forward.MayHaveRun{Server: at, Err: syscall.ECONNRESET}
		}
		run = time.Hour
		time.AfterFunc(crashDelay, func() { m.crash(at) })
	}
	body := &crashingBody{ctx: ctx, done: time.After(run), ended: p.ended}
	if !m.streams {
		if err := body.wait(); err != nil {
			return nil, forward.MayHaveRun{Server: at, Err: err}
		}
	}
	return &forward.Response{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: -1, Body: body}, nil
}

// crashingBody is an answer's body, which can be read when the run is over.
type crashingBody struct {
	ctx   context.Context
	done  <-chan time.Time
	ended chan struct{}
	over  bool
	text  io.Reader
}

// wait waits for the end of the run.
func (b *crashingBody) wait() error {
	if b.over {
		return nil
	}
	select {
	case <-b.done:
		b.over, b.text = true, strings.NewReader("id: 1\n\n")
		return nil
	case <-b.ctx.Done():
		return b.ctx.Err()
	case <-b.ended:
		return io.ErrUnexpectedEOF
	}
}

// Read implements io.Reader.
func (b *crashingBody) Read(to []byte) (int, error) {
	if err := b.wait(); err != nil {
		return 0, err
	}
	return b.text.Read(to)
}

// Close implements io.Closer.
func (b *crashingBody) Close() error { return nil }

func (m *crashingServers) recordStart(body string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashingRequestStarts[body] = append(m.crashingRequestStarts[body], time.Now())
}

// countCrashingRequest returns how often servers began a crashing request, and how often later than
// verdictTime after its third crash.
func (m *crashingServers) countCrashingRequest(body string) (sent, late int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, at := range m.crashingRequestStarts[body] {
		if i >= 3 && at.Sub(m.crashingRequestStarts[body][2]) > crashDelay+verdictTime {
			late++
		}
	}
	return len(m.crashingRequestStarts[body]), late
}

// countCrashes returns how many servers have crashed.
func (m *crashingServers) countCrashes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.crashes)
}

// retryDocument returns a document with one route, which allows a second attempt.
func retryDocument(number uint64, kind document.Kind) document.StoredDocument {
	h := testDocument(number)
	r := &h.Document.Routes[0]
	r.Kind, r.MaxAttempts, r.Timeout = kind, 2, 2*time.Second
	return h
}

// callers sends requests to the fleet's gateways and counts the answers.
type callers struct {
	x        *fleet
	n        int // number of requests, for identifiers
	mu       sync.Mutex
	answers  map[string]map[int]int // number of answers by kind of request and status
	gateways map[string]*gateway.Gateway
}

// withCallers runs f in a fleet with servers, gateways, and callers that send different requests to each
// gateway and, less often, the same request to all.
func (x *fleet) withCallers(m *crashingServers, gateways int, f func(c *callers)) {
	is := is.New(x.t)
	kind := document.Repeatable
	if m.streams {
		kind = document.Stream
	}
	is.NoErr(x.awaitLeader().d.Put(x.t.Context(), retryDocument(1, kind)))
	stop := x.announceRepeatedly(m.announce)
	defer stop()
	c := &callers{x: x, answers: map[string]map[int]int{}, gateways: map[string]*gateway.Gateway{}}
	for i := range gateways {
		c.startGateway(m, gatewayIP(i))
	}
	time.Sleep(3 * time.Second)
	c.mu.Lock()
	clear(c.answers)
	c.mu.Unlock()
	f(c)
}

func gatewayIP(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// Times between two requests of a gateway's callers.
const (
	otherPeriod = 20 * time.Millisecond // of requests with different bodies
	hotPeriod   = 50 * time.Millisecond // of the request that all gateways receive
)

// startGateway starts a startGateway with its own callers.
func (c *callers) startGateway(m *crashingServers, ip string) {
	g := c.x.startGatewayWithLoad(ip, testHeaders{}, m, func(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway) {
		inFlight.Go(func() {
			for range sleep.Every(ctx, hotPeriod) {
				inFlight.Go(func() { c.send(g, "hot", http.MethodGet, "") })
			}
		})
		n := 0
		for range sleep.Every(ctx, otherPeriod) {
			n++
			body := fmt.Sprint(ip, " ", n)
			inFlight.Go(func() { c.send(g, "other", http.MethodPost, body) })
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[ip] = g
}

// gatewayAt returns the gateway that was last started at an address.
func (c *callers) gatewayAt(ip string) *gateway.Gateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateways[ip]
}

// removeGateway stops sending requests to a gateway.
func (c *callers) removeGateway(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[ip] = nil
}

// send sends a request under a new identifier and counts its answer.
func (c *callers) send(g *gateway.Gateway, kind, method, body string) (status int) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprint("r", c.n)
	c.mu.Unlock()
	r := httptest.NewRequestWithContext(c.x.t.Context(), method, "/"+kind, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("Id", id)
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers[kind] == nil {
		c.answers[kind] = map[int]int{}
	}
	c.answers[kind][w.Code]++
	return w.Code
}

// repeat sends a body to one gateway after another for some time.
func (c *callers) repeat(body string, period, length time.Duration) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	c.mu.Lock()
	gateways := len(c.gateways)
	c.mu.Unlock()
	i := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(period) {
		i = (i*5 + 3) % 16 // a permutation of 0 to 15, so that every gateway is used, but not in order
		if g := c.gatewayAt(gatewayIP(i % gateways)); g != nil {
			inFlight.Go(func() { c.send(g, "deadly", http.MethodPost, body) })
		}
	}
}

// answeredShare returns the fraction of the requests of a kind that were answered, and how many were
// refused as condemned.
func (c *callers) answeredShare(kind string) (fraction float64, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, n := range c.answers[kind] {
		all += n
	}
	return float64(c.answers[kind][http.StatusOK]) / float64(max(all, 1)), c.answers[kind][http.StatusBadRequest]
}
