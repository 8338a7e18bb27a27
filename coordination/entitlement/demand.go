// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines DemandEstimator, the leader's estimate of what each account demands and
// is served and of what the engines produce, and the entitlements computed from it.

// minDemand is the demand, in tokens per second, below which an account counts as idle. A
// single request exceeds it.
const minDemand = 1

// DemandEstimator estimates the accounts' demands from the gateways' reports.
type DemandEstimator struct {
	accounts          map[string]*account
	started           rate    // requests given to engines
	missed            rate    // requests within a share that were refused
	busyFraction      float64 // fraction of engines that run something; 0 means unknown
	weights           weights
	updatedAt         time.Duration // time of the last recomputation; 0 before the first
	lastUnattributed  time.Duration // time of the last report that did not list the accounts served; 0 means never
	level, extraLevel float64       // max-min levels in tokens per second: of the configured rate, and of the engines' output
	extraCap          levelCap      // cap on extraLevel
	maxAccountRate    float64       // tokens per second for one account; 0 means unlimited
	entitlements      []protocol.Entitlement
	late              []protocol.Entitlement
}

// account holds the averaged rates and balances of one account.
type account struct {
	demand            rate
	late              rate // the part of demand that is late retries
	served            rate // requests given to engines
	unread            rate // estimated demand on connections that gateways have not accepted
	balance           balance
	balanceWithUnread balance // as balance, with unread counted as due
}

// NewDemandEstimator returns an estimator without accounts.
func NewDemandEstimator() *DemandEstimator { return &DemandEstimator{accounts: map[string]*account{}} }

// Add counts what a gateway reports for the time since its previous report.
func (d *DemandEstimator) Add(m protocol.Usage) {
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
		d.account(a.Account).served.tokens += float64(a.Tokens)
	}
	if m.Started > 0 && len(m.Served) == 0 { // an older gateway
		d.lastUnattributed = max(d.updatedAt, 1)
	}
}

// account returns the estimate for an account and creates it if it does not exist.
func (d *DemandEstimator) account(name string) *account {
	a := d.accounts[name]
	if a == nil {
		a = &account{}
		d.accounts[name] = a
	}
	return a
}

// Recompute averages what was added since the last call and recomputes the entitlements.
// capacity is the rate that the operator configured, in tokens per second; with 0, no account
// is limited. It costs O(n log n) for n accounts.
func (d *DemandEstimator) Recompute(now time.Duration, capacity float64) {
	elapsed, first := now-d.updatedAt, d.updatedAt == 0
	if elapsed <= 0 {
		return
	}
	d.updatedAt = now
	if first {
		return // the period covered by the first reports is unknown
	}
	d.weights = d.weights.update(elapsed)
	for _, a := range d.accounts {
		a.demand.update(elapsed, d.weights)
		a.late.update(elapsed, d.weights)
		a.served.update(elapsed, d.weights)
		a.unread.update(elapsed, d.weights)
	}
	maps.DeleteFunc(d.accounts, func(_ string, a *account) bool { return a.demand.average < minDemand })
	d.started.updateSlow(elapsed, d.weights)
	d.missed.updateSlow(elapsed, d.weights)
	d.computeEntitlements(elapsed, capacity)
}

// computeEntitlements computes two max-min levels: of the configured capacity, and of the
// engines' target output if that is larger. Without the second, output beyond the configured
// rate would go to the account with the largest demand. Each account's share is the level
// corrected by its balance.
func (d *DemandEstimator) computeEntitlements(elapsed time.Duration, capacity float64) {
	d.entitlements, d.late = nil, nil
	d.maxAccountRate = 0
	if capacity <= 0 {
		return
	}
	demands := make([]float64, 0, len(d.accounts))
	for _, a := range d.accounts {
		demands = append(demands, a.demand.average)
	}
	d.level = MaxMinLevel(demands, capacity)
	output := max(capacity, d.targetOutput())
	d.extraLevel = MaxMinLevel(demands, output)
	if d.Ready() && d.hasServedReports() {
		d.extraCap = d.extraCap.update(elapsed, d.lowestServed(), d.level)
		d.extraLevel = max(d.level, d.extraCap.apply(d.extraLevel))
	}
	if d.Ready() {
		d.maxAccountRate = maxRateLevels*d.extraLevel + max(output-coveredSum(demands, d.extraLevel), 0)
	}
	for _, name := range slices.Sorted(maps.Keys(d.accounts)) {
		a := d.accounts[name]
		demand := a.demand.average
		if d.Ready() {
			a.balance = a.balance.update(elapsed, min(demand, d.extraLevel), a.served.average)
			a.balanceWithUnread = a.balanceWithUnread.update(elapsed, min(demand+a.unread.average, d.extraLevel), a.served.average)
		}
		if demand <= d.level {
			continue // an account within its share is not charged for excess service in the past
		}
		factor := 1.0
		if d.hasServedReports() {
			factor = a.balance.factor(d.extraLevel)
		}
		if factor*d.level < demand {
			d.appendEntitlement(name, a, factor)
		}
	}
}

