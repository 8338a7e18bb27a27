// SPDX-License-Identifier: Apache-2.0

package control

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the metrics of the fleet that a leading replica writes: how
// full each pool is, what each account was served, and the largest gap. They are
// written from the allocator's tables at each scrape, so nothing stale stays
// behind a removed account or server.

// WriteMetrics writes the fleet's metrics in the Prometheus text format. A
// replica that does not lead writes that only.
func (c *Control) WriteMetrics(w io.Writer) {
	var snapshot fleetSnapshot
	c.dispatcher.do(func() { snapshot = c.dispatcher.snapshot() })
	snapshot.write(w)
}

// fleetSnapshot is the state that one scrape writes.
type fleetSnapshot struct {
	leads     bool
	epoch     uint64
	cfg       config.Config
	routers   int
	occupied  []slots.Occupancy
	standings []slots.Standing
}

// snapshot runs in the dispatcher's goroutine.
func (d *dispatcher) snapshot() fleetSnapshot {
	s := fleetSnapshot{cfg: d.c.state.Config(), leads: d.acting()}
	if s.leads {
		s.epoch = d.alloc.Epoch()
		s.routers = len(d.sessions)
		s.occupied = d.alloc.Occupancies()
		s.standings = d.alloc.Standings()
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

// writePools writes the slots of each pool. Granted over slots is the pool's
// utilisation over the whole fleet.
func (s fleetSnapshot) writePools(w io.Writer) {
	type pool struct{ slots, granted int }
	pools := map[string]pool{}
	var names []string
	for _, o := range s.occupied {
		p, seen := pools[o.Pool]
		if !seen {
			names = append(names, o.Pool)
		}
		pools[o.Pool] = pool{p.slots + o.Slots, p.granted + o.Granted}
	}
	for _, name := range names {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("badgerspoke_pool_slots{pool=%q}", name), uint64(pools[name].slots))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("badgerspoke_pool_slots_granted{pool=%q}", name), uint64(max(pools[name].granted, 0)))
	}
}

// writeAccounts writes the service and queue of each account, and for each pool the largest
// difference of normalised service between two accounts whose work waits.
func (s fleetSnapshot) writeAccounts(w io.Writer) {
	_, accounts := namesByID(s.cfg)
	low, high := map[string]float64{}, map[string]float64{}
	for _, st := range s.standings {
		labels := fmt.Sprintf("{pool=%q,account=%q}", st.Pool, accounts[st.Account])
		metrics.WriteGaugeFloat64(w, "badgerspoke_normalised_service"+labels, st.VirtualTime)
		metrics.WriteGaugeUint64(w, "badgerspoke_waiting"+labels, uint64(st.Waiting))
		if st.Waiting == 0 {
			continue
		}
		if _, seen := low[st.Pool]; !seen {
			low[st.Pool], high[st.Pool] = st.VirtualTime, st.VirtualTime
		}
		low[st.Pool], high[st.Pool] = min(low[st.Pool], st.VirtualTime), max(high[st.Pool], st.VirtualTime)
	}
	for pool := range low {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("badgerspoke_gap{pool=%q}", pool), high[pool]-low[pool])
	}
}
