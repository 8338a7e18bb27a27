// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the fleet-wide virtual times of one pool: the counter of
// each account, the floor, its rate, the lift and the slack.

// account is one client account in one pool.
type account struct {
	name    string
	share   float64
	time    float64 // virtual time: cost that routers reported, divided by the share
	cost    costMean
	onWay   int          // grants not yet acknowledged
	running int          // requests, all routers
	places  []*waitingAt // routers with unmet work
	cursor  int          // where nextPlace looks next
	index   int          // in fleetPool.unmet, -1 when not in it
}

// charge adds what a router reported.
func (a *account) charge(ar protocol.AccountReport) {
	a.time += ar.Service / a.share
	a.cost.add(ar.Service, ar.Started)
}

// committed is the virtual time that the account will have when the grants on
// their way to it are used.
func (a *account) committed() float64 {
	return a.time + float64(a.onWay)*a.cost.value()/a.share
}

// settled is the virtual time without what running requests have been charged
// ahead of their service.
func (a *account) settled() float64 {
	return a.time - float64(a.running)*a.cost.value()/a.share
}

// furtherBehind orders accounts by the virtual time that they will have, then
// by name, so that a run can be repeated.
func furtherBehind(a, b *account) bool {
	x, y := a.committed(), b.committed()
	return x < y || (x == y && a.name < b.name)
}

// costMean is the running mean of what a request costs.
type costMean struct{ service, started float64 }

// costMemory is the number of requests that the mean remembers.
const costMemory = 64

func (m *costMean) add(service float64, started int) {
	m.service += service
	m.started += float64(started)
	if m.started > costMemory {
		m.service *= costMemory / m.started
		m.started = costMemory
	}
}

// value returns the mean, and one unit before the first request: with zero,
// the first account in the order would be granted every slot at once.
func (m costMean) value() float64 {
	if m.started == 0 {
		return 1
	}
	return max(m.service/m.started, 1)
}

// reorder keeps the order of accounts with unmet work. An account that becomes
// backlogged is lifted: idle time earns it no credit.
func (p *fleetPool) reorder(acc *account) {
	if p.accounts[acc.name] != acc {
		return
	}
	if len(acc.places) == 0 {
		p.unmet.Remove(acc)
		return
	}
	if !p.unmet.Has(acc) && acc.onWay == 0 {
		acc.time += max(p.lift-acc.settled(), 0)
	}
	p.unmet.Set(acc)
}

// updateFloor sets the floor to the lowest virtual time among accounts that
// wait, and raises the lift. The lift leaves out what is charged for requests
// that still run: with it, an account that had filled the pool looked far ahead
// by service that it had not received, and the next account waited until it had
// (under a flood, p99 of small accounts 3.7 s, without 0.26 s:
// docs/design/fair-sharing.md).
func (p *fleetPool) updateFloor() {
	if p.unmet.Len() == 0 {
		return
	}
	p.floor = p.unmet.Min().committed()
	lift := math.Inf(1)
	for _, acc := range p.unmet.All() {
		lift = min(lift, acc.settled())
	}
	p.lift = max(p.lift, lift)
}

// The rate by which routers extrapolate the floor between two views.
const (
	rateInterval = 100 * time.Millisecond // least time between two measurements
	rateGain     = 0.2                    // weight of the newest measurement
)

// measureRate keeps the running mean of how fast the floor rises.
func (p *fleetPool) measureRate(now time.Duration) {
	since := (now - p.rateAt).Seconds()
	if since < rateInterval.Seconds() {
		return
	}
	p.rate += rateGain * ((p.floor-p.rateFloor)/since - p.rate)
	p.rateFloor, p.rateAt = p.floor, now
}

// slackTime is how much of the floor's rise is added to the slack.
const slackTime = 200 * time.Millisecond

// slack is how far above the floor a slot may be used again, in virtual time:
// the cost of one request of the account for which it weighs most, and what the
// floor rises in slackTime. With less, every request would move a slot; with
// more, an account that returns waits longer.
func (p *fleetPool) slack() float64 {
	var most float64
	for _, acc := range p.unmet.All() {
		most = max(most, acc.cost.value()/acc.share)
	}
	return most + p.rate*slackTime.Seconds()
}
