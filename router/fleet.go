// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines fleet, the router's session with the control replica that
// leads: finding it, following it, and what holds while there is none.

// Times of a session.
const (
	renewPart     = 6 // renewals in one lease
	silentPart    = 2 // a link is dead after this part of the lease without a message
	shortestRetry = 20 * time.Millisecond
	leasedRetry   = 250 * time.Millisecond // longest pause while the lease still runs
	longestRetry  = time.Second
	helloTimeout  = 2 * time.Second
	defaultLease  = 3 * time.Second // until a leader has said otherwise
)

type fleet struct {
	r      *Router
	wakeup chan struct{}
	hurry  chan struct{}

	mu      sync.Mutex // guards what follows
	session *session
	hint    string        // replica that leads, as far as known
	epoch   uint64        // highest seen
	length  time.Duration // of the lease
}

// session is one link to a leader.
type session struct {
	out     *link.Outbox
	length  time.Duration            // of the lease
	mu      sync.Mutex               // guards what follows
	sent    map[uint64]time.Duration // renewals on their way
	seq     uint64                   // of renewals
	reports uint64
	viewSeq uint64
}

func newFleet(r *Router) *fleet {
	return &fleet{
		r: r, wakeup: make(chan struct{}, 1), hurry: make(chan struct{}, 1),
		length: defaultLease,
	}
}

// run keeps a session until the router stops.
func (f *fleet) run() {
	wait := shortestRetry
	for f.r.ctx.Err() == nil {
		began := f.r.now()
		l, w, sent := f.find()
		if l != nil {
			f.follow(l, w, sent)
			wait = shortestRetry
		}
		if f.r.now()-began < wait || l == nil {
			sleep.For(f.r.ctx, wait/2+rand.N(wait)) // jitter keeps a rack of routers from dialling at once
			wait = min(2*wait, f.longest())
		}
	}
}

// longest returns the longest pause between two attempts. A lease that still
// runs is worth hurrying for: an election takes about half of it.
func (f *fleet) longest() time.Duration {
	if f.r.lease.valid(f.r.now()) {
		return leasedRetry
	}
	return longestRetry
}

// found is what one replica answered.
type found struct {
	link     *link.Link
	welcome  protocol.Welcome
	redirect *protocol.Redirect
	sent     time.Duration
}

// find opens a session: first where the leader was last, then by asking every
// replica. It returns nil when nobody leads.
func (f *fleet) find() (*link.Link, protocol.Welcome, time.Duration) {
	f.mu.Lock()
	hint := f.hint
	f.mu.Unlock()
	for range 2 {
		if address, ok := f.r.cfg.Replicas[hint]; ok {
			got := f.ask(address)
			if got.link != nil {
				return got.link, got.welcome, got.sent
			}
			if got.redirect != nil && got.redirect.Leader != hint {
				hint = got.redirect.Leader
				continue
			}
		}
		break
	}
	return f.survey()
}

// survey asks every replica at once. If a majority says that it has no
// leader, that it holds no newer configuration than this router, and that
// nothing in its log waits to be applied, then no newer configuration can have
// been accepted before the question was sent, and every later leader waits
// for this router's lease: the lease is extended as by a renewal.
func (f *fleet) survey() (*link.Link, protocol.Welcome, time.Duration) {
	names := slices.Sorted(maps.Keys(f.r.cfg.Replicas))
	answers := make(chan found, len(names))
	sent := f.r.now()
	for _, name := range names {
		go func() { answers <- f.ask(f.r.cfg.Replicas[name]) }()
	}
	leaderless := 0
	var best found
	for range names {
		got := <-answers
		switch {
		case got.link != nil && best.link == nil:
			best = got
		case got.link != nil:
			got.link.Close()
		case got.redirect != nil && f.provesStandstill(*got.redirect):
			leaderless++
		}
	}
	if best.link == nil && leaderless > len(names)/2 && !f.r.cfg.StopWithoutLeader {
		f.extendAlone(sent)
	}
	return best.link, best.welcome, best.sent
}

func (f *fleet) provesStandstill(r protocol.Redirect) bool {
	return r.Group != 0 && !r.Follows && !r.Pending && r.Revision <= f.r.Revision()
}

// extendAlone extends a lease that still runs. One that has run out cannot be
// revived without an allocator: its slots may be somebody else's.
func (f *fleet) extendAlone(sent time.Duration) {
	if f.r.lease.valid(f.r.now()) {
		f.mu.Lock()
		length := f.length
		f.mu.Unlock()
		f.r.lease.extend(sent, length)
	}
}

// ask opens a link to one replica and says hello.
func (f *fleet) ask(address string) found {
	ctx, cancel := context.WithTimeout(f.r.ctx, helloTimeout)
	defer cancel()
	l, err := link.Dial(ctx, address, f.r.cfg.Identity, f.r.meter)
	if err != nil {
		return found{}
	}
	sent := f.r.now()
	if _, err := l.Send(ctx, f.hello()); err != nil {
		return found{}
	}
	m, err := l.Receive(ctx)
	if err != nil {
		return found{}
	}
	switch m := m.(type) {
	case protocol.Welcome:
		return found{link: l, welcome: m, sent: sent}
	case protocol.Redirect:
		l.Close()
		return found{redirect: &m}
	}
	l.Close()
	return found{}
}

