// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"cmp"
	"slices"
)

// This file defines Rates, what the leader logs of its estimate.

// Rates are the averages that the entitlements follow from, for the log, in tokens a
// second.
type Rates struct {
	Level, Extra    int64 // of the named rate, and of what the engines make
	Started, Missed int64
	Hold            int64          // bound of Extra by an account that gets too little; 0: none now
	BusyFraction    float64        // part of the engines that run something; 0: not known
	Accounts        []AccountRates // the largest demands first
}

// AccountRates are the averages of one account.
type AccountRates struct {
	Account        string
	Demand, Served int64
	Unread         int64 // estimate of what gateways have not read of it
}

// Rates returns the averages, with up to most of the accounts.
func (d *Demand) Rates(most int) Rates {
	r := Rates{
		Level: int64(d.level), Extra: int64(d.extra), Started: int64(d.started.average), Missed: int64(d.missed.average), BusyFraction: d.busy,
		Hold: d.holding(),
	}
	for name, a := range d.accounts {
		r.Accounts = append(r.Accounts, AccountRates{Account: name, Demand: int64(a.demand.average), Served: int64(a.given.average), Unread: int64(a.unread.average)})
	}
	slices.SortFunc(r.Accounts, func(a, b AccountRates) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	r.Accounts = r.Accounts[:min(most, len(r.Accounts))]
	return r
}
