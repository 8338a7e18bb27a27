// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
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
	accounts     map[string]*rate // the demand of each
	started      rate             // of requests given to engines
	missed       rate             // of requests within a share that found no room
	weight       float64          // of what the averages hold, 0 to 1: they begin at nothing
	settled      time.Duration    // 0 before the first settlement
	entitlements []protocol.Entitlement
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
func NewDemand() *Demand { return &Demand{accounts: map[string]*rate{}} }

// Add counts what a gateway reports for the time since its previous report.
func (d *Demand) Add(m protocol.Usage) {
	d.started.tokens += float64(m.Started)
	d.missed.tokens += float64(m.Missed)
	for _, a := range m.Demands {
		r := d.accounts[a.Account]
		if r == nil {
			r = &rate{}
			d.accounts[a.Account] = r
		}
		r.tokens += float64(a.Tokens)
	}
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
	for _, r := range d.accounts {
		r.settle(elapsed, keep)
	}
	maps.DeleteFunc(d.accounts, func(_ string, r *rate) bool { return r.average < leastRate })
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
	for _, r := range d.accounts {
		rates = append(rates, r.average)
	}
	level := Level(rates, capacity)
	extra := Level(rates, max(capacity, d.started.average-missedWeight*d.missed.average))
	for _, account := range slices.Sorted(maps.Keys(d.accounts)) {
		demand := d.accounts[account].average
		if part := Part(demand, level); part < 1 {
			d.entitlements = append(d.entitlements, protocol.Entitlement{
				Account: account, Part: float32(part), Extra: float32(Part(demand, extra)),
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
