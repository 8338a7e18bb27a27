// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines call, one request from its arrival to its end.

type call struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Duration
	deadline time.Duration // when the caller gives up or the route's time is over

	// What the request is.
	head    RequestHead
	rs      *routes
	route   document.Route
	account document.Account
	pool    document.Pool
	body    []byte
	cost    float64           // tokens
	class   entitlement.Class // of requests to engines

	// What has become of it.
	tries       int // attempts begun
	attempts    int // backend servers that may have run it
	sends       int // arrivals at backend servers
	avoid       map[string]bool
	budgetSpent bool        // one more attempt was allowed but for the fleet's budget
	assigned    *assignment // of the last attempt
	short       shortage    // why there was no backend server in the end
	relay       *relay      // nil before the first backend server is asked for
	stall       *stallTimer // of the present attempt
}

// defaultBody bounds a body when the document does not.
const defaultBody = 4 << 20

// ServeHTTP serves one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	defer g.calls.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: g.now(), head: g.cfg.Headers.DecodeRequest(r)}
	if g.stopping() > 0 {
		w.Header().Set("Connection", "close")
	}
	defer func() { g.bodies.Add(-int64(len(c.body))) }()
	err := c.admit()
	if err == nil {
		err = c.serve()
	}
	c.finish(err)
}

// admit matches the request to a route and an account, ranks it and reads its
// body. What is refused for its rank costs little that way, however much a
// account floods: its body is never kept. The error is a [Refusal].
func (c *call) admit() error {
	if err := c.match(); err != nil {
		return err
	}
	patience := c.route.Timeout
	if c.head.Timeout > 0 {
		patience = min(patience, c.head.Timeout)
	}
	c.deadline = c.arrived + patience
	if err := c.rank(); err != nil {
		return err
	}
	if !c.g.endsBeforeStop(patience) {
		return Refusal{Cause: Stopping, RetryAfter: shortRetryAfter}
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.g.countRequest(c.pool.Name)
	return nil
}

// match finds the request's route, account and pool in the document in force.
func (c *call) match() error {
	if c.rs = c.g.routes.Load(); c.rs == nil {
		return Refusal{Cause: NoDocument, RetryAfter: longRetryAfter}
	}
	if limit := c.rs.document.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return Refusal{Cause: HeaderTooLarge}
	}
	var known bool
	if c.route, known = c.rs.match(c.r.Host, c.r.URL.EscapedPath()); !known {
		return Refusal{Cause: NoRoute}
	}
	if c.account, known = c.rs.account(c.route, c.head.Key); !known {
		return Refusal{Cause: UnknownKey}
	}
	c.pool = c.rs.pools[pickPool(c.route)]
	return nil
}

// headerBytes returns the size of a request's header lines, each with one space
// after its colon; the request line does not count.
func headerBytes(r *http.Request) int {
	n := len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

// rank finds how the request stands against its account's share, and refuses
// what may not be served now.
func (c *call) rank() error {
	c.cost = float64(c.head.Prompt.Tokens() + outputCost*c.head.Prompt.Output)
	c.class = entitlement.Entitled
	if c.pool.Engine {
		c.class = c.g.accounts.classify(c.account.Name, c.cost)
	}
	if !c.g.overload.Load().Admits(c.class) {
		c.g.accounts.countMissed(c.class, c.cost)
		return Refusal{Cause: ProcessorOverload, RetryAfter: c.retryAfterOverload()}
	}
	if !c.g.accounts.admits(c.class) {
		return Refusal{Cause: BeyondShare, RetryAfter: c.retryAfter()}
	}
	return nil
}

// retryAfterOverload is when a caller that the processor cannot serve should
// try again. Within its account's share it may at once: most other gateways
// have room.
func (c *call) retryAfterOverload() time.Duration {
	if c.class <= entitlement.Entitled {
		return shortRetryAfter
	}
	return c.retryAfter()
}

// outputCost is what a token made costs against a token read.
const outputCost = 2

// Times after which a refused caller may come back.
const (
	shortRetryAfter = 50 * time.Millisecond
	longRetryAfter  = time.Second
)

func (c *call) readBody() error {
	if c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		return nil
	}
	limit := c.rs.document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > limit {
		return Refusal{Cause: BodyTooLarge}
	}
	if c.g.bodies.Load()+max(c.r.ContentLength, 0) > c.g.cfg.Bodies {
		return Refusal{Cause: Overloaded, RetryAfter: shortRetryAfter}
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(c.deadline - c.g.now()))
	body, err := readAll(io.LimitReader(c.r.Body, limit+1), c.r.ContentLength)
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	c.body = body
	c.g.bodies.Add(int64(len(body)))
	switch {
	case err != nil:
		return Refusal{Cause: BodyBroken}
	case int64(len(body)) > limit:
		return Refusal{Cause: BodyTooLarge}
	}
	return nil
}

