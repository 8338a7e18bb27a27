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

// CountsAsMissed reports whether a request of a class that is refused without a backend server counts as
// missed: what is within the shares of the named rate always does, and what is within those of what
// the engines make beyond it (Extra) only if the gateway lacked something. Extra begins where an
// engine has next to nothing to read, so that it often finds no room: counted, it would hold the
// levels near the named rate, and engines idle. What a gateway lacks shows in no other gateway, and
// must not let others run away. What is beyond every share would keep itself out.
func CountsAsMissed(c Class, gatewayLacks bool) bool {
	return c <= Entitled || (c == Extra && gatewayLacks)
}

// staleAfter is the age at which the fleet's list is not used any more, so that shares outlast a
// change of leaders (docs/design/platform.md, "Which promises need the lease").
const staleAfter = 10 * time.Second

// Bounds of what a gateway gives one account without news of the leader.
const (
	silentAfter = time.Second // lists come every 0.1 to 0.6 s
	silentPart  = 0.5         // an account's callers are seen to meet at two or three gateways
)

// Classifier classes the requests that arrive at one gateway, by the fleet's
// last list of accounts that demand more than their share.
type Classifier struct {
	listed  map[string]protocol.Entitlement
	late    map[string]protocol.Entitlement // of what comes back late; of accounts in listed
	short   bool                            // somewhere requests within their shares find no room
	updated time.Duration                   // 0: there has been no list
	markers map[string]*markers
	most    float64 // tokens a second that one account may be given; 0: not bounded
	given   map[string]bucket
}

// markers of one account, for both levels: of what can be in time, and of what is late.
type markers struct{ entitled, extra, lateEntitled, lateExtra Marker }

// NewClassifier returns a classifier without a list.
func NewClassifier() *Classifier {
	return &Classifier{
		listed: map[string]protocol.Entitlement{}, late: map[string]protocol.Entitlement{}, markers: map[string]*markers{}, given: map[string]bucket{},
	}
}

// Update replaces the list and the parts of what comes back late. short means that
// somewhere in the fleet requests within their shares find no room.
func (c *Classifier) Update(now time.Duration, list, late []protocol.Entitlement, short bool) {
	c.updated = now
	c.short = short
	replace(c.listed, list)
	replace(c.late, late)
}

func replace(byAccount map[string]protocol.Entitlement, list []protocol.Entitlement) {
	clear(byAccount)
	for _, e := range list {
		byAccount[e.Account] = e
	}
}

// SetMaxAccountRate bounds what this gateway alone may give to one account, in tokens a second: what
// the whole fleet may give it. It holds until the next call, also while no list
// comes: an account whose callers meet at one gateway is bounded there however late the
// leader knows of its flood, or this gateway of the leader. 0 does not bound.
func (c *Classifier) SetMaxAccountRate(rate float64) { c.most = rate }

// mostNow is the bound now. Without news of the leader it is less: other gateways may
// give the account as much, and nobody adds that up.
func (c *Classifier) mostNow(now time.Duration) float64 {
	if now-c.updated > silentAfter {
		return c.most * silentPart
	}
	return c.most
}

// RecordStart counts a request that gets its first backend server.
func (c *Classifier) RecordStart(now time.Duration, account string, cost float64) {
	if most := c.mostNow(now); most > 0 {
		c.given[account] = c.given[account].take(now, most, cost)
	}
}

// fresh reports whether the list can be used.
func (c *Classifier) fresh(now time.Duration) bool {
	return c.updated != 0 && now-c.updated <= staleAfter
}

// WithinShare reports whether a fresh list shows that the account demands no more than its
// share.
func (c *Classifier) WithinShare(now time.Duration, account string) bool {
	_, listed := c.listed[account]
	return c.fresh(now) && !listed
}

// Classify returns the class of a request that costs that many tokens. Without
// a fresh list all accounts are alike, and every request is Entitled. late is a request
// that came back and cannot be in time any more: it has what the account's others leave of
// the share, which still can.
func (c *Classifier) Classify(now time.Duration, account string, cost float64, late bool) Class {
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
	if late {
		e = c.late[account]
		return classOf(e, cost, &m.lateEntitled, &m.lateExtra)
	}
	return classOf(e, cost, &m.entitled, &m.extra)
}

// classOf marks the parts of an entitlement.
func classOf(e protocol.Entitlement, cost float64, entitled, extra *Marker) Class {
	part := float64(e.Part)
	if entitled.Mark(part, cost) {
		return Entitled
	}
	if extra.Mark((float64(e.Extra)-part)/(1-part), cost) { // of what the first level leaves
		return Extra
	}
	return Beyond
}

// Admits reports whether a request of that account and class may be served now. What is
// beyond every share may not while the fleet is short: a gateway with an idle
// engine cannot see who waits elsewhere. Nor may anything once this gateway alone has given
// the account all that the fleet may.
func (c *Classifier) Admits(now time.Duration, account string, class Class) bool {
	if most := c.mostNow(now); most > 0 && c.given[account].empty(now, most) {
		return false
	}
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
