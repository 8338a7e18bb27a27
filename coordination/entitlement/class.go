// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Class, how a request compares with its account's share,
// and Classifier, which finds it at one gateway.

// Class is how a request compares with its account's fair share. Lower
// classes go first.
type Class uint8

// The classes.
const (
	Covered  Class = iota // its account demands no more than its share, so nothing of it need wait
	Entitled              // within the share of the rate that the operator names
	Extra                 // within the share of what the engines make beyond it
	Beyond                // neither: served where nothing else waits
)

// String returns the class's name, as log lines carry it.
func (c Class) String() string { return [...]string{"covered", "entitled", "extra", "beyond"}[c] }

// staleAfter is the age at which the fleet's list is not used any more, so that
// shares outlast a change of leaders (docs/design/platform.md, "Which promises
// need the lease"). Chosen, not measured.
const staleAfter = 10 * time.Second

// Classifier classes the requests that arrive at one gateway, by the fleet's
// last list of accounts that demand more than their share.
type Classifier struct {
	listed  map[string]protocol.Entitlement
	short   bool          // somewhere requests within their shares find no room
	updated time.Duration // 0: there has been no list
	markers map[string]*markers
}

// markers of one account, for both levels.
type markers struct{ entitled, extra Marker }

// NewClassifier returns a classifier without a list.
func NewClassifier() *Classifier {
	return &Classifier{listed: map[string]protocol.Entitlement{}, markers: map[string]*markers{}}
}

// Update replaces the list. short means that somewhere in the fleet requests
// within their shares find no room.
func (c *Classifier) Update(now time.Duration, list []protocol.Entitlement, short bool) {
	c.updated = now
	c.short = short
	clear(c.listed)
	for _, e := range list {
		c.listed[e.Account] = e
	}
}

// fresh reports whether the list can be used.
func (c *Classifier) fresh(now time.Duration) bool {
	return c.updated != 0 && now-c.updated <= staleAfter
}

// Classify returns the class of a request that costs that many tokens. Without
// a fresh list all accounts are alike, and every request is Entitled.
func (c *Classifier) Classify(now time.Duration, account string, cost float64) Class {
	if !c.fresh(now) {
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
	part := float64(e.Part)
	if m.entitled.Entitled(part, cost) {
		return Entitled
	}
	if m.extra.Entitled((float64(e.Extra)-part)/(1-part), cost) { // of what the first level leaves
		return Extra
	}
	return Beyond
}

// Admits reports whether a request of that class may be served now. What is
// beyond every share may not while the fleet is short: a gateway with an idle
// engine cannot see who waits elsewhere.
func (c *Classifier) Admits(now time.Duration, class Class) bool {
	return class != Beyond || !c.short || !c.fresh(now)
}

// Entitlement returns the list's entry of an account, and the list's age.
func (c *Classifier) Entitlement(now time.Duration, account string) (e protocol.Entitlement, age time.Duration) {
	e, listed := c.listed[account]
	if !listed {
		e = protocol.Entitlement{Account: account, Part: 1, Extra: 1}
	}
	return e, now - c.updated
}
