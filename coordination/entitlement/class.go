// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Class, which relates a request to its account's share, and Classifier,
// which assigns classes at one gateway.

// Class relates a request to its account's fair share. Lower classes are served first.
type Class uint8

// Classes, in the order in which they are served.
const (
	Covered  Class = iota // the account demands no more than its share, so none of its requests need wait
	Entitled              // within the account's share of the rate that the operator configured
	Extra                 // within the account's share of the engines' output beyond that rate
	Beyond                // beyond both shares; served only where nothing else waits
)

// String returns the class's name as log lines carry it.
func (c Class) String() string { return [...]string{"covered", "entitled", "extra", "beyond"}[c] }

// CountsAsMissed reports whether a request of class c that is refused without a backend
// server counts as missed. Requests within shares of the configured rate always count.
// Requests within shares of the output beyond it (Extra) count only if the gateway itself was
// short of a resource (gatewayShort): Extra requests start only on engines with almost nothing
// queued, so they are often refused for lack of such an engine. Counting these refusals would
// keep the levels near the configured rate and leave engines idle. A gateway's own shortage is
// invisible to other gateways, but must still limit what these serve to other accounts.
// Requests beyond every share never count, because their own refusals would then keep them
// out.
func CountsAsMissed(c Class, gatewayShort bool) bool {
	return c <= Entitled || (c == Extra && gatewayShort)
}

// maxListAge is the age above which the fleet's list is ignored. It is long enough for shares
// to stay in force during a change of leaders (docs/design/platform.md, "Which promises need
// the lease").
const maxListAge = 10 * time.Second

// Limits on what a gateway serves one account while it receives nothing from the leader.
const (
	leaderTimeout      = time.Second // lists normally arrive every 0.1 to 0.6 s
	leaderlessFraction = 0.5         // fraction of the maximum rate; an account's callers often arrive at two or three gateways
)

// Classifier assigns classes to the requests that arrive at one gateway, using the fleet's
// latest list of accounts that demand more than their share.
type Classifier struct {
	listed    map[string]protocol.Entitlement
	late      map[string]protocol.Entitlement // fractions of late retries, for accounts in listed
	contended bool                            // requests beyond every share must wait
	updatedAt time.Duration                   // 0: no list received yet
	markers   map[string]*markers
	maxRate   float64 // tokens per second for each account; 0 means unlimited
	buckets   map[string]bucket
}

// markers holds one account's markers for both levels, separately for requests that can still
// be answered in time and for late retries.
type markers struct{ entitled, extra, lateEntitled, lateExtra Marker }

// NewClassifier returns a classifier without a list.
func NewClassifier() *Classifier {
	return &Classifier{
		listed: map[string]protocol.Entitlement{}, late: map[string]protocol.Entitlement{}, markers: map[string]*markers{}, buckets: map[string]bucket{},
	}
}

// Update replaces the list and the fractions for late retries. contended means that requests
// beyond every share must wait ([DemandEstimator.Contended]).
func (c *Classifier) Update(now time.Duration, list, late []protocol.Entitlement, contended bool) {
	c.updatedAt = now
	c.contended = contended
	replaceEntries(c.listed, list)
	replaceEntries(c.late, late)
}

func replaceEntries(byAccount map[string]protocol.Entitlement, list []protocol.Entitlement) {
	clear(byAccount)
	for _, e := range list {
		byAccount[e.Account] = e
	}
}

// SetMaxAccountRate limits what this gateway alone serves one account, in tokens per second,
// to what the whole fleet may serve it. The limit holds until the next call, even while no
// list arrives, so an account whose callers all arrive at one gateway is limited there even
// if its flood has not reached the leader's estimate or the gateway has lost the leader. 0
// means unlimited.
func (c *Classifier) SetMaxAccountRate(rate float64) { c.maxRate = rate }

// currentMaxRate returns the limit at time now. It is lower without contact to the leader,
// because other gateways may serve the account as much and nothing limits the sum.
func (c *Classifier) currentMaxRate(now time.Duration) float64 {
	if now-c.updatedAt > leaderTimeout {
		return c.maxRate * leaderlessFraction
	}
	return c.maxRate
}

// RecordStart counts a request that is assigned its first backend server.
func (c *Classifier) RecordStart(now time.Duration, account string, cost float64) {
	if maxRate := c.currentMaxRate(now); maxRate > 0 {
		c.buckets[account] = c.buckets[account].spend(now, maxRate, cost)
	}
}

// isFresh reports whether the list is recent enough to use.
func (c *Classifier) isFresh(now time.Duration) bool {
	return c.updatedAt != 0 && now-c.updatedAt <= maxListAge
}

// WithinShare reports whether a fresh list shows that the account demands no more than its
// share.
func (c *Classifier) WithinShare(now time.Duration, account string) bool {
	_, listed := c.listed[account]
	return c.isFresh(now) && !listed
}

// Classify returns the class of a request with the given cost in tokens. Without a fresh list
// all accounts are treated alike and every request is Entitled. late marks a retry that can
// no longer be answered in time. Late retries are entitled to what the account's other
// requests leave of the share.
func (c *Classifier) Classify(now time.Duration, account string, cost float64, late bool) Class {
	if !c.isFresh(now) {
		return Entitled
	}
	e, listed := c.listed[account]
	if !listed {
		return Covered
	}
	m := c.markers[account]
	if m == nil {
		m = &markers{}
		c.markers[account] = m
	}
	if late {
		e = c.late[account]
		return classOf(e, cost, &m.lateEntitled, &m.lateExtra)
	}
	return classOf(e, cost, &m.entitled, &m.extra)
}

// classOf returns the class of a request under an entitlement, with the markers of its
// levels.
func classOf(e protocol.Entitlement, cost float64, entitled, extra *Marker) Class {
	fraction := float64(e.Part)
	if entitled.Mark(fraction, cost) {
		return Entitled
	}
	if extra.Mark((float64(e.Extra)-fraction)/(1-fraction), cost) { // fraction of what the first level leaves
		return Extra
	}
	return Beyond
}

// Admits reports whether a request of that account and class may be served now. Requests
// beyond every share may not while the fleet is contended, because a gateway with an idle
// engine has no information about requests that wait elsewhere. No request may once this
// gateway alone has served the account all that the fleet may.
func (c *Classifier) Admits(now time.Duration, account string, class Class) bool {
	if maxRate := c.currentMaxRate(now); maxRate > 0 && c.buckets[account].exhausted(now, maxRate) {
		return false
	}
	return class != Beyond || !c.contended || !c.isFresh(now)
}

// Entitlement returns the list's entry for an account, and the list's age.
func (c *Classifier) Entitlement(now time.Duration, account string) (e protocol.Entitlement, age time.Duration) {
	e, listed := c.listed[account]
	if !listed {
		e = protocol.Entitlement{Account: account, Part: 1, Extra: 1}
	}
	return e, now - c.updatedAt
}
