// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/pq"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines pool, the allocator's table of one pool: its servers, the
// fleet-wide counter of each account, and where each account's work waits.

type pool struct {
	name     string
	free     []*server // with a free slot, in no order
	cursor   int       // where freest looks next
	accounts map[string]*account
	unmet    *pq.Queue[*account] // accounts with waiting work that no slot is on its way to
	floor    float64             // lowest virtual time among accounts that wait
	lift     float64             // highest lift so far; new arrivals are raised to it
	short    bool                // more work waits than slots are known to be free
	// recalling is the number of slots asked back and not answered yet.
	recalling int
	views     []*viewState // of all sessions that use the pool
	waiting   int          // requests that no grant is on its way to
	slotless  int          // accounts with such requests at routers without any slot
	rate      float64      // how fast the floor rises, a second
	rateFloor float64      // floor when rate was last measured
	rateAt    time.Duration
}

// account is one client account in one pool.
type account struct {
	name    string
	share   float64
	time    float64 // virtual time, what routers have reported
	cost    costMean
	onWay   int          // grants not yet acknowledged
	running int          // requests, all routers
	places  []*waitingAt // routers with unmet work
	cursor  int
	index   int // in pool.unmet, -1 when not in it
}

// waitingAt is the work of one account that waits at one router.
type waitingAt struct {
	session  *session
	view     *viewState
	counted  int // unmet requests that are in pool.waiting
	running  int
	account  *account
	reported int
	onWay    int
	index    int // in account.places, -1 when not in it
}

// unmet is the number of requests that no grant is on its way to.
func (w *waitingAt) unmet() int { return max(w.reported-w.onWay, 0) }

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

// value returns the mean, and one unit as long as nothing is known: with zero,
// the first account in the order would be granted every slot at once.
func (m costMean) value() float64 {
	if m.started == 0 {
		return 1
	}
	return max(m.service/m.started, 1)
}

// settled is the virtual time without what running requests have been charged
// ahead of their service.
func (acc *account) settled() float64 {
	return acc.time - float64(acc.running)*acc.cost.value()/acc.share
}

func newPool(name string) *pool {
	return &pool{
		name: name, accounts: map[string]*account{},
		unmet: pq.New(furtherBehind, func(a *account) *int { return &a.index }),
	}
}

// setFree keeps the list of servers with a free slot right. It costs O(1).
func (p *pool) setFree(s *server) {
	switch {
	case s.free() > 0 && s.index < 0:
		s.index = len(p.free)
		p.free = append(p.free, s)
	case s.free() == 0:
		p.drain(s)
	}
}

// drain takes a server out of the list.
func (p *pool) drain(s *server) {
	if s.index < 0 {
		return
	}
	last := len(p.free) - 1
	p.free[s.index] = p.free[last]
	p.free[s.index].index = s.index
	p.free[last] = nil
	p.free = p.free[:last]
	s.index = -1
}

// freest returns the server with the largest free part among a few that
// change with every call, or nil when the router can reach none that is free.
func (p *pool) freest(now time.Duration, s *session) *server {
	var best *server
	looked := 0
	for i := range p.free {
		srv := p.free[(p.cursor+i)%len(p.free)]
		if s.suspect[srv.Name] > now {
			continue
		}
		if best == nil || srv.free()*best.Slots > best.free()*srv.Slots {
			best = srv
		}
		if looked++; looked == serversLooked {
			break
		}
	}
	p.cursor++
	return best
}

const serversLooked = 8

func (p *pool) setShares(shares map[string]float64) {
	for name, share := range shares {
		if acc := p.accounts[name]; acc != nil {
			acc.share = share
			continue
		}
		p.accounts[name] = &account{name: name, share: share, time: p.lift, index: pq.Absent}
	}
	for name, acc := range p.accounts {
		if _, ok := shares[name]; !ok {
			p.drop(acc)
		}
	}
}

func (p *pool) drop(acc *account) {
	for _, w := range slices.Clone(acc.places) {
		w.reported, w.onWay = 0, 0
		p.update(w)
		delete(w.session.waiting, waitingKey{p.name, acc.name})
	}
	p.unmet.Remove(acc)
	delete(p.accounts, acc.name)
}

