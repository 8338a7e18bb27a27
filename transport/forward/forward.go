// SPDX-License-Identifier: Apache-2.0

// Package forward is the HTTP/1.1 client that routers and gateways use to call
// backend servers: model engines and plain services. It sends each call at most
// once and classifies a failure by whether the call may have run.
//
// [Client.Send] returns when the response header has arrived, with the body
// still to be read, or fails with [NotRun] or [MayHaveRun]. NotRun means that the
// call never left this process (no connection could be opened, or no byte was
// written to it) or that the server refused it before starting
// ([Settings.Refused]). Every other failure is Unknown, even if it is unlikely
// that the call ran. The caller decides whether to retry.
//
// The package owns the pool of idle connections. After the dial, only the
// caller's context and [Settings.HeaderTimeout] limit how long a call takes. The
// caller must close [Response.Body]. A Client has one lock, a leaf, that guards its
// list of open connections.
//
// The standard library's transport retries a request by itself when a reused
// connection turns out to be closed and the request looks idempotent: a GET, or
// any request with an Idempotency-Key. Callers count how often a server receives
// a call and decide on retries themselves, so every call is sent with a body,
// possibly empty, that cannot be rewound.
package forward

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// This file defines Client, its calls and their results.

// RefusedHeader is set to "true" by a server on a 429 or 503 response that it
// sent without starting the call.
const RefusedHeader = "Badgerspoke-Refused"

// Call is one call to a backend server. A Client sends it once.
type Call struct {
	Method string
	Path   string // including the query, sent unchanged
	Host   string // Host header; empty means the server's address
	Header http.Header
	Body   []byte
	// ID identifies the call in its response; empty if responses carry no identifier. A call is not sent on a
	// connection whose last call had the same ID: a surplus response to that would pass for the response to
	// this one. Without an ID, no call is sent on the connection of a refusal.
	ID string
	// Abandoned, if set, is called right before the first byte is written. If it returns
	// true, nothing is sent and the call fails with a [NotRun] that wraps [ErrAbandoned].
	Abandoned func() bool
	// Leaving, if set, reports whether the server has announced that it stops, so that it may close its listener
	// before its last responses: the end of a body without framing then needs no confirmation by it.
	Leaving func() bool
	// Connected, if set, is called when the call gets its connection, with the time at which that was opened.
	Connected func(openedAt time.Time)
}

// ResumeHeader is set by a server that can resume a response after its connection
// broke. Its value is a path: GET with a Range that starts at the first missing byte
// (RFC 9110, section 14) returns the rest, and DELETE discards it.
const ResumeHeader = "Badgerspoke-Resume"

// LoadHeader is set by a server that reports its load with its responses, as the
// numbers of running and waiting requests: "RUNNING/WAITING". It may be out of date.
const LoadHeader = "Badgerspoke-Load"

// Load returns the two numbers in LoadHeader, and false if the header is missing or
// malformed.
func (a *Response) Load() (running, waiting int, ok bool) {
	r, w, found := strings.Cut(a.Header.Get(LoadHeader), "/")
	if !found {
		return 0, 0, false
	}
	running, errR := strconv.Atoi(r)
	waiting, errW := strconv.Atoi(w)
	return running, waiting, errR == nil && errW == nil && running >= 0 && waiting >= 0
}

// RetryAfter returns the longest delay in the Retry-After headers of a response and the
// header values that are malformed. A valid value is a number of seconds, possibly fractional; an
// HTTP date counts as malformed, since clocks differ.
func RetryAfter(h http.Header) (longest time.Duration, malformed []string) {
	for _, value := range h["Retry-After"] {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			malformed = append(malformed, value)
			continue
		}
		// Converting a float64 outside the range of a Duration gives an arbitrary value.
		bounded := min(seconds, time.Duration(math.MaxInt64).Seconds()/2)
		longest = max(longest, time.Duration(bounded*float64(time.Second)))
	}
	return longest, malformed
}

// Response is a server's response. The caller must close Body.
type Response struct {
	Status       int
	Header       http.Header
	Length       int64 // of the body in bytes, -1 if unknown
	Unframed     bool  // only the end of the connection ends the body, see [Framing] and [ServerEnded]
	Body         io.ReadCloser
	ConnOpenedAt time.Time // when the connection was opened
}

