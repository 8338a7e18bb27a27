// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines leaderClient, which finds the control replica that leads,
// and extends the lease while a majority of the replicas has no leader. The
// session with a leader is in session.go.

// Times of the search for a leader. A router whose lease still runs searches
// more often: an election takes about half a lease, and with pauses of a second,
// slower elections and silentPart of 1 the lease ran out in 3 of 60 runs of
// TestLeaderIsKilledUnderLoad, since then in none (commit 8ab89cd).
const (
	shortestRetry = 20 * time.Millisecond  // first pause, doubled with every failure
	leasedRetry   = 250 * time.Millisecond // longest pause while the lease runs; by TestLeaderIsKilledUnderLoad
	longestRetry  = time.Second            // longest pause without a lease
	helloTimeout  = 2 * time.Second        // for a replica's answer, the dial included
	defaultLease  = 3 * time.Second        // slots.DefaultLease, until a leader has given its own
)

// leaderClient keeps a session with the control replica that leads.
type leaderClient struct {
	r             *Router
	routineReport chan struct{}           // there is something for the next full report
	urgentReport  chan struct{}           // there is something that a slot or a request waits for
	session       atomic.Pointer[session] // nil while there is none

	// What follows belongs to the goroutine of run. Those of survey read it
	// while run waits for them.
	leader        string        // name of the replica that led the last session
	epoch         uint64        // highest of all sessions
	leaseDuration time.Duration // of the lease, as the last leader gave it
}

func newLeaderClient(r *Router) *leaderClient {
	return &leaderClient{r: r, routineReport: make(chan struct{}, 1), urgentReport: make(chan struct{}, 1), leaseDuration: defaultLease}
}

// run keeps a session until the router stops.
func (l *leaderClient) run() {
	wait := shortestRetry
	for l.r.ctx.Err() == nil {
		began := l.r.now()
		got := l.find()
		if got.link != nil {
			l.follow(got)
			wait = shortestRetry
		}
		if l.r.now()-began < wait || got.link == nil {
			sleep.For(l.r.ctx, wait/2+l.r.jitter(wait)) // jitter keeps a rack of routers from dialling at once
			wait = min(2*wait, l.longestPause())
		}
	}
}

// longestPause returns the longest pause between two attempts.
func (l *leaderClient) longestPause() time.Duration {
	if l.r.lease.valid(l.r.now()) {
		return leasedRetry
	}
	return longestRetry
}

// helloReply is a replica's answer to a hello. One that did not answer has the zero
// helloReply.
type helloReply struct {
	link     *link.Link // open if the replica leads
	welcome  protocol.Welcome
	redirect protocol.Redirect // of a replica that does not lead
	sent     time.Duration     // when the hello was sent
}

// find opens a link to the leader: at the last one known, at the one that it
// names instead, then by a hello to every replica. The link is nil when nobody leads.
func (l *leaderClient) find() helloReply {
	name := l.leader
	for range 2 {
		address, ok := l.r.cfg.Replicas[name]
		if !ok {
			break
		}
		got := l.hello(address)
		if got.link != nil {
			return got
		}
		if got.redirect.Leader == name {
			break
		}
		name = got.redirect.Leader
	}
	return l.survey()
}

// survey sends a hello to every replica at once. If a majority answers that it
// has no leader, that it holds no newer configuration than this router, and
// that nothing in its log waits to be applied, then no newer configuration can
// have been accepted before the hello was sent, and every later leader waits
// for this router's lease: the lease is extended as by a renewal.
func (l *leaderClient) survey() helloReply {
	names := slices.Sorted(maps.Keys(l.r.cfg.Replicas))
	replies := make(chan helloReply, len(names))
	sent := l.r.now()
	for _, name := range names {
		go func() { replies <- l.hello(l.r.cfg.Replicas[name]) }()
	}
	leaderless := 0
	var best helloReply
	for range names {
		got := <-replies
		switch {
		case got.link != nil && best.link == nil:
			best = got
		case got.link != nil:
			got.link.Close()
		case provesNoNewerRevision(got.redirect, l.r.Revision()):
			leaderless++
		}
	}
	if best.link == nil && leaderless > len(names)/2 && !l.r.cfg.StopWithoutLeader {
		l.extendWithoutLeader(sent)
	}
	return best
}

// provesNoNewerRevision reports whether a replica that answered with r has no
// leader and nothing newer than revision. The zero Redirect proves nothing.
func provesNoNewerRevision(r protocol.Redirect, revision uint64) bool {
	return r.Group != 0 && !r.Follows && !r.Pending && r.Revision <= revision
}

// extendWithoutLeader extends a lease that still runs. One that has run out
// needs an allocator: its slots may have been granted to another router.
func (l *leaderClient) extendWithoutLeader(sent time.Duration) {
	if l.r.lease.valid(l.r.now()) {
		l.r.lease.extend(sent, l.leaseDuration)
	}
}

// hello opens a link to one replica and sends a hello. Its errors are not logged:
// during an election every replica fails several times a second, and the end
// of the last session has its line.
func (l *leaderClient) hello(address string) helloReply {
	ctx, cancel := context.WithTimeout(l.r.ctx, helloTimeout)
	defer cancel()
	lk, err := link.Dial(ctx, address, l.r.cfg.Identity, l.r.meter)
	if err != nil {
		return helloReply{}
	}
	sent := l.r.now()
	if err := lk.Send(ctx, l.newHello()); err != nil {
		return helloReply{}
	}
	m, err := lk.Receive(ctx)
	if err != nil {
		return helloReply{}
	}
	if welcome, ok := m.(protocol.Welcome); ok {
		return helloReply{link: lk, welcome: welcome, sent: sent}
	}
	lk.Close()
	redirect, _ := m.(protocol.Redirect) // any other message counts as no answer
	return helloReply{redirect: redirect}
}

func (l *leaderClient) newHello() protocol.Hello {
	h := protocol.Hello{
		Router: l.r.cfg.Identity.Name, Hall: l.r.cfg.Hall, Boot: l.r.boot,
		Revision: l.r.Revision(), Epoch: l.epoch,
	}
	leased := l.r.lease.valid(l.r.now())
	for _, p := range l.r.poolList() {
		p.withLock(func(pl *pool.Pool) {
			held, view := pl.Hello(leased)
			h.Held = append(h.Held, held...)
			h.Pools = append(h.Pools, view)
		})
	}
	return h
}
