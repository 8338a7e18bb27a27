// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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

// This file adds to the fixture backend servers of several versions that answer with streams, and
// callers that take broken streams up.

const (
	streamEvents    = 40
	streamEventTime = 50 * time.Millisecond // between two events
)

// streamServers are backend servers b1, b2, … of one pool. Each event names the version of its server.
type streamServers struct {
	x *fleet

	mu       sync.Mutex
	versions map[string]string // by identifier; servers that are down have none
	halls    []string          // of the servers, in turn
}

// setVersions starts servers of the given versions in place of the present ones. Those of an empty
// version are down.
func (m *streamServers) setVersions(versions ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.versions = map[string]string{}
	for i, v := range versions {
		if v != "" {
			m.versions[fmt.Sprint("b", i+1)] = v
		}
	}
}

// announce announces all servers that are up.
func (m *streamServers) announce() {
	d := m.x.leaderDirectory()
	if d == nil {
		return
	}
	m.mu.Lock()
	var all []registry.Announcement
	for id, version := range m.versions {
		m.x.announceSeqs[id]++
		a := registry.Announcement{
			Registration: protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 100, Version: version}, Seq: m.x.announceSeqs[id],
		}
		if len(m.halls) > 0 {
			a.Hall = m.halls[numberOf(a.Address)%len(m.halls)]
		}
		all = append(all, a)
	}
	m.mu.Unlock()
	for _, a := range all {
		ctx, cancel := context.WithTimeout(m.x.t.Context(), time.Second)
		_ = d.Announce(ctx, a) // a replica that no longer leads refuses it
		cancel()
	}
}

// depart makes a server leave for good.
func (m *streamServers) depart(id string) {
	is := is.New(m.x.t)
	m.mu.Lock()
	delete(m.versions, id)
	m.mu.Unlock()
	is.NoErr(m.x.announce(id, true))
}

func (m *streamServers) DropIdle(string) {}
func (m *streamServers) DropAllIdle()    {}

// RefusesConnections implements gateway.Transport.
func (m *streamServers) RefusesConnections(_ context.Context, at string) bool {
	return m.versionAt(at) == ""
}

func (m *streamServers) versionAt(at string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versions[fmt.Sprint("b", numberOf(at))]
}

// Send implements gateway.Transport.
func (m *streamServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	version := m.versionAt(at)
	if !sleep.For(ctx, networkLatency) || version == "" {
		return nil, forward.NotRun{Server: at, Err: syscall.ECONNREFUSED}
	}
	after, _ := strconv.Atoi(call.Header.Get("After")) // absent for a new stream
	body := &eventBody{ctx: ctx, version: version, next: after + 1}
	return &forward.Response{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: -1, Body: body}, nil
}

// eventBody is the body of a stream.
type eventBody struct {
	ctx     context.Context
	version string
	next    int
}

// Read implements io.Reader.
func (b *eventBody) Read(to []byte) (int, error) {
	if b.next > streamEvents {
		return 0, io.EOF
	}
	if !sleep.For(b.ctx, streamEventTime) {
		return 0, b.ctx.Err()
	}
	b.next++
	return copy(to, fmt.Sprintf("id: %d\ndata: %s\n\n", b.next-1, b.version)), nil
}

// Close implements io.Closer.
func (b *eventBody) Close() error { return nil }

// streamHeaders is the codec of the gateways.
type streamHeaders struct{ testHeaders }

func (streamHeaders) DecodeRequest(r *http.Request) gateway.RequestHead {
	return gateway.RequestHead{
		ID: r.Header.Get("Id"), Timeout: 8 * time.Second, LastEventID: r.Header.Get("After"), Resumes: r.Header.Get("Begun-By"),
	}
}

func (streamHeaders) ForwardHeader(from http.Header, f gateway.Forwarding) http.Header {
	h := from.Clone()
	if f.LastEventID != "" {
		h.Set("After", f.LastEventID)
	}
	return h
}