// charge adds what a router reported.
func (acc *account) charge(ar protocol.AccountReport) {
	acc.time += ar.Service / acc.share
	acc.cost.add(ar.Service, ar.Started)
}

// expected is the virtual time that the account will have when the grants on
// their way to it are used.
func (acc *account) expected() float64 {
	return acc.time + float64(acc.onWay)*acc.cost.value()/acc.share
}

// setWaiting takes how many requests of an account wait and run at a router.
// An account that waits nowhere else is lifted.
func (p *pool) setWaiting(s *session, acc *account, n, running int) {
	if acc == nil {
		return
	}
	k := waitingKey{p.name, acc.name}
	w := s.waiting[k]
	if w == nil {
		if n == 0 && running == 0 {
			return
		}
		w = &waitingAt{session: s, view: s.view(p), account: acc, index: -1}
		s.waiting[k] = w
	}
	acc.running += running - w.running
	w.reported, w.running = n, running
	if n == 0 && w.onWay == 0 && running == 0 {
		delete(s.waiting, k)
	}
	p.update(w)
}

// update puts a place and its account where they belong after a change.
func (p *pool) update(w *waitingAt) {
	acc := w.account
	p.waiting += w.unmet() - w.counted
	w.counted = w.unmet()
	switch {
	case w.unmet() > 0 && w.index < 0:
		w.view.placed(1)
		w.index = len(acc.places)
		acc.places = append(acc.places, w)
	case w.unmet() == 0 && w.index >= 0:
		w.view.placed(-1)
		last := len(acc.places) - 1
		acc.places[w.index] = acc.places[last]
		acc.places[w.index].index = w.index
		acc.places = acc.places[:last]
		w.index = -1
	}
	p.reorder(acc)
}

// reorder keeps the heap of unmet accounts right.
func (p *pool) reorder(acc *account) {
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

// rateInterval is how often the rate is measured, and rateGain the weight of
// the newest measurement.
const (
	rateInterval = 100 * time.Millisecond
	rateGain     = 0.2
)

// measureRate keeps the running mean of how fast the floor rises.
func (p *pool) measureRate(now time.Duration) {
	since := (now - p.rateAt).Seconds()
	if since < rateInterval.Seconds() {
		return
	}
	p.rate += rateGain * ((p.floor-p.rateFloor)/since - p.rate)
	p.rateFloor, p.rateAt = p.floor, now
}

// raiseFloor notes the lowest virtual time among accounts that wait, and the
// lift. The lift leaves out what is charged for requests that still run: with
// it, an account that had filled the pool looked far ahead by service that it
// had not received, and whoever came next waited until it had.
func (p *pool) raiseFloor() {
	if p.unmet.Len() == 0 {
		return
	}
	p.floor = p.unmet.Min().expected()
	lift := math.Inf(1)
	for _, acc := range p.unmet.All() {
		lift = min(lift, acc.settled())
	}
	p.lift = max(p.lift, lift)
}

// slack is how far above the floor a slot may be reused: the cost of one
// request of the account for which it weighs most. With less, every request
// would move a slot; with more, an account that returns waits longer.
func (p *pool) slack() float64 {
	var most float64
	for _, acc := range p.unmet.All() {
		most = max(most, acc.cost.value()/acc.share)
	}
	return most + p.rate*slackTime.Seconds()
}

const slackTime = 200 * time.Millisecond

// place returns the router to grant to: the one where most of the account's
// work waits, among a few that change with every call so that the cost does
// not grow with the fleet.
func (acc *account) place() *waitingAt {
	var best *waitingAt
	n := len(acc.places)
	for i := range min(n, placesLooked) {
		w := acc.places[(acc.cursor+i)%n]
		if best == nil || w.unmet() > best.unmet() {
			best = w
		}
	}
	acc.cursor++
	return best
}

const placesLooked = 8

// furtherBehind orders accounts by the virtual time that they will have, then
// by name, so that a run can be repeated.
func furtherBehind(a, b *account) bool {
	x, y := a.expected(), b.expected()
	return x < y || (x == y && a.name < b.name)
}
