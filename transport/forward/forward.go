// SPDX-License-Identifier: Apache-2.0

// Package forward is the HTTP/1.1 client of routers and gateways towards
// backend servers, model engines and plain services alike. It sends a call once
// and classifies a failure by whether the call may have run.
//
// [Client.Send] returns when the answer's header has arrived, with the body
// still to be read, or fails with [NotRun] or [Unknown]. NotRun means that the
// call never left this process (no connection could be opened, or not one byte
// was written to it) or that the server refused it before starting
// ([Settings.Refused]). Everything else is Unknown, however likely it is that
// nothing ran. Whether to send a call again is the caller's decision.
//
// The package owns the pool of kept connections. It relies on the caller's
// context for every limit of time after the dial, except for
// [Settings.HeaderTimeout], and on the caller to close [Answer.Body]. A Client
// has one lock, a leaf, over its list of open connections.
//
// The standard library's transport repeats a request by itself when a kept
// connection turns out closed and the request looks repeatable, which a GET
// does, and so does anything with an Idempotency-Key. A caller that counts arrivals
// has to decide about a second one, so every call goes out with a body, empty or
// not, that cannot be rewound.
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

// This file defines Client and what it sends and returns.

// RefusedHeader is set to "true" by a server on an answer 429 or 503 that it
// gave before it started the call.
const RefusedHeader = "Badgerspoke-Refused"

// Call is one call to a backend server. A Client sends it once.
type Call struct {
	Method string
	Path   string // with the query, sent as it is
	Host   string // empty is the server's address
	Header http.Header
	Body   []byte
	// Unwanted, if set, is asked right before the first byte goes out: if it returns true,
	// nothing is sent and the call fails with [NotRun], see [Unwanted].
	Unwanted func() bool
}

// ResumeHeader is set by a server that can send the rest of an answer whose
// connection broke: it holds a path for GET with a Range from the first byte
// missing (RFC 9110, section 14), and for DELETE when the rest is not wanted.
const ResumeHeader = "Badgerspoke-Resume"

// LoadHeader is set by a server that reports its load with its answers: the
// numbers of running and waiting requests, "RUNNING/WAITING". It may lag.
const LoadHeader = "Badgerspoke-Load"

// Load returns the numbers of LoadHeader, or false if it is missing or malformed.
func (a *Answer) Load() (running, waiting int, ok bool) {
	r, w, found := strings.Cut(a.Header.Get(LoadHeader), "/")
	if !found {
		return 0, 0, false
	}
	running, errR := strconv.Atoi(r)
	waiting, errW := strconv.Atoi(w)
	return running, waiting, errR == nil && errW == nil && running >= 0 && waiting >= 0
}

// RetryAfter returns the longest time that the Retry-After of an answer names, in seconds with
// fractions, and those of its values that are malformed: a time of day is, since clocks differ.
func RetryAfter(h http.Header) (longest time.Duration, malformed []string) {
	for _, text := range h["Retry-After"] {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			malformed = append(malformed, text)
			continue
		}
		// Beyond what a Duration holds, the conversion would give any value.
		bounded := min(seconds, time.Duration(math.MaxInt64).Seconds()/2)
		longest = max(longest, time.Duration(bounded*float64(time.Second)))
	}
	return longest, malformed
}

// Answer is a server's answer; the caller closes Body.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 when unknown
	Body   io.ReadCloser
	Opened time.Time // the connection
}

