// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines usage, which adds up the gateways' reports: the load of each backend server,
// and the demand of each account.

type usage struct {
	loads  map[*session][]protocol.ServerLoad // from each session's last report
	total  []protocol.ServerLoad              // over all sessions, ordered by handle
	demand *entitlement.DemandEstimator
}

func newUsage() *usage {
	return &usage{loads: map[*session][]protocol.ServerLoad{}, demand: entitlement.NewDemandEstimator()}
}

// addReport records a report of a gateway or a relay. The first report of a session may cover any
// period, for example the time without a leader, so it counts for the loads but not for the demand.
func (u *usage) addReport(s *session, m protocol.Usage) {
	_, known := u.loads[s]
	if m.Incremental {
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

// sumLoads adds up the loads of all sessions by handle.
func (u *usage) sumLoads() {
	sums := map[uint32]protocol.ServerLoad{}
	for _, loads := range u.loads {
		registry.AddLoads(sums, loads)
	}
	u.total = registry.SortedLoads(sums)
}
