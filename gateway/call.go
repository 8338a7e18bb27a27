// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines call, which handles one request from arrival to end: admission, attempts at
// backend servers, and the final answer.

// call is the state of one request. Only the goroutine that serves the request uses it, but for hedges, which use a
// copy (call.snapshot).
type call struct {
	g        *Gateway
	response *response.Writer
	r        *http.Request
	arrived  time.Duration
	deadline time.Duration // end of the caller's or the route's timeout, whichever is earlier

	// Properties of the request.
	head               RequestHead
	routes             *routes
	route              document.Route
	account            document.Account
	pool               document.Pool
	body               []byte
	bodyTaken          int64             // bytes taken from Gateway.bodies
	held               *answerMemory     // taken from Gateway.answers
	cost               float64           // tokens
	spentBeforeArrival time.Duration     // since the caller's first try, before this request arrived
	class              entitlement.Class // set for requests to engines

	// Progress of the request.
	counts       retry.Counts
	wasAssigned  bool            // it has been assigned a backend server
	triedServers map[string]bool // IDs of servers that have already been tried
	reusable     map[string]bool // IDs of servers whose hedges were ended as not needed
	assigned     *assignment     // last attempt
	shortage     shortage        // why no backend server was available in the end
	relay        *relay          // nil until the request is admitted
	stream       streamOrigin    // of the stream that the request continues
	watch        *silenceWatch   // of the current attempt
	unconfirmed  bool            // nothing states that the answer is complete

	// Evidence that servers crashed while running this request.
	suspicion    quarantine.Entry
	hasSuspicion bool            // suspicion holds an entry
	losses       int             // attempts whose connection broke
	cachedKey    *quarantine.Key // nil until call.key is first called
	isProbe      bool            // it may be sent although it is condemned

	// Evidence that servers crashed before they answered requests with a part of the prompt.
	partSuspicion  partSuspicion
	cachedPartKeys []quarantine.Key // nil until call.partKeys is first called
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := g.admission.begin()
	if admitted {
		defer g.admission.end()
	}
	g.requestsSinceReport.Add(1)
	c := &call{g: g, response: response.New(w, r, g.recordSecondHead), r: r, arrived: g.now(), head: g.cfg.Headers.DecodeRequest(r)}
	if g.stopping() > 0 {
		c.response.CloseConnection()
	}
	c.held = &answerMemory{total: &g.answers}
	defer func() { g.bodies.release(c.bodyTaken); c.held.release() }()
	err := c.admit(admitted)
	if err == nil {
		err = c.serve()
	}
	c.finish(err)
}