// Framing says by what a response states the end of its body (RFC 9112, section 6.3).
type Framing string

// Framings of a body. A body without one ends with the connection, so that io.EOF does not show that it
// is complete: a server that fails may close its connections as well, and go on.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	NotFramed      Framing = "none"
)

// Framing returns by what the response states the end of its body.
func (a *Response) Framing() Framing {
	switch {
	case a.Unframed:
		return NotFramed
	case a.Length >= 0:
		return FramedByLength
	}
	return FramedByChunks
}

// isUnframed reports whether a response has a body that ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// NotRun is the error of a call that certainly did not run.
type NotRun struct {
	Server  string      // address
	Refused bool        // the server refused the call; otherwise no byte was sent to it
	Reused  bool        // the refusal came on a connection that had carried other calls
	Header  http.Header // of a refusal
	Status  int         // of a refusal
	Err     error
}

// Error names the server and the cause.
func (e NotRun) Error() string {
	if e.Refused {
		return "backend " + e.Server + " refused the call before starting it"
	}
	return "backend " + e.Server + " could not be reached: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e NotRun) Unwrap() error { return e.Err }

// IsDialTimeout reports whether a call failed because the server did not respond in time to the attempt to
// connect. It may be silent for a moment only. Not one byte of the call was sent.
func IsDialTimeout(err error) bool {
	var notRun NotRun
	var cause interface{ Timeout() bool }
	return errors.As(err, &notRun) && errors.As(notRun.Err, &cause) && cause.Timeout()
}

// MayHaveRun is the error of a call that may have run.
type MayHaveRun struct {
	Server       string    // address
	ConnOpenedAt time.Time // when the connection was opened
	Err          error
}

// Error names the server and the cause.
func (e MayHaveRun) Error() string {
	return "connection to backend " + e.Server + " broke, the call may have run: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e MayHaveRun) Unwrap() error { return e.Err }

// IsConnTimeout reports whether an error of a call, or of reading its response body, means that
// the connection timed out because the peer stopped acknowledging data.
func IsConnTimeout(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings configures a Client.
type Settings struct {
	Dialer           Dialer        // nil means a net.Dialer with defaultDialTimeout
	HeaderTimeout    time.Duration // limit on the wait for the response header; zero means none
	MaxIdlePerServer int           // limit on idle connections to one server, at least minIdlePerServer
	MaxIdle          int           // limit on idle connections to all servers; zero means none
	IdleTimeout      time.Duration // after which an idle connection is closed; zero means defaultIdleTimeout
	// IsRefusal reports whether a response means that the server did not start
	// the call. Nil means a 429 or 503 with RefusedHeader.
	IsRefusal func(status int, h http.Header) bool
	// OnOpen, if set, is called for every new connection.
	OnOpen func()
}

// Defaults and limits of a client.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	minIdlePerServer   = 16                    // connections to one server
	maxResponseHeader  = 64 << 10              // bytes; the same limit as for requests to the fleet's listeners
	maxRefusal         = 4 << 10               // bytes of a refusal's body that are read, so that its connection can be reused
	refusalTimeout     = 50 * time.Millisecond // for that; a refused call is sent elsewhere at once
)

// Client sends calls to backend servers. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	fresh     *http.Transport // opens a connection for each call
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	conns     *connections
	isRefusal func(status int, h http.Header) bool
}

// New returns a client.
func New(cfg Settings) *Client {
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{Timeout: defaultDialTimeout}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.IsRefusal == nil {
		cfg.IsRefusal = isDefaultRefusal
	}
	conns := &connections{open: map[string]map[*countingConn]bool{}}
	dial := conns.countingDial(cfg)
	transport := &http.Transport{
		DialContext:            dial,
		ResponseHeaderTimeout:  cfg.HeaderTimeout,
		MaxIdleConns:           cfg.MaxIdle,
		MaxIdleConnsPerHost:    max(cfg.MaxIdlePerServer, minIdlePerServer),
		IdleConnTimeout:        cfg.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	fresh := transport.Clone()
	fresh.MaxIdleConnsPerHost = -1 // keeps none
	return &Client{isRefusal: cfg.IsRefusal, conns: conns, dial: dial, transport: transport, fresh: fresh}
}

// Close closes the idle connections.
func (c *Client) Close() { c.DropAllIdle() }

// DropIdle closes the idle connections to an address, so that later calls open new ones.
func (c *Client) DropIdle(address string) {
	for _, conn := range c.conns.idleTo(address) {
		_ = conn.Close() // it may be closed already
	}
}

// DropAllIdle closes the idle connections to all addresses.
func (c *Client) DropAllIdle() { c.transport.CloseIdleConnections() }

// RefusesConnections reports whether the box at address refuses connections, which means that the process
// that listened there has ended. It dials the address and closes the connection if one opens.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent on it
	return false
}

// Send sends a call to the server at address and returns once the response header
// has arrived. Cancelling ctx aborts the call, including the reading of its body. The
// error is a [NotRun] or an [MayHaveRun].
func (c *Client) Send(ctx context.Context, address string, call Call) (*Response, error) {
	resp, trace, err := send(ctx, c.transport, address, call)
	if trace.gotUnusableConn() && !trace.mayHaveSent() {
		resp, trace, err = send(ctx, c.fresh, address, call)
	}
	if err != nil {
		err = trace.withConnFailure(err)
		if trace.mayHaveSent() {
			return nil, MayHaveRun{Server: address, ConnOpenedAt: trace.connOpenedAt(), Err: err}
		}
		return nil, NotRun{Server: address, Err: err}
	}
	if c.isRefusal(resp.StatusCode, resp.Header) {
		discardRefusal(resp.Body, trace, call)
		return nil, NotRun{
			Server: address, Refused: true, Reused: trace.callNumber > 1, Status: resp.StatusCode, Header: resp.Header,
			Err: errors.Errorf("status %d", resp.StatusCode),
		}
	}
	a := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Unframed: isUnframed(resp), Body: resp.Body,
		ConnOpenedAt: trace.connOpenedAt(),
	}
	if a.Unframed {
		a.Body = &unframedBody{ReadCloser: resp.Body, confirm: func() error {
			if err := trace.lossError(); err != nil {
				return err
			}
			return c.confirmEnd(ctx, address, call.Leaving)
		}}
	}
	return a, nil
}

