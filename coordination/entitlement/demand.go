// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Demand, the leader's estimate of what each account demands and is
// given and of what the engines make, and the entitlements that follow from it.

// leastRate, in tokens a second, is below any request's: an account that demands less sends nothing
// any more.
const leastRate = 1

// Demand estimates the accounts' demands from the gateways' reports.
type Demand struct {
	accounts     map[string]*account
	started      rate    // of requests given to engines
	missed       rate    // of requests within a share that found no room
	busy         float64 // part of the engines that run something; 0: not known
	weights      weights
	settled      time.Duration // 0 before the first settlement
	unattributed time.Duration // when a report last did not say which accounts were served; 0: never
	level, extra float64       // tokens a second
	hold         hold          // of extra
	most         float64       // the same
	entitlements []protocol.Entitlement
	late         []protocol.Entitlement
}

// account is what one account demands and is given.
type account struct {
	demand  rate
	late    rate // the part of it that came back late
	given   rate // of its requests given to engines
	unread  rate // what it asks on connections that gateways have not taken
	balance balance
	lack    balance // the same with unread in what is due
}

// NewDemandEstimator returns an estimate without any account.
func NewDemandEstimator() *Demand { return &Demand{accounts: map[string]*account{}} }

// Add counts what a gateway reports for the time since its previous report.
func (d *Demand) Add(m protocol.Usage) {
	d.started.tokens += float64(m.Started)
	d.missed.tokens += float64(m.Missed)
	for _, a := range m.Demands {
		d.account(a.Account).demand.tokens += float64(a.Tokens)
	}
	for _, a := range m.Late {
		d.account(a.Account).late.tokens += float64(a.Tokens)
	}
	for _, a := range m.Unread {
		d.account(a.Account).unread.tokens += float64(a.Tokens)
	}
	for _, a := range m.Served {
		d.account(a.Account).given.tokens += float64(a.Tokens)
	}
	if m.Started > 0 && len(m.Served) == 0 { // of an older gateway
		d.unattributed = max(d.settled, 1)
	}
}

// account returns what is known of an account, new if need be.
func (d *Demand) account(name string) *account {
	a := d.accounts[name]
	if a == nil {
		a = &account{}
		d.accounts[name] = a
	}
	return a
}

// Recompute averages what was added since the last settlement and finds the
// entitlements anew. capacity is the rate that the operator names, in tokens a
// second; without one, 0, no account is limited. It costs O(n log n) for n accounts.
func (d *Demand) Recompute(now time.Duration, capacity float64) {
	elapsed, first := now-d.settled, d.settled == 0
	if elapsed <= 0 {
		return
	}
	d.settled = now
	if first {
		return // the time that the first reports cover is unknown
	}
	d.weights = d.weights.settle(elapsed)
	for _, a := range d.accounts {
		a.demand.settle(elapsed, d.weights)
		a.late.settle(elapsed, d.weights)
		a.given.settle(elapsed, d.weights)
		a.unread.settle(elapsed, d.weights)
	}
	maps.DeleteFunc(d.accounts, func(_ string, a *account) bool { return a.demand.average < leastRate })
	d.started.settleSteady(elapsed, d.weights)
	d.missed.settleSteady(elapsed, d.weights)
	d.entitle(elapsed, capacity)
}

// entitle finds two levels: of the named capacity, and of what is made if that
// is more. Without the second, what the engines make beyond the named rate
// would go to the account with the largest demand. Each account's share is the level,
// corrected by its balance.
func (d *Demand) entitle(elapsed time.Duration, capacity float64) {
	d.entitlements, d.late = nil, nil
	d.most = 0
	if capacity <= 0 {
		return
	}
	rates := make([]float64, 0, len(d.accounts))
	for _, a := range d.accounts {
		rates = append(rates, a.demand.average)
	}
	d.level = Level(rates, capacity)
	makes := max(capacity, d.makes())
	d.extra = Level(rates, makes)
	if d.Ready() && d.balanced() {
		d.hold = d.hold.settle(elapsed, d.leastGiven(), d.level)
		d.extra = max(d.level, d.hold.bound(d.extra))
	}
	if d.Ready() {
		d.most = mostLevels*d.extra + max(makes-covered(rates, d.extra), 0)
	}
	for _, name := range slices.Sorted(maps.Keys(d.accounts)) {
		a := d.accounts[name]
		demand := a.demand.average
		if d.Ready() {
			a.balance = a.balance.settle(elapsed, min(demand, d.extra), a.given.average)
			a.lack = a.lack.settle(elapsed, min(demand+a.unread.average, d.extra), a.given.average)
		}
		if demand <= d.level {
			continue // what it was given before takes nothing from who is within a share now
		}
		factor := 1.0
		if d.balanced() {
			factor = a.balance.factor(d.extra)
		}
		if factor*d.level < demand {
			d.list(name, a, factor)
		}
	}
}

// list adds an account to the lists. What can be in time goes first: a late answer is
// worth less to its caller, and what it takes of the share makes another one late.
func (d *Demand) list(name string, a *account, factor float64) {
	late := min(a.late.average, a.demand.average)
	fresh := a.demand.average - late
	level, extra := factor*d.level, factor*d.extra
	d.entitlements = append(d.entitlements, protocol.Entitlement{
		Account: name, Part: float32(Part(fresh, level)), Extra: float32(Part(fresh, extra)),
	})
	if extra > fresh {
		d.late = append(d.late, protocol.Entitlement{
			Account: name, Part: float32(Part(late, max(level-fresh, 0))), Extra: float32(Part(late, extra-fresh)),
		})
	}
}

// balanced reports whether all gateways have said for a while which accounts they served.
func (d *Demand) balanced() bool {
	return d.unattributed == 0 || d.settled-d.unattributed > balanceMemory
}

// owed is what the accounts are given less than they are due. Connections that a gateway
// does not take show in nothing else.
func (d *Demand) owed() float64 {
	if !d.balanced() {
		return 0
	}
	sum := 0.0
	for _, a := range d.accounts {
		sum += a.balance.owed()
	}
	return sum
}

// Entitlements returns the accounts that demand more than their share, in
// order of their names. The caller must not change them.
func (d *Demand) Entitlements() []protocol.Entitlement { return d.entitlements }

// LateEntitlements returns the parts of what comes back late, for some of the same accounts. The
// caller must not change them.
func (d *Demand) LateEntitlements() []protocol.Entitlement { return d.late }

// mostLevels is how many times the level one account may be given at one gateway: what it
// is behind must be made up for, and nobody may get twice what another gets. Chosen.
const mostLevels = 1.25

// MaxAccountRate returns what one account may be given, in tokens a second: somewhat more than the
// higher level, and what nobody demands. It is 0 before anything is known and where the
// operator names no rate.
func (d *Demand) MaxAccountRate() float64 { return d.most }

// Ready reports whether the averages hold enough to decide by. A new leader's do not at
// first, and the list of the one before is better than none.
func (d *Demand) Ready() bool { return d.weights.full() }

// shortPart is the part of what is made that may be missed within shares
// before no request beyond them is served.
const shortPart = 0.02

// Contended reports whether what is beyond every share must wait: because requests within
// their shares find no room, or because several accounts demand more than theirs. What the
// engines make beyond the shares would else go to the account with the most callers: one was
// given seven times what another one got, in a second in which both waited
// (docs/incidents/fair-kmo-mapa-grown.md). Requests beyond every share must not count as
// missed: they would keep themselves out.
func (d *Demand) Contended() bool {
	return len(d.entitlements) > 1 || d.missed.average > shortPart*d.started.average
}