func (f *fleet) hello() protocol.Hello {
	f.mu.Lock()
	epoch := f.epoch
	f.mu.Unlock()
	h := protocol.Hello{
		Router: f.r.cfg.Identity.Name, Hall: f.r.cfg.Hall, Boot: f.r.boot,
		Revision: f.r.Revision(), Epoch: epoch,
	}
	leased := f.r.lease.valid(f.r.now())
	for _, p := range f.r.poolList() {
		p.locked(func(pl *pool.Pool) {
			held, view := pl.Hello(leased)
			h.Held = append(h.Held, held...)
			h.Pools = append(h.Pools, view)
		})
	}
	return h
}

// follow runs one session to its end.
func (f *fleet) follow(l *link.Link, w protocol.Welcome, sent time.Duration) {
	ctx, cancel := context.WithCancel(f.r.ctx)
	defer cancel()
	s := &session{out: link.NewOutbox(l, 256), sent: map[uint64]time.Duration{}}
	defer s.out.Close()
	if !f.begin(s, w, sent) {
		return
	}
	f.r.cfg.Log.Info("following", "leader", w.Leader, "epoch", w.Epoch)
	go f.renewals(ctx, s)
	go f.reporting(ctx, s)
	err := f.receive(ctx, l, s)
	f.end(s)
	if f.r.ctx.Err() == nil {
		f.r.cfg.Log.Info("session ended", "leader", w.Leader, "error", err)
	}
}

func (f *fleet) begin(s *session, w protocol.Welcome, sent time.Duration) bool {
	f.mu.Lock()
	if w.Epoch < f.epoch {
		f.mu.Unlock()
		return false
	}
	f.epoch, f.hint, f.session = w.Epoch, w.Leader, s
	s.length = time.Duration(w.LeaseMillis) * time.Millisecond
	f.length = s.length
	f.mu.Unlock()
	f.r.lease.extend(sent, s.length)
	for _, p := range f.r.poolList() {
		p.update(func(_ time.Duration, pl *pool.Pool) { pl.Welcomed(w) })
	}
	f.r.claims.linked(s)
	return true
}

func (f *fleet) end(s *session) {
	f.mu.Lock()
	if f.session == s {
		f.session = nil
	}
	f.mu.Unlock()
	f.r.claims.unlinked(s)
	for _, p := range f.r.poolList() {
		p.update(func(_ time.Duration, pl *pool.Pool) { pl.Unlinked() })
	}
}

// renewals asks for the lease to be extended, a few times in each lease.
func (f *fleet) renewals(ctx context.Context, s *session) {
	t := time.NewTicker(s.length / renewPart)
	defer t.Stop()
	for {
		s.mu.Lock()
		s.seq++
		seq := s.seq
		s.sent[seq] = f.r.now()
		s.mu.Unlock()
		s.out.Send(protocol.Renew{Seq: seq, Revision: f.r.Revision()})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// receive takes what the leader sends until the link ends or falls silent.
// Renewals are answered, so silence means that the link is dead.
func (f *fleet) receive(ctx context.Context, l *link.Link, s *session) error {
	for {
		rctx, cancel := context.WithTimeout(ctx, s.length/silentPart)
		m, err := l.Receive(rctx)
		cancel()
		if err != nil {
			return err
		}
		if err := f.take(s, m); err != nil {
			return err
		}
	}
}

func (f *fleet) take(s *session, m protocol.Message) error {
	switch m := m.(type) {
	case protocol.Renewed:
		s.mu.Lock()
		sent, ok := s.sent[m.Seq]
		delete(s.sent, m.Seq)
		s.mu.Unlock()
		if ok {
			f.r.lease.extend(sent, s.length)
		}
	case protocol.View:
		f.takeView(s, m)
	case protocol.Configure:
		return f.takeConfig(m)
	case protocol.Claimed:
		f.r.claims.answered(m)
	}
	return nil
}

func (f *fleet) takeView(s *session, v protocol.View) {
	s.mu.Lock()
	s.viewSeq = v.Seq
	s.mu.Unlock()
	for _, pv := range v.Pools {
		if p := f.r.pool(pv.Pool); p != nil {
			p.update(func(now time.Duration, pl *pool.Pool) { pl.TakeView(now, pv, v.ReportSeq) })
		}
	}
	t := f.r.routes.Load()
	for _, h := range v.Granted {
		if srv, ok := t.servers[h.Server]; ok {
			f.r.pool(srv.Pool).update(func(now time.Duration, pl *pool.Pool) { pl.Grant(now, h) })
		}
	}
}

func (f *fleet) takeConfig(m protocol.Configure) error {
	cfg := f.r.routes.Load().cfg
	if len(m.Snapshot) > 0 {
		var s config.Snapshot
		if err := cbor.Unmarshal(m.Snapshot, &s); err != nil {
			return errors.Wrap(err, "router: configuration snapshot")
		}
		f.r.apply(config.FromSnapshot(s))
		return nil
	}
	var d config.Delta
	if err := cbor.Unmarshal(m.Delta, &d); err != nil {
		return errors.Wrap(err, "router: configuration delta")
	}
	next, err := cfg.ApplyDelta(d)
	if err != nil {
		return err // the next session asks from the revision held
	}
	f.r.apply(next)
	return nil
}

// goodbye hands back what is held and waits until it is sent.
func (f *fleet) goodbye(ctx context.Context) {
	f.mu.Lock()
	s := f.session
	f.mu.Unlock()
	if s == nil {
		return
	}
	for _, p := range f.r.poolList() {
		p.update(func(_ time.Duration, pl *pool.Pool) { pl.ReturnIdle() })
	}
	report, _ := f.buildReport(s)
	report.Goodbye = true
	s.out.Send(report)
	s.out.Drain(ctx)
}
