// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"cmp"
	"slices"
)

// This file defines Rates, the averages that the leader logs.

// Rates holds the averages behind the entitlements, in tokens per second, for the log.
type Rates struct {
	Level, Extra    int64 // max-min levels of the configured rate and of the engines' output
	Started, Missed int64
	ExtraCap        int64          // cap on Extra for an underserved account; 0 means none now
	BusyFraction    float64        // fraction of engines that run something; 0 means unknown
	Accounts        []AccountRates // sorted by descending demand
}

// AccountRates holds the averages of one account, in tokens per second. Log lines contain it as
// JSON.
type AccountRates struct {
	Account string
	Demand  int64
	Served  int64 `json:"Given"`
	Unread  int64 // estimated demand on connections that gateways have not read
}

// Rates returns the averages, with at most limit accounts.
func (d *DemandEstimator) Rates(limit int) Rates {
	r := Rates{
		Level: int64(d.level), Extra: int64(d.extraLevel), Started: int64(d.started.average), Missed: int64(d.missed.average), BusyFraction: d.busyFraction,
		ExtraCap: d.activeCap(),
	}
	for name, a := range d.accounts {
		r.Accounts = append(r.Accounts, AccountRates{Account: name, Demand: int64(a.demand.average), Served: int64(a.served.average), Unread: int64(a.unread.average)})
	}
	slices.SortFunc(r.Accounts, func(a, b AccountRates) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	r.Accounts = r.Accounts[:min(limit, len(r.Accounts))]
	return r
}
