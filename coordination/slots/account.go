// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the fleet-wide virtual times of one pool: the counter of each account,
// the floor, the floor's rate, the lift and the slack.

// account is one client account in one pool.
type account struct {
	name           string
	share          float64
	virtualTime    float64 // reported cost divided by the share
	cost           costMean
	grantsInFlight int              // grants not yet acknowledged
	running        int              // running requests on all routers
	backlogs       []*routerBacklog // one per router with unmet work
	backlogCursor  int              // start of the next search by nextBacklog
	heapIndex      int              // index in fleetPool.backlogged, -1 if absent
}

// charge adds the service that a router reported.
func (a *account) charge(ar protocol.AccountReport) {
	a.virtualTime += ar.Service / a.share
	a.cost.add(ar.Service, ar.Started)
}

// projectedTime returns the virtual time that the account will have once the grants in flight
// are used.
func (a *account) projectedTime() float64 {
	return a.virtualTime + float64(a.grantsInFlight)*a.cost.mean()/a.share
}

// settledTime returns the settled virtual time, without the charges for requests that still run
// (see package share).
func (a *account) settledTime() float64 {
	return a.virtualTime - float64(a.running)*a.cost.mean()/a.share
}

// furtherBehind orders accounts by projected virtual time, then by name for reproducible
// runs.
func furtherBehind(a, b *account) bool {
	x, y := a.projectedTime(), b.projectedTime()
	return x < y || (x == y && a.name < b.name)
}

// costMean is the running mean of the cost of a request.
type costMean struct{ service, started float64 }

// costWindow is the number of requests that the mean covers.
const costWindow = 64

func (m *costMean) add(service float64, started int) {
	m.service += service
	m.started += float64(started)
	if m.started > costWindow {
		m.service *= costWindow / m.started
		m.started = costWindow
	}
}

// mean returns the mean, at least one unit. Before the first request it returns one unit,
// because with zero the first account in the order would be granted every slot at once.
func (m costMean) mean() float64 {
	if m.started == 0 {
		return 1
	}
	return max(m.service/m.started, 1)
}

// reorder updates the account's place in the order of backlogged accounts. An account that
// becomes backlogged is raised to the lift, so that idle time earns no credit.
func (p *fleetPool) reorder(acc *account) {
	if p.accounts[acc.name] != acc {
		return
	}
	if len(acc.backlogs) == 0 {
		p.backlogged.Remove(acc)
		return
	}
	if !p.backlogged.Has(acc) && acc.grantsInFlight == 0 {
		acc.virtualTime += max(p.lift-acc.settledTime(), 0)
	}
	p.backlogged.PushOrFix(acc)
}

// updateFloor sets the floor to the lowest virtual time among backlogged accounts and raises
// the lift. The lift excludes charges for requests that still run. If it included them, an
// account that had filled the pool would appear far ahead through service that it had not
// received, and the next account would wait for it (p99 wait of small accounts under a flood:
// 3.7 s instead of 0.26 s, docs/design/fair-sharing.md).
func (p *fleetPool) updateFloor() {
	if p.backlogged.Len() == 0 {
		return
	}
	p.floor = p.backlogged.Min().projectedTime()
	lift := math.Inf(1)
	for _, acc := range p.backlogged.All() {
		lift = min(lift, acc.settledTime())
	}
	p.lift = max(p.lift, lift)
}

// Parameters of the floor's rate, by which routers extrapolate the floor between two views.
const (
	rateInterval = 100 * time.Millisecond // minimum time between two samples
	rateGain     = 0.2                    // weight of the newest sample
)

// updateFloorRate updates the moving average of the floor's rate.
func (p *fleetPool) updateFloorRate(now time.Duration) {
	since := (now - p.sampledAt).Seconds()
	if since < rateInterval.Seconds() {
		return
	}
	p.floorRate += rateGain * ((p.floor-p.sampledFloor)/since - p.floorRate)
	p.sampledFloor, p.sampledAt = p.floor, now
}

// slackTime is the period of the floor's rise that is added to the slack.
const slackTime = 200 * time.Millisecond

// slack returns how far above the floor a slot may be reused, in virtual time: the cost of
// one request of the account for which it weighs most, plus the floor's rise in slackTime.
// With less slack every request would move a slot; with more, an account that becomes
// backlogged again waits longer.
func (p *fleetPool) slack() float64 {
	var most float64
	for _, acc := range p.backlogged.All() {
		most = max(most, acc.cost.mean()/acc.share)
	}
	return most + p.floorRate*slackTime.Seconds()
}
