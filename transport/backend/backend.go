// SPDX-License-Identifier: Apache-2.0

// Package backend sends calls to backend servers, model engines and plain
// services alike, over HTTP/1.1, and says truly what became of a call that
// failed.
//
// The model: [Client.Send] returns when the server's header has arrived, with
// the body still to be read, or fails with [NotRun] or [Unknown]. NotRun is
// said only when the call never left this process (no connection could be
// opened) or when the server itself said that it refused before it started
// (header [RefusedHeader] on a 429 or 503 answer). Everything else is
// Unknown, however likely it is that nothing ran.
//
// The standard library's transport repeats a request by itself when a kept
// connection turns out closed and the request looks repeatable, which a GET
// does, and so does anything with an Idempotency-Key. A call that may not be
// repeated must not be repeated by a library either: such a call goes out
// with a body that cannot be rewound, or on a connection of its own.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// This file defines Client and what it sends and returns.

// RefusedHeader is set to "true" by a server on an answer 429 or 503 that it
// gave before it started the call.
const RefusedHeader = "Badgerspoke-Refused"

// Call is one call to a backend server.
type Call struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	Never  bool // may not be repeated
}

// ResumeHeader is set by a server that can send the rest of an answer whose
// connection broke: it holds a path for GET with a Range from the first byte
// missing (RFC 9110, section 14), and for DELETE when nobody wants the rest.
const ResumeHeader = "Badgerspoke-Resume"

// LoadHeader is set by a server that tells its load with its answers: the
// numbers of running and waiting requests, "RUNNING/WAITING". It may lag.
const LoadHeader = "Badgerspoke-Load"

// Load returns what LoadHeader says, or false if it says nothing sensible.
func (a *Answer) Load() (running, waiting int, ok bool) {
	r, w, found := strings.Cut(a.Header.Get(LoadHeader), "/")
	if !found {
		return 0, 0, false
	}
	running, errR := strconv.Atoi(r)
	waiting, errW := strconv.Atoi(w)
	return running, waiting, errR == nil && errW == nil && running >= 0 && waiting >= 0
}

// Answer is a server's answer; the caller closes Body.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 when unknown
	Body   io.ReadCloser
}

// NotRun says that the call truly did not run.
type NotRun struct {
	Server  string // address
	Refused bool   // said by the server; else no connection could be opened
	Err     error
}

// Error names the server and the cause.
func (e NotRun) Error() string {
	if e.Refused {
		return "backend server " + e.Server + " refused the call before starting it"
	}
	return "backend server " + e.Server + " could not be reached: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e NotRun) Unwrap() error { return e.Err }

// Unknown says that the call may have run.
type Unknown struct {
	Server string
	Err    error
}

// Error names the server and the cause.
func (e Unknown) Error() string {
	return "connection to backend server " + e.Server + " broke, the call may have run: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e Unknown) Unwrap() error { return e.Err }

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings of a client.
type Settings struct {
	Dialer        Dialer
	HeaderTimeout time.Duration // until the answer's header; 0 is none
	IdlePerServer int
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	kept  *http.Transport // connections are reused
	fresh *http.Transport // every call has its own
}

// New returns a client.
func New(set Settings) *Client {
	if set.Dialer == nil {
		set.Dialer = &net.Dialer{Timeout: 2 * time.Second}
	}
	kept := &http.Transport{
		DialContext:            set.Dialer.DialContext,
		ResponseHeaderTimeout:  set.HeaderTimeout,
		MaxIdleConnsPerHost:    max(set.IdlePerServer, 16),
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &Client{kept: kept, fresh: fresh}
}

// Close drops idle connections.
func (c *Client) Close() { c.kept.CloseIdleConnections() }

// Send sends a call to the server at address and returns the head of its
// answer. Cancelling ctx ends the call, its body included. The error is
// [NotRun] or [Unknown].
func (c *Client) Send(ctx context.Context, address string, call Call) (*Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return nil, NotRun{Server: address, Err: err}
	}
	resp, err := c.transport(call).RoundTrip(req)
	if err != nil {
		if connected.Load() {
			return nil, Unknown{Server: address, Err: err}
		}
		return nil, NotRun{Server: address, Err: err}
	}
	if refused(resp) {
		resp.Body.Close()
		return nil, NotRun{Server: address, Refused: true, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body}, nil
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if call.Never {
		req.GetBody = nil // cannot be rewound, so cannot be repeated
	}
	return req, nil
}

func (c *Client) transport(call Call) *http.Transport {
	if call.Never && len(call.Body) == 0 {
		return c.fresh
	}
	return c.kept
}

func refused(resp *http.Response) bool {
	early := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return early && resp.Header.Get(RefusedHeader) == "true"
}
