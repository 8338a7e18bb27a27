// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines the fleet-wide data sent to gateways: the load totals, which sum up the running
// requests of all gateways by backend server, and the accounts' shares.

// pushFleet sends every gateway the load totals of all gateways, as often as the link budget allows.
func (h *hub) pushFleet() {
	held, _ := h.d.state.CurrentDocument()
	now := h.d.replica.Now()
	h.usage.sumLoads()
	h.usage.demand.SetBusyFraction(h.registry.MaxBusyShare(h.usage.total, h.engineGroup(held.Document)))
	h.usage.demand.Recompute(now, held.Document.Limits.TokensPerSecond)
	h.logShares(now)
	if now < h.nextFleetAt || len(h.sessions) == 0 {
		return
	}
	budget, links := h.fleetBudget(len(h.gateways()))
	m, ok := h.encode(h.fleetMessage(h.feed.Next(h.usage.total, budget.Loads(links))))
	if !ok {
		return
	}
	h.nextFleetAt = now + budget.Pause(m.Size(), links)
	for s := range h.sessions {
		s.out.Send(protocol.Counted{Seq: s.countedSeq})
		s.out.Send(m)
	}
}

// engineGroup returns a function that maps an engine's pool and data hall to its capacity group:
// the engines of one pool in one region, because a request may be restricted to a region.
func (h *hub) engineGroup(d document.Document) func(pool, hall string) string {
	engines := map[string]bool{}
	for _, p := range d.Pools {
		engines[p.Name] = p.Engine
	}
	return func(pool, hall string) string {
		if !engines[pool] {
			return ""
		}
		return pool + " " + h.d.cfg.Topology.Region(hall)
	}
}

// fleetBudget returns the budget of this replica's Fleet messages and the number of links that
// share it: those of the whole fleet, or only its own where sessions are spread.
func (h *hub) fleetBudget(gateways int) (registry.FleetBudget, int) {
	links := len(h.sessions)
	if !h.isSpread() {
		links = max(links, gateways)
	}
	return registry.NewFleetBudget(h.isSpread(), h.d.cfg.LinkRate), links
}

// fleetMessage returns a Fleet message with the given loads.
func (h *hub) fleetMessage(loads []protocol.ServerLoad) protocol.Fleet {
	demand := h.usage.demand
	return protocol.Fleet{
		Gateways: len(h.gateways()), Loads: loads, Entitlements: demand.Entitlements(), Late: demand.LateEntitlements(),
		Members: h.leadership.Load().voters, Contended: demand.Contended(), Incomplete: !demand.Ready(), MaxRate: demand.MaxAccountRate(),
	}
}

// Limits of the share log lines.
const (
	shareLogPeriod    = time.Second
	maxLoggedAccounts = 8 // those with the largest demands
)

// logShares logs the shares of the accounts and the quantities that determine them, once per second
// while any account's demand exceeds its share.
func (h *hub) logShares(now time.Duration) {
	if now-h.sharesLoggedAt < shareLogPeriod || len(h.usage.demand.Entitlements()) == 0 {
		return
	}
	h.sharesLoggedAt = now
	r := h.usage.demand.Rates(maxLoggedAccounts)
	h.d.cfg.Log.StateChange("shares", slog.Int64("level", r.Level), slog.Int64("extra_level", r.Extra),
		slog.Int64("started", r.Started), slog.Int64("missed", r.Missed), slog.Int64("hold", r.ExtraCap), slog.Float64("engines_busy", r.BusyFraction), slog.Bool("short", h.usage.demand.Contended()),
		slog.Any("accounts", r.Accounts))
}