// appendEntitlement adds an account's covered fractions to the lists. Requests that can still
// be answered in time are covered first: a late answer is worth less to its caller, and the
// share it uses would make another request late.
func (d *DemandEstimator) appendEntitlement(name string, a *account, factor float64) {
	late := min(a.late.average, a.demand.average)
	fresh := a.demand.average - late
	level, extra := factor*d.level, factor*d.extraLevel
	d.entitlements = append(d.entitlements, protocol.Entitlement{
		Account: name, Part: float32(CoveredFraction(fresh, level)), Extra: float32(CoveredFraction(fresh, extra)),
	})
	if extra > fresh {
		d.late = append(d.late, protocol.Entitlement{
			Account: name, Part: float32(CoveredFraction(late, max(level-fresh, 0))), Extra: float32(CoveredFraction(late, extra-fresh)),
		})
	}
}

// hasServedReports reports whether for balanceTimeConstant all gateways have reported which
// accounts they served.
func (d *DemandEstimator) hasServedReports() bool {
	return d.lastUnattributed == 0 || d.updatedAt-d.lastUnattributed > balanceTimeConstant
}

// totalShortfall returns how much less than due all accounts are served, in tokens per
// second. Demand on connections that a gateway does not accept is visible only here.
func (d *DemandEstimator) totalShortfall() float64 {
	if !d.hasServedReports() {
		return 0
	}
	sum := 0.0
	for _, a := range d.accounts {
		sum += a.balance.shortfall()
	}
	return sum
}

// Entitlements returns the accounts that demand more than their share, ordered by name. The
// caller must not modify them.
func (d *DemandEstimator) Entitlements() []protocol.Entitlement { return d.entitlements }

// LateEntitlements returns the covered fractions of late retries, for some of the accounts in
// Entitlements. The caller must not modify them.
func (d *DemandEstimator) LateEntitlements() []protocol.Entitlement { return d.late }

// maxRateLevels is the multiple of the level that one gateway may serve one account. It
// exceeds 1 so that an account can catch up, and stays well below 2 because no account may be
// served twice what another is.
const maxRateLevels = 1.25

// MaxAccountRate returns what one account may be served, in tokens per second: somewhat more
// than the higher level, plus output that no account demands. It is 0, for unlimited, until
// the averages are filled and where the operator configured no rate.
func (d *DemandEstimator) MaxAccountRate() float64 { return d.maxAccountRate }

// Ready reports whether the averages cover enough time to decide by. A new leader's do not at
// first, and gateways then keep using the previous leader's list.
func (d *DemandEstimator) Ready() bool { return d.weights.coversMinSpan() }

// toleratedMissFraction is the fraction of the output that may be missed within shares before
// requests beyond them are refused.
const toleratedMissFraction = 0.02

// Contended reports whether requests beyond every share must wait, because requests within
// shares are refused or because several accounts demand more than their share. Output beyond
// the shares would otherwise go to the account with the most callers: one was served seven
// times what another was in a second in which both waited
// (docs/incidents/fair-kmo-mapa-grown.md). Requests beyond every share must not count as
// missed, because their own refusals would then keep them out.
func (d *DemandEstimator) Contended() bool {
	return len(d.entitlements) > 1 || d.missed.average > toleratedMissFraction*d.started.average
}
