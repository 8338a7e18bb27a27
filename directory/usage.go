// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines usage, the sums of what the gateways report: what runs on
// each backend server, and what each account demands.

type usage struct {
	loads  map[*session][]protocol.ServerLoad // as last reported
	total  []protocol.ServerLoad              // of all sessions, ordered by handle
	demand *entitlement.DemandEstimator
}

func newUsage() *usage {
	return &usage{loads: map[*session][]protocol.ServerLoad{}, demand: entitlement.NewDemandEstimator()}
}

// add takes a gateway's report, or a relay's. Its first one may cover any time, such as the one
// that it was without a leader, so only what runs there counts.
func (u *usage) add(s *session, m protocol.Usage) {
	_, known := u.loads[s]
	if m.Changes {
		registry.ApplyLoads(s.loads, m.Loads)
		m.Loads = registry.SortedLoads(s.loads)
	}
	u.loads[s] = m.Loads
	s.countedSeq = m.Seq
	if known {
		u.demand.Add(m)
	}
}

func (u *usage) forget(s *session) { delete(u.loads, s) }

// sumLoads adds up what runs on all gateways, by handle.
func (u *usage) sumLoads() {
	sums := map[uint32]protocol.ServerLoad{}
	for _, loads := range u.loads {
		registry.AddLoads(sums, loads)
	}
	u.total = registry.SortedLoads(sums)
}
