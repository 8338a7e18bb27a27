// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Demand, the leader's estimate of what each account demands
// and of what the engines make, and the entitlements that follow from it.

// demandMemory is the time constant of all averages. Chosen, not measured: a
// longer one shows a flood later, a shorter one follows every burst.
const demandMemory = 1500 * time.Millisecond

// leastWeight bounds how much averages over a short time are scaled up: those
// of 300 ms are taken for what they say (1-exp(-300 ms/demandMemory) is 0.18),
// and shorter ones for less. Before there was this scaling floods were unknown
// for 0.7 s after each change of leaders (commit b9a79bb).
const leastWeight = 0.18

// leastRate, in tokens a second, is below any request's: an account that demands
// less sends nothing any more. Chosen, not measured.
const leastRate = 1

// Demand estimates the accounts' demands from the gateways' reports.
type Demand struct {
	accounts     map[string]*account
	started      rate          // of requests given to engines
	missed       rate          // of requests within a share that found no room
	weight       float64       // of what the averages hold, 0 to 1: they begin at nothing
	settled      time.Duration // 0 before the first settlement
	level, extra float64       // tokens a second
	entitlements []protocol.Entitlement
}

// account is what one account demands and is given.
type account struct {
	demand rate
	given  rate // of its requests given to engines
}

// rate is an averaged rate of tokens.
type rate struct {
	tokens  float64 // since the last settlement
	average float64 // tokens a second
}

func (r *rate) settle(elapsed time.Duration, keep float64) {
	r.average = keep*r.average + (1-keep)*r.tokens/elapsed.Seconds()
	r.tokens = 0
}

// NewDemand returns an estimate without any account.
func NewDemand() *Demand { return &Demand{accounts: map[string]*account{}} }

// Add counts what a gateway reports for the time since its previous report.
func (d *Demand) Add(m protocol.Usage) {
	d.started.tokens += float64(m.Started)
	d.missed.tokens += float64(m.Missed)
	for _, a := range m.Demands {
		d.account(a.Account).demand.tokens += float64(a.Tokens)
	}
	for _, a := range m.Served {
		d.account(a.Account).given.tokens += float64(a.Tokens)
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

// Settle averages what was added since the last settlement and finds the
// entitlements anew. capacity is the rate that the operator names, in tokens a
// second; without one, 0, no account is limited. It costs O(n log n) for n accounts.
func (d *Demand) Settle(now time.Duration, capacity float64) {
	elapsed, first := now-d.settled, d.settled == 0
	if elapsed <= 0 {
		return
	}
	d.settled = now
	if first {
		return // the time that the first reports cover is unknown
	}
	keep := math.Exp(-float64(elapsed) / float64(demandMemory))
	for _, a := range d.accounts {
		a.demand.settle(elapsed, keep)
		a.given.settle(elapsed, keep)
	}
	maps.DeleteFunc(d.accounts, func(_ string, a *account) bool { return a.demand.average < leastRate })
	d.started.settle(elapsed, keep)
	d.missed.settle(elapsed, keep)
	d.weight = keep*d.weight + 1 - keep
	d.entitle(capacity)
}

// missedWeight is how much of what is made beyond the named rate is held back
// for what is missed within shares: some gateway cannot serve its part, and
// what others get more than their share must not run away from that. Chosen:
// with 3 the two days that had broken fairness kept it (commit 83224a5); other
// values were not tried.
const missedWeight = 3

// entitle finds two levels: of the named capacity, and of what is made if that
// is more. Without the second, what the engines make beyond the named rate
// would go to the account with the largest demand.
func (d *Demand) entitle(capacity float64) {
	d.entitlements = nil
	if capacity <= 0 {
		return
	}
	capacity *= max(d.weight, leastWeight) // instead of dividing every average by it
	rates := make([]float64, 0, len(d.accounts))
	for _, a := range d.accounts {
		rates = append(rates, a.demand.average)
	}
	level := Level(rates, capacity)
	extra := Level(rates, max(capacity, d.started.average-missedWeight*d.missed.average))
	d.level, d.extra = level, extra
	for _, name := range slices.Sorted(maps.Keys(d.accounts)) {
		demand := d.accounts[name].demand.average
		if part := Part(demand, level); part < 1 {
			d.entitlements = append(d.entitlements, protocol.Entitlement{
				Account: name, Part: float32(part), Extra: float32(Part(demand, extra)),
			})
		}
	}
}

// Entitlements returns the accounts that demand more than their share, in
// order of their names. The caller must not change them.
func (d *Demand) Entitlements() []protocol.Entitlement { return d.entitlements }

// shortPart is the part of what is made that may be missed within shares
// before no request beyond them is served. Chosen: with it the days that had broken
// fairness kept it (commit ddfd6cc); other values were not tried.
const shortPart = 0.02

// Short reports whether requests within their shares find no room. Requests
// beyond every share must not count as missed: they would keep themselves out.
func (d *Demand) Short() bool { return d.missed.average > shortPart*d.started.average }

// Rates are the averages that the entitlements follow from, for the log, in tokens a
// second.
type Rates struct {
	Level, Extra    int64 // of the named rate, and of what the engines make
	Started, Missed int64
	Accounts        []AccountRates // the largest demands first
}

// AccountRates are the averages of one account.
type AccountRates struct {
	Account       string
	Demand, Given int64
}

// Rates returns the averages, with up to most of the accounts.
func (d *Demand) Rates(most int) Rates {
	r := Rates{
		Level: int64(d.level), Extra: int64(d.extra), Started: int64(d.started.average), Missed: int64(d.missed.average),
	}
	for name, a := range d.accounts {
		r.Accounts = append(r.Accounts, AccountRates{Account: name, Demand: int64(a.demand.average), Given: int64(a.given.average)})
	}
	slices.SortFunc(r.Accounts, func(a, b AccountRates) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	r.Accounts = r.Accounts[:min(most, len(r.Accounts))]
	return r
}