// readAll reads to the end with one buffer if the length is known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	n, err := io.ReadFull(r, b)
	return b[:n], err
}

// serve gives the request to backend servers until one answers it whole, or nothing
// more may be tried. The error is a [Refusal], a [broken] or the caller's
// leaving.
func (c *call) serve() error {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline-c.g.now())
	defer cancel()
	c.avoid = map[string]bool{}
	c.relay = newRelay(c)
	for {
		a, err := c.server(ctx)
		if err != nil && c.relay.headWritten {
			return brokenAnswer{err: err} // the head is gone: nothing else can be said
		}
		if err != nil {
			return err
		}
		c.assigned = a
		out := c.attempt(ctx, a)
		if out.done {
			return nil
		}
		if again, err := c.next(ctx, a, out); !again {
			return err
		}
	}
}

// server waits for a backend server. The error is a [Refusal].
func (c *call) server(ctx context.Context) (*assignment, error) {
	req := requirements{
		Waiting: entitlement.Waiting{
			Class: c.class, Priority: entitlement.Priority(c.account.Priority, c.route.Priority), Account: c.account.Name,
		},
		pool: c.pool, route: c.route, prompt: c.head.Prompt,
		repeat: c.route.MayRepeat(), avoid: c.avoid, gateways: int(c.g.gateways.Load()),
	}
	a, short := c.g.awaitServer(ctx, req, c.queueTimeout())
	c.short = short
	if a != nil {
		if c.sends == 0 {
			c.g.accounts.countStarted(c.account.Name, c.cost)
		}
		return a, nil
	}
	if ctx.Err() != nil {
		return nil, c.overdue(ctx)
	}
	if c.pool.Engine && c.sends == 0 {
		c.g.accounts.countMissed(c.class, c.cost)
	}
	switch {
	case c.attempts > 0:
		return nil, Refusal{Cause: MayHaveRun}
	case c.g.table.poolSize(c.pool.Name) <= len(c.avoid):
		return nil, Refusal{Cause: NoServer, RetryAfter: c.retryAfter()}
	case c.class > entitlement.Entitled:
		return nil, Refusal{Cause: BeyondShare, RetryAfter: c.retryAfter()}
	}
	return nil, Refusal{Cause: Overloaded, RetryAfter: c.retryAfter()}
}

// queueTimeout is how long the request may wait for a backend server: a refusal is worth
// more to its caller while there is time to come back.
func (c *call) queueTimeout() time.Duration {
	const objectivePart = 0.22
	p := part(c.route.Objective, objectivePart)
	if c.attempts > 0 || c.route.Objective == 0 {
		p = time.Second // nothing better can be said any more
	}
	return min(p-(c.g.now()-c.arrived), c.deadline-c.g.now())
}

// retryAfter is when a refused caller should try again.
func (c *call) retryAfter() time.Duration {
	const holdPart = 0.1
	left := c.deadline - c.g.now()
	return max(min(part(left, holdPart), longRetryAfter), shortRetryAfter)
}

// overdue is the refusal of a request whose time is over.
func (c *call) overdue(ctx context.Context) error {
	switch {
	case c.r.Context().Err() != nil:
		return callerLeft{}
	case c.sends > 0:
		return Refusal{Cause: TimedOut}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Refusal{Cause: Overloaded, RetryAfter: shortRetryAfter}
	}
	return Refusal{Cause: TimedOut}
}
