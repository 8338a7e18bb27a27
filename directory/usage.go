// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines usage, the sums of what the gateways report: what runs on
// each backend server, and what each account asks for.

// demandMemory is the time constant with which demand is averaged.
const demandMemory = 1500 * time.Millisecond

// leastWeight bounds how much an average over a short time is scaled up: that
// of 300 ms is taken for what it says, and a shorter one for less.
const leastWeight = 0.18

type usage struct {
	running      map[*session][]protocol.ServerLoad
	total        []protocol.ServerLoad  // of all sessions, ordered by handle
	asked        map[string]float64     // tokens since the last settlement, by account
	rates        map[string]float64     // tokens a second, averaged
	begun        float64                // tokens given to engines since the last settlement
	made         float64                // the same a second, averaged
	missed       float64                // tokens within a share that found no room since the last settlement
	missing      float64                // the same a second, averaged
	weight       float64                // of what the averages hold, 0 to 1: they begin at nothing
	recomputed   time.Duration          // 0 before the first settlement
	entitlements []protocol.Entitlement // accounts that ask for more than they are entitled to
}

func newUsage() *usage {
	return &usage{running: map[*session][]protocol.ServerLoad{}, asked: map[string]float64{}, rates: map[string]float64{}}
}

// report takes what a gateway says. Its first report may cover any time, such
// as the one that it was without a leader, so only what runs there counts.
func (u *usage) report(s *session, m protocol.Usage) {
	_, known := u.running[s]
	u.running[s] = m.Loads
	if !known {
		return
	}
	u.begun += float64(m.Started)
	u.missed += float64(m.Missed)
	for _, d := range m.Demands {
		u.asked[d.Account] += float64(d.Tokens)
	}
}

func (u *usage) forget(s *session) { delete(u.running, s) }

// recompute averages the demand and finds what each account is entitled to.
func (u *usage) recompute(now time.Duration, capacity float64) {
	first := u.recomputed == 0
	elapsed := now - u.recomputed
	if elapsed <= 0 {
		return
	}
	u.recomputed = now
	u.sum()
	if first {
		return // nobody knows since when
	}
	keep := math.Exp(-float64(elapsed) / float64(demandMemory))
	for account := range u.asked {
		u.rates[account] += 0
	}
	for account, rate := range u.rates {
		fresh := u.asked[account] / elapsed.Seconds()
		u.rates[account] = keep*rate + (1-keep)*fresh
		if u.rates[account] < 1 {
			delete(u.rates, account)
		}
	}
	clear(u.asked)
	u.made = keep*u.made + (1-keep)*u.begun/elapsed.Seconds()
	u.missing = keep*u.missing + (1-keep)*u.missed/elapsed.Seconds()
	u.begun, u.missed = 0, 0
	u.weight = keep*u.weight + 1 - keep
	u.entitle(capacity)
}

// shortPart is the part of what is made that may be missed within shares
// before nobody is let go beyond them.
const shortPart = 0.02

// missedWeight is how much of what is made beyond the named rate is held back
// for what is missed within shares: some gateway cannot serve its part, and
// what others get more than their share must not run away from that.
const missedWeight = 3

// short reports whether requests within their shares find no room.
func (u *usage) short() bool { return u.missing > shortPart*u.made }

// entitle finds two levels: of the named capacity, and of what is made if that
// is more. Without the second, what the engines make beyond the named rate
// would go to whoever asks most.
func (u *usage) entitle(capacity float64) {
	u.entitlements = nil
	if capacity <= 0 {
		return
	}
	weight := max(u.weight, leastWeight)
	capacity *= weight // instead of dividing every average by it
	rates := slices.Collect(maps.Values(u.rates))
	level := entitlement.Level(rates, capacity)
	extra := entitlement.Level(rates, max(capacity, u.made-missedWeight*u.missing))
	for _, account := range slices.Sorted(maps.Keys(u.rates)) {
		if part := entitlement.Part(u.rates[account], level); part < 1 {
			u.entitlements = append(u.entitlements, protocol.Entitlement{
				Account: account, Part: float32(part), Extra: float32(entitlement.Part(u.rates[account], extra)),
			})
		}
	}
}

// sum adds up what runs on all gateways, by handle.
func (u *usage) sum() {
	sums := map[uint32]protocol.ServerLoad{}
	for _, running := range u.running {
		for _, r := range running {
			sum := sums[r.Handle]
			sums[r.Handle] = protocol.ServerLoad{
				Handle: r.Handle, Requests: sum.Requests + r.Requests, Tokens: sum.Tokens + r.Tokens,
			}
		}
	}
	u.total = slices.SortedFunc(maps.Values(sums), func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
}

// others returns what runs on all gateways but one, as of the last sum.
func (u *usage) others(own *session) []protocol.ServerLoad {
	mine := map[uint32]protocol.ServerLoad{}
	for _, r := range u.running[own] {
		mine[r.Handle] = r
	}
	out := make([]protocol.ServerLoad, 0, len(u.total))
	for _, r := range u.total {
		o := mine[r.Handle]
		r.Requests -= min(o.Requests, r.Requests)
		r.Tokens -= min(o.Tokens, r.Tokens)
		if r.Requests > 0 {
			out = append(out, r)
		}
	}
	return out
}
