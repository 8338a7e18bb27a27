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

// This file defines leaderClient, which finds the leading control replica, and extends the lease
// while a majority of the replicas has no leader. The session with a leader is in session.go.

// Times of the search for a leader. An election takes about half a lease, so a router whose lease
// is still valid searches more often: with delays of a second, the lease can expire during an
// election.
const (
	minSearchDelay       = 20 * time.Millisecond  // initial delay, doubled after every failure
	maxLeasedSearchDelay = 250 * time.Millisecond // maximum delay while the lease is valid
	maxSearchDelay       = time.Second            // maximum delay without a lease
	helloTimeout         = 2 * time.Second        // for a replica's answer, including the dial
	defaultLease         = 3 * time.Second        // slots.DefaultLease, until a leader has announced its own
)

// leaderClient keeps a session with the leading control replica.
type leaderClient struct {
	r             *Router
	routineReport chan struct{}           // signals changes for the next full report
	urgentReport  chan struct{}           // signals changes that a slot or a request waits for
	session       atomic.Pointer[session] // nil while there is none

	// The fields below are written only by the goroutine of run. The goroutines of pollReplicas
	// read them while run waits.
	leader        string        // name of the replica that led the last session
	epoch         uint64        // highest epoch of all sessions
	leaseDuration time.Duration // as announced by the last leader
}

func newLeaderClient(r *Router) *leaderClient {
	return &leaderClient{r: r, routineReport: make(chan struct{}, 1), urgentReport: make(chan struct{}, 1), leaseDuration: defaultLease}
}

// run keeps a session until the router stops.
func (l *leaderClient) run() {
	wait := minSearchDelay
	for l.r.ctx.Err() == nil {
		began := l.r.now()
		found := l.findLeader()
		if found.link != nil {
			l.runSession(found)
			wait = minSearchDelay
		}
		if l.r.now()-began < wait || found.link == nil {
			sleep.For(l.r.ctx, wait/2+l.r.jitter(wait)) // jitter keeps many routers from dialling at the same time
			wait = min(2*wait, l.searchDelayLimit())
		}
	}
}

// searchDelayLimit returns the maximum delay between two searches.
func (l *leaderClient) searchDelayLimit() time.Duration {
	if l.r.lease.valid(l.r.now()) {
		return maxLeasedSearchDelay
	}
	return maxSearchDelay
}

// helloReply is a replica's answer to a hello. It is the zero value if the replica did not answer.
type helloReply struct {
	link     *link.Link // open if the replica leads
	welcome  protocol.Welcome
	redirect protocol.Redirect // from a replica that does not lead
	sent     time.Duration     // when the hello was sent
}

// findLeader opens a link to the leader. It tries the last known leader, then the one that this replica
// names, then all replicas. The link is nil if no replica leads.
func (l *leaderClient) findLeader() helloReply {
	name := l.leader
	for range 2 {
		address, ok := l.r.cfg.Replicas[name]
		if !ok {
			break
		}
		got := l.sendHello(address)
		if got.link != nil {
			return got
		}
		if got.redirect.Leader == name {
			break
		}
		name = got.redirect.Leader
	}
	return l.pollReplicas()
}

// pollReplicas sends a hello to every replica concurrently. If a majority answers that it has no leader,
// no newer configuration than this router, and no log entries to be applied, then no newer
// configuration can have been accepted before the hello was sent, and every later leader waits for
// this router's lease. The lease is then extended as by a renewal.
func (l *leaderClient) pollReplicas() helloReply {
	names := slices.Sorted(maps.Keys(l.r.cfg.Replicas))
	replies := make(chan helloReply, len(names))
	sent := l.r.now()
	for _, name := range names {
		go func() { replies <- l.sendHello(l.r.cfg.Replicas[name]) }()
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

// provesNoNewerRevision reports whether a replica that answered with r has no leader and nothing
// newer than revision. The zero Redirect proves nothing.
func provesNoNewerRevision(r protocol.Redirect, revision uint64) bool {
	return r.Group != 0 && !r.FollowsLeader && !r.Pending && r.Revision <= revision
}

// extendWithoutLeader extends a lease that is still valid. An expired lease needs an allocator,
// because its slots may have been granted to another router.
func (l *leaderClient) extendWithoutLeader(sent time.Duration) {
	if l.r.lease.valid(l.r.now()) {
		l.r.lease.extend(sent, l.leaseDuration)
	}
}

// sendHello opens a link to one replica and sends a hello. Errors are not logged: during an election
// every replica fails several times per second, and the end of the last session has been logged.
func (l *leaderClient) sendHello(address string) helloReply {
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
		Router: l.r.cfg.Identity.Name, Hall: l.r.cfg.Hall, BootID: l.r.boot,
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
