// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/drain"
	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines call, one request from its arrival to its end: it is
// admitted, goes to backend servers one after the other, and ends.

// call is one request. Only the goroutine that serves it uses it.
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
	spent   time.Duration     // since the caller asked for the first time, before it arrived here
	class   entitlement.Class // of requests to engines

	// What has become of it.
	counts   retry.Counts
	started  bool            // it got a backend server once
	avoid    map[string]bool // backend servers that had it already
	assigned *assignment     // of the last attempt
	shortage shortage        // why there was no backend server in the end
	relay    *relay          // nil until it is admitted
	stall    *stallTimer     // of the present attempt

	// What is known of servers that ended under it.
	suspicion quarantine.Entry
	listed    bool            // suspicion is one
	losses    int             // of its attempts, those whose connections broke
	made      *quarantine.Key // nil: it was not needed yet, see [call.key]
}

// defaultBody bounds a body when the document does not, in bytes.
const defaultBody = 4 << 20

// ServeHTTP serves one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	g.requestsSinceReport.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: g.now(), head: g.cfg.Headers.DecodeRequest(r)}
	if g.stopping() > 0 {
		w.Header().Set("Connection", "close")
	}
	defer func() { g.bodyBytes.Add(-int64(len(c.body))) }()
	err := c.admit()
	if err == nil {
		err = c.serve()
	}
	c.finish(err)
}

// admit matches the request to a route and an account, classes it and reads its
// body. What is refused for its class costs little that way, however much an
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
	c.spent = c.rs.spent(c.route.Name, c.arrived, c.head.Timeout, c.g.accounts.covers(c.account.Name))
	if err := c.classify(); err != nil {
		return err
	}
	if !drain.Grace(c.g.cfg.Grace).Admits(c.g.stopping(), patience) {
		c.countMissed(true)
		return Refusal{Cause: Stopping, RetryAfter: retry.ShortDelay}
	}
	if err := c.readBody(); err != nil {
		return err
	}
	if err := c.checkQuarantine(); err != nil {
		return err
	}
	c.g.countRequest(c.pool.Name)
	return nil
}

// match finds the request's route, account and pool in the document in force.
func (c *call) match() error {
	if c.rs = c.g.routes.Load(); c.rs == nil {
		return Refusal{Cause: NoDocument, RetryAfter: retry.LongDelay}
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
	c.pool = c.rs.pools[pickPool(c.route, c.g.randomFraction())]
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

// classify finds how the request compares with its account's share, and
// refuses what may not be served now.
func (c *call) classify() error {
	c.cost = entitlement.Cost(c.head.Prompt.Tokens(), c.head.Prompt.Output)
	c.class = entitlement.Entitled
	if c.pool.Engine {
		c.class = c.g.accounts.classify(c.account.Name, c.cost, c.late())
		c.countTokens(tokensDemanded)
	}
	if !c.g.overload.Load().Admits(c.class) {
		c.countMissed(true)
		return Refusal{Cause: ProcessorOverload, RetryAfter: retry.AfterOverload(c.class, c.left(), c.g.randomFraction())}
	}
	if c.pool.Engine && !c.g.accounts.admits(c.account.Name, c.class) {
		return Refusal{Cause: BeyondShare, RetryAfter: c.afterShare()}
	}
	return nil
}

// late reports whether the request came back after its objective, so that no answer can
// be in time.
func (c *call) late() bool { return c.route.Objective > 0 && c.spent >= c.route.Objective }

// afterShare is when the caller should come back with a request that its account's share does not
// cover.
func (c *call) afterShare() time.Duration {
	e, _ := c.g.accounts.entitlement(c.account.Name)
	share := retry.UncoveredRequest{CoveredPart: float64(e.Extra), Objective: c.route.Objective, Spent: c.spent, Left: c.left()}
	return share.After(c.g.randomFraction())
}

// countStarted counts the request when it gets its first backend server. An attempt that
// reaches nobody does not make the next one another start.
func (c *call) countStarted() {
	if c.started {
		return
	}
	c.started = true
	c.g.accounts.countStarted(c.account.Name, c.cost)
	c.countTokens(tokensBegun)
}

// countMissed counts a request to an engine that is refused without having had one. gatewayLacks
// says that this gateway lacked something, not engines.
func (c *call) countMissed(gatewayLacks bool) {
	if c.pool.Engine {
		c.g.accounts.countMissed(c.class, c.cost, gatewayLacks)
	}
}

// countTokens counts what became of the request's tokens.
func (c *call) countTokens(end string) {
	if c.pool.Engine {
		c.g.tokenCounters.add(c.account.Name, c.class, end, c.cost)
	}
}

// left is the time until the deadline; it may be negative.
func (c *call) left() time.Duration { return c.deadline - c.g.now() }

// readBody reads the body within the bounds of one body and of all together.
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
	if c.g.bodyBytes.Load()+max(c.r.ContentLength, 0) > c.g.cfg.MaxTotalBodyBytes {
		c.countMissed(true)
		return Refusal{Cause: Overloaded, RetryAfter: retry.ShortDelay}
	}
	// A writer without deadlines is no error: the server's own still bound the read.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(c.left()))
	body, err := readAll(io.LimitReader(c.r.Body, limit+1), c.r.ContentLength)
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{}) // the same
	c.body = body
	c.g.bodyBytes.Add(int64(len(body)))
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

// serve gives the request to backend servers until one answers it whole, or
// nothing more may be tried. The error is a [Refusal], a [brokenAnswer] or a
// [callerLeft].
func (c *call) serve() error {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.left())
	defer cancel()
	c.avoid = map[string]bool{}
	c.relay = &relay{c: c}
	for {
		a, err := c.takeServer(ctx)
		if err != nil && c.relay.headWritten {
			return brokenAnswer{err: err} // after the head no other answer can follow
		}
		if err != nil {
			return err
		}
		if callerHasLeft(ctx) {
			c.g.settleLink(a, 0)
			c.g.release(a, outlier.NoVerdict)
			return callerLeft{}
		}
		c.assigned = a
		c.g.stats.countVersion(c.pool.Name, &a.versionAttempt)
		out := c.attempt(ctx, a)
		if out.execution == retry.Answered {
			if c.relay.succeeded() {
				c.clearSuspicion()
			}
			return nil
		}
		if again, err := c.next(ctx, a, out); !again {
			return err
		}
	}
}
