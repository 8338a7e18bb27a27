// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines usage, the sums of what the gateways report: what runs on
// each backend server, and what each account asks for.

type usage struct {
	running map[*session][]protocol.ServerLoad
	total   []protocol.ServerLoad // of all sessions, ordered by handle
	demand  *entitlement.Demand
}

func newUsage() *usage {
	return &usage{running: map[*session][]protocol.ServerLoad{}, demand: entitlement.NewDemand()}
}

// report takes what a gateway says. Its first report may cover any time, such
// as the one that it was without a leader, so only what runs there counts.
func (u *usage) report(s *session, m protocol.Usage) {
	_, known := u.running[s]
	u.running[s] = m.Loads
	if known {
		u.demand.Add(m)
	}
}

func (u *usage) forget(s *session) { delete(u.running, s) }

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