// admit matches the request to a route and an account, classifies it and then reads its body.
// Refusing a request for its class is cheap, because its body is never buffered, so a flooding
// account costs little memory. A request that was not admitted by a stopping gateway gets no
// further than its match. The error is a [Refusal].
func (c *call) admit(admitted bool) error {
	if err := c.match(); err != nil {
		return err
	}
	requestTimeout := c.route.Timeout
	if c.head.Timeout > 0 {
		requestTimeout = min(requestTimeout, c.head.Timeout)
	}
	c.deadline = c.arrived + requestTimeout
	c.spentBeforeArrival = c.routes.spentBeforeArrival(c.route.Name, c.arrived, c.head.Timeout, c.g.accounts.withinShare(c.account.Name))
	if err := c.classify(); err != nil {
		return err
	}
	if !admitted || !c.mayBegin() {
		return c.refuseForStop()
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

// refuseForStop counts and returns the refusal of a request that a stopping gateway does not begin.
func (c *call) refuseForStop() error {
	if !c.wasAssigned {
		c.countMissed(true)
	}
	return Refusal{Cause: Stopping, RetryAfter: retry.ShortDelay}
}

// match looks up the request's route, account and pool in the document in force.
func (c *call) match() error {
	if c.routes = c.g.routes.Load(); c.routes == nil {
		return Refusal{Cause: NoDocument, RetryAfter: retry.LongDelay}
	}
	if limit := c.routes.document.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return Refusal{Cause: HeaderTooLarge}
	}
	var known bool
	if c.route, known = c.routes.match(c.r.Host, c.r.URL.EscapedPath()); !known {
		return Refusal{Cause: NoRoute}
	}
	if c.account, known = c.routes.account(c.route, c.head.Key); !known {
		return Refusal{Cause: UnknownKey}
	}
	c.pool = c.routes.pools[pickPool(c.route, c.g.randomFraction())]
	return nil
}

// headerBytes returns the size of the header lines, each with one space after the colon. The
// request line does not count.
func headerBytes(r *http.Request) int {
	n := len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

// classify compares the request with its account's share and refuses it if it may not be served
// now.
func (c *call) classify() error {
	c.cost = entitlement.Cost(c.head.Prompt.Tokens(), c.head.Prompt.Output)
	c.class = entitlement.Entitled
	if c.pool.Engine {
		c.class = c.g.accounts.classify(c.account.Name, c.cost, c.isPastObjective())
		c.countTokens(tokensDemanded)
	}
	if !c.g.overload.Load().Admits(c.class) {
		c.countMissed(true)
		return Refusal{Cause: ProcessorOverload, RetryAfter: retry.AfterOverload(c.class, c.timeLeft(), c.g.randomFraction())}
	}
	if c.pool.Engine && !c.g.accounts.admits(c.account.Name, c.class) {
		return Refusal{Cause: BeyondShare, RetryAfter: c.retryAfterBeyondShare()}
	}
	return nil
}

// isPastObjective reports whether the caller retries after the objective has passed, so that no
// answer can be in time.
func (c *call) isPastObjective() bool {
	return c.route.Objective > 0 && c.spentBeforeArrival >= c.route.Objective
}

// retryAfterBeyondShare returns the Retry-After time for a request that exceeds its account's
// share.
func (c *call) retryAfterBeyondShare() time.Duration {
	e, _ := c.g.accounts.entitlement(c.account.Name)
	uncovered := retry.UncoveredRequest{CoveredFraction: float64(e.Extra), Objective: c.route.Objective, Spent: c.spentBeforeArrival, Left: c.timeLeft()}
	return uncovered.After(c.g.randomFraction())
}

// countStarted counts the request when it gets its first backend server. Another attempt after an
// unreachable server does not count as another start.
func (c *call) countStarted() {
	if c.wasAssigned {
		return
	}
	c.wasAssigned = true
	c.g.accounts.countStarted(c.account.Name, c.cost)
	c.countTokens(tokensBegun)
}

// countMissed counts a request to an engine that is refused before it was assigned one.
// gatewayShort is true if this gateway, not the engines, was short of capacity.
func (c *call) countMissed(gatewayShort bool) {
	if c.pool.Engine {
		c.g.accounts.countMissed(c.class, c.cost, gatewayShort)
	}
}

// countTokens adds the request's tokens to the counter for the given value of the label "end".
func (c *call) countTokens(end string) {
	if c.pool.Engine {
		c.g.tokenCounters.add(c.account.Name, c.class, end, c.cost)
	}
}

// timeLeft returns the time until the deadline. It may be negative.
func (c *call) timeLeft() time.Duration { return c.deadline - c.g.now() }

// serve makes attempts at backend servers until one returns a complete answer or no further attempt
// is allowed. The error is a [Refusal], a [brokenAnswer] or a [callerLeft].
func (c *call) serve() error {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.timeLeft())
	defer cancel()
	defer context.AfterFunc(c.g.requests, cancel)()
	c.triedServers, c.reusable = map[string]bool{}, map[string]bool{}
	c.relay = &relay{c: c, position: positionAt(c.head.LastEventID)}
	if err := c.findOrigin(); err != nil {
		return err
	}
	for {
		a, err := c.acquireServer(ctx)
		if err != nil {
			return err
		}
		if callerHasLeft(ctx) {
			c.g.returnServer(a)
			return callerLeft{}
		}
		if err := c.checkPartsBeforeSend(a); err != nil {
			return err
		}
		delete(c.reusable, a.serverID)
		c.g.stats.countVersion(c.pool.Name, &a.versionAttempt)
		c.logResumption(a)
		if again, err := c.attemptWithHedges(ctx, a); !again {
			return err
		}
	}
}

// attemptWithHedges makes an attempt, and goes on with the hedge that replaces it, if one does. It reports whether
// another attempt is allowed; if not, the error is nil once the caller has an answer.
func (c *call) attemptWithHedges(ctx context.Context, a *assignment) (again bool, err error) {
	c.assigned = a
	out := c.attempt(ctx, a)
	for out.execution != retry.Answered {
		h, held := c.watch.replacement()
		if h == nil {
			if held != nil && out.held == nil {
				out.execution, out.held = held.execution, held.held
			}
			if out.held != nil && out.held.status < http.StatusInternalServerError && !c.relay.begun() {
				c.recordFailure(a, out, deniedByPolicy)
				return false, c.relay.writeHeld(out.held) // such an answer is final
			}
			return c.handleFailure(ctx, a, out)
		}
		c.recordFailure(a, out, retryAllowed)
		a = h.a
		c.assigned = a
		out = c.takeOver(ctx, h)
	}
	c.unconfirmed = out.verdict == outlier.Unconfirmed
	if isSuccess(c.response.Status()) && !c.unconfirmed {
		c.clearSuspicion()
	}
	return false, nil
}
