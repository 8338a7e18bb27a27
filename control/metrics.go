// SPDX-License-Identifier: Apache-2.0

package control

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the fleet metrics that the leading replica writes: the slots of each
// pool, the service that each account received, and the largest gap between accounts.
// They are written from the allocator's tables at each scrape, so no stale series
// remain for a removed account or server.

// WriteMetrics writes the fleet's metrics in the Prometheus text format. A replica
// that does not lead writes only that it does not lead and its revision.
func (c *Control) WriteMetrics(w io.Writer) {
	var snapshot fleetSnapshot
	c.dispatcher.call(func() { snapshot = c.dispatcher.snapshot() })
	snapshot.write(w)
}

// fleetSnapshot is the state that one scrape reports.
type fleetSnapshot struct {
	leads       bool
	epoch       uint64
	cfg         config.Config
	routers     int
	occupancies []slots.Occupancy
	standings   []slots.AccountStatus
}

// snapshot collects the state for a scrape. It runs in the dispatcher's goroutine.
func (d *dispatcher) snapshot() fleetSnapshot {
	s := fleetSnapshot{cfg: d.c.state.Config(), leads: d.isAllocator()}
	if s.leads {
		s.epoch = d.alloc.Epoch()
		s.routers = len(d.sessions)
		s.occupancies = d.alloc.Occupancies()
		s.standings = d.alloc.AccountStatuses()
	}
	return s
}

func (s fleetSnapshot) write(w io.Writer) {
	leads := uint64(0)
	if s.leads {
		leads = 1
	}
	metrics.WriteGaugeUint64(w, "badgerspoke_leads", leads)
	metrics.WriteGaugeUint64(w, "badgerspoke_revision", s.cfg.Revision())
	if !s.leads {
		return
	}
	metrics.WriteGaugeUint64(w, "badgerspoke_epoch", s.epoch)
	metrics.WriteGaugeUint64(w, "badgerspoke_routers", uint64(s.routers))
	s.writePools(w)
	s.writeAccounts(w)
}

// writePools writes the slots and granted slots of each pool. Their ratio is the pool's
// utilisation across the fleet.
func (s fleetSnapshot) writePools(w io.Writer) {
	type pool struct{ slots, granted int }
	pools := map[string]pool{}
	var names []string
	for _, o := range s.occupancies {
		sum, seen := pools[o.Pool]
		if !seen {
			names = append(names, o.Pool)
		}
		pools[o.Pool] = pool{sum.slots + o.Slots, sum.granted + o.Granted}
	}
	for _, name := range names {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("badgerspoke_pool_slots{pool=%q}", name), uint64(pools[name].slots))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("badgerspoke_pool_slots_granted{pool=%q}", name), uint64(max(pools[name].granted, 0)))
	}
}

// writeAccounts writes the normalised service and the waiting requests of each account. For each
// pool it writes the largest difference in normalised service between accounts with waiting requests.
func (s fleetSnapshot) writeAccounts(w io.Writer) {
	_, accounts := namesByID(s.cfg)
	minService, maxService := map[string]float64{}, map[string]float64{}
	for _, st := range s.standings {
		labels := fmt.Sprintf("{pool=%q,account=%q}", st.Pool, accounts[st.Account])
		metrics.WriteGaugeFloat64(w, "badgerspoke_normalised_service"+labels, st.VirtualTime)
		metrics.WriteGaugeUint64(w, "badgerspoke_waiting"+labels, uint64(st.Waiting))
		if st.Waiting == 0 {
			continue
		}
		if _, seen := minService[st.Pool]; !seen {
			minService[st.Pool], maxService[st.Pool] = st.VirtualTime, st.VirtualTime
		}
		minService[st.Pool], maxService[st.Pool] = min(minService[st.Pool], st.VirtualTime), max(maxService[st.Pool], st.VirtualTime)
	}
	for pool := range minService {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("badgerspoke_gap{pool=%q}", pool), maxService[pool]-minService[pool])
	}
}