// streamDocument returns a document with one route for resumable streams.
func streamDocument(number uint64) document.StoredDocument {
	h := testDocument(number)
	r := &h.Document.Routes[0]
	r.Kind, r.Resumable, r.MaxAttempts, r.Timeout, r.Objective, r.EventGap = document.Stream, true, 2, 10*time.Second, time.Second, 300*time.Millisecond
	return h
}

// startStreamGateway starts a gateway that receives no requests by itself.
func (x *fleet) startStreamGateway(m *streamServers, ip string) *gateway.Gateway {
	return x.startGatewayWithLoad(ip, streamHeaders{}, m, func(ctx context.Context, _ *sync.WaitGroup, _ *gateway.Gateway) { <-ctx.Done() })
}

// withStreams runs f in the fleet with servers of the given versions and gateways at the addresses of
// gatewayIP.
func (x *fleet) withStreams(gateways int, versions []string, f func(m *streamServers)) {
	is := is.New(x.t)
	m := &streamServers{x: x}
	m.setVersions(versions...)
	is.NoErr(x.awaitLeader().d.Put(x.t.Context(), streamDocument(1)))
	stop := x.announceRepeatedly(m.announce)
	defer stop()
	for i := range gateways {
		x.startStreamGateway(m, gatewayIP(i))
		defer x.net.Restore(gatewayIP(i))
	}
	time.Sleep(3 * time.Second)
	f(m)
}

// callersStream is a stream as its caller receives it, over all tries.
type callersStream struct {
	x        *fleet
	id       string
	begunBy  string   // try that brought the first event
	last     int      // last event received
	versions []string // of the events, without repetitions in a row
	status   int      // of the last try
	took     time.Duration
}

// request sends a try to a gateway and receives events until the answer ends or the time is over.
func (s *callersStream) request(ip, id string, length time.Duration) {
	ctx, cancel := context.WithTimeout(s.x.t.Context(), length)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/stream", strings.NewReader("body of "+s.id))
	r.Host = "h"
	r.Header.Set("Id", id)
	if s.begunBy != "" {
		r.Header.Set("Begun-By", s.begunBy)
		r.Header.Set("After", strconv.Itoa(s.last))
	}
	w, began := httptest.NewRecorder(), time.Now()
	defer func() {
		_ = recover() // http.ErrAbortHandler: the answer was cut off
		s.status, s.took = w.Code, time.Since(began)
		s.receive(id, w)
	}()
	s.x.gateways[ip].g.ServeHTTP(w, r)
}

// receive records the events of an answer.
func (s *callersStream) receive(id string, w *httptest.ResponseRecorder) {
	if w.Code != http.StatusOK {
		return
	}
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if n, ok := strings.CutPrefix(line, "id: "); ok && n != strconv.Itoa(s.last+1) {
			s.x.t.Errorf("stream %s has event %s after event %d", s.id, n, s.last)
		}
		version, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		s.last++
		if s.begunBy == "" {
			s.begunBy = id
		}
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
}

// beginStreams begins streams at a gateway, which break after some time.
func (x *fleet) beginStreams(n int, ip string, length time.Duration) (all []*callersStream) {
	is := is.New(x.t)
	var inFlight sync.WaitGroup
	for i := range n {
		s := &callersStream{x: x, id: fmt.Sprintf("stream-%x-%d", x.random(), i)}
		all = append(all, s)
		inFlight.Go(func() { s.request(ip, s.id+"-1", length) })
	}
	inFlight.Wait()
	for _, s := range all {
		is.True(s.last > 0 && s.last < streamEvents) // it has begun
	}
	return all
}

// resume takes streams up at a gateway and returns how many are complete, how many were refused,
// and how many hold events of two versions.
func resume(all []*callersStream, ip string) (complete, refused, mixed int) {
	var inFlight sync.WaitGroup
	for _, s := range all {
		inFlight.Go(func() { s.request(ip, s.id+"-2", 8*time.Second) })
	}
	inFlight.Wait()
	for _, s := range all {
		switch {
		case s.status == http.StatusServiceUnavailable:
			refused++
		case s.last == streamEvents:
			complete++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	return complete, refused, mixed
}