// NotRun is a call that certainly did not run.
type NotRun struct {
	Server  string // address
	Refused bool   // by the server; else no byte was sent to it
	Header  http.Header
	Status  int // of a refusal
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

// Unknown is a call that may have run.
type Unknown struct {
	Server string
	Opened time.Time // the connection
	Err    error
}

// Error names the server and the cause.
func (e Unknown) Error() string {
	return "connection to backend " + e.Server + " broke, the call may have run: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e Unknown) Unwrap() error { return e.Err }

// Silent reports whether an error of a call, or of its answer's body, is that of a
// connection whose other side acknowledged nothing for too long.
func Silent(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings of a client.
type Settings struct {
	Dialer        Dialer        // nil is the operating system's, with defaultDialTimeout
	HeaderTimeout time.Duration // until the answer's header; 0 is none
	IdlePerServer int           // connections kept to one server, at least fewestIdle
	IdleAll       int           // the same to all servers; 0 is no bound
	IdleTime      time.Duration // for which an unused connection is kept; 0 is defaultIdleTime
	// Refused reports whether an answer means that the server did not start
	// the call. Nil looks for RefusedHeader on a 429 or 503.
	Refused func(status int, h http.Header) bool
	// Opened, if set, is called for every new connection.
	Opened func()
}

// Defaults of a client.
const (
	defaultDialTimeout = 2 * time.Second  // to open a connection
	defaultIdleTime    = 30 * time.Second // for which an unused connection is kept
	fewestIdle         = 16               // connections to one server
	maxAnswerHeader    = 64 << 10         // bytes; as many as our own listeners accept of a request
	maxRefusal         = 4 << 10          // bytes of a refusal's body read so that its connection can be kept
)

// Client sends calls. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	conns     *connections
	refused   func(status int, h http.Header) bool
}

// New returns a client.
func New(cfg Settings) *Client {
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{Timeout: defaultDialTimeout}
	}
	if cfg.IdleTime == 0 {
		cfg.IdleTime = defaultIdleTime
	}
	if cfg.Refused == nil {
		cfg.Refused = refused
	}
	conns := &connections{open: map[string]map[*countingConn]bool{}}
	dial := conns.countingDial(cfg)
	return &Client{refused: cfg.Refused, conns: conns, dial: dial, transport: &http.Transport{
		DialContext:            dial,
		ResponseHeaderTimeout:  cfg.HeaderTimeout,
		MaxIdleConns:           cfg.IdleAll,
		MaxIdleConnsPerHost:    max(cfg.IdlePerServer, fewestIdle),
		IdleConnTimeout:        cfg.IdleTime,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}}
}

// Close drops idle connections.
func (c *Client) Close() { c.DropAllIdle() }

// DropIdle closes the idle connections to an address, so that the next calls go out on
// new ones.
func (c *Client) DropIdle(address string) {
	for _, conn := range c.conns.idleTo(address) {
		_ = conn.Close() // it may be closed already
	}
}

// DropAllIdle does the same for all addresses.
func (c *Client) DropAllIdle() { c.transport.CloseIdleConnections() }

// Refuses reports whether the box at address answers that nothing listens there: a process that
// was there before has ended. It opens a connection, and closes it if there is one.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent on it
	return false
}

// Send sends a call to the server at address and returns the head of its
// answer. Cancelling ctx ends the call, its body included. The error is
// [NotRun] or [Unknown].
func (c *Client) Send(ctx context.Context, address string, call Call) (*Answer, error) {
	sent := sending{unwanted: call.Unwanted}
	req, err := newRequest(sent.trace(ctx), address, call)
	if err != nil {
		return nil, NotRun{Server: address, Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if sent.begun() {
			return nil, Unknown{Server: address, Opened: sent.opened(), Err: err}
		}
		return nil, NotRun{Server: address, Err: err}
	}
	if c.refused(resp.StatusCode, resp.Header) {
		// The status decides; a body that cannot be read only costs its connection.
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusal)
		resp.Body.Close()
		return nil, NotRun{
			Server: address, Refused: true, Status: resp.StatusCode, Header: resp.Header,
			Err: errors.Errorf("status %d", resp.StatusCode),
		}
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body, Opened: sent.opened(),
	}, nil
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+"/", bodyOf(call))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // cannot be rewound, so cannot be sent twice
	if req.URL, err = target(address, call.Path); err != nil {
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

// target returns the URL of a call whose path goes out unchanged.
func target(address, path string) (*url.URL, error) {
	if strings.HasPrefix(path, "//") {
		return url.Parse("http://" + address + path) // an opaque path that begins so would be taken for a host
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: path}, nil
}

// bodyOf returns a body that the transport cannot rewind. It takes a request
// without one for repeatable by its method or by some headers; an empty body
// hides that it is empty.
func bodyOf(call Call) io.Reader {
	h := call.Header
	switch {
	case len(call.Body) > 0:
		return bytes.NewReader(call.Body)
	case call.Method == http.MethodPost && len(h["Idempotency-Key"]) == 0 && len(h["X-Idempotency-Key"]) == 0:
		return http.NoBody
	}
	return unrewindable{strings.NewReader("")}
}

// unrewindable hides everything but Read.
type unrewindable struct{ io.Reader }

// refused is the default of Settings.Refused.
func refused(status int, h http.Header) bool {
	early := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return early && h.Get(RefusedHeader) == "true"
}