// send sends a call once with a transport. The trace is never nil.
func send(ctx context.Context, transport *http.Transport, address string, call Call) (*http.Response, *callTrace, error) {
	trace := &callTrace{id: call.ID, abandoned: call.Abandoned, connected: call.Connected}
	req, err := newRequest(trace.attach(ctx), address, call)
	if err != nil {
		return nil, trace, err
	}
	resp, err := transport.RoundTrip(req)
	return resp, trace, err
}

// discardRefusal reads the body of a refusal so that its connection can be reused. If it does not end soon, the
// connection is closed.
func discardRefusal(body io.ReadCloser, trace *callTrace, call Call) {
	if call.ID == "" {
		trace.recordUnidentifiedRefusal()
	}
	timer := time.AfterFunc(refusalTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxRefusal) // an error closes the connection
	body.Close()
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+"/", requestBody(call))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it the transport cannot send the body twice
	if req.URL, err = requestURL(address, call.Path); err != nil {
		return nil, err
	}
	if call.Host != "" {
		req.Host = call.Host
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	return req, nil
}

// requestURL returns a URL whose path is sent unchanged.
func requestURL(address, path string) (*url.URL, error) {
	if strings.HasPrefix(path, "//") {
		return url.Parse("http://" + address + path) // an opaque path that starts with // would be parsed as a host
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path}, nil
}

// requestBody returns a body that the transport cannot rewind. The transport retries a
// request without a body if its method or headers make it idempotent, so an empty
// body is passed as a reader of unknown length.
func requestBody(call Call) io.Reader {
	h := call.Header
	switch {
	case len(call.Body) > 0:
		return bytes.NewReader(call.Body)
	case call.Method == http.MethodPost && len(h["Idempotency-Key"]) == 0 && len(h["X-Idempotency-Key"]) == 0:
		return http.NoBody
	}
	return unrewindable{strings.NewReader("")}
}

// unrewindable hides every method of a reader except Read.
type unrewindable struct{ io.Reader }

// isDefaultRefusal is the default for Settings.Refused.
func isDefaultRefusal(status int, h http.Header) bool {
	overloaded := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return overloaded && h.Get(RefusedHeader) == "true"
}
