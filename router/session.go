// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines session, one link to a leader: receiving its messages and renewing the lease.
// The reports are in report.go.

// Divisors of the lease duration (docs/design/lease.md). They leave a router enough of its lease to
// find the next leader; leader.go has the timing of that search.
const (
	renewalsPerLease   = 6 // renewals sent during one lease duration
	linkTimeoutDivisor = 2 // a link without a message for leaseDuration/linkTimeoutDivisor is closed
)

// outboxDepth is the number of messages that may be queued on a session; one more ends it.
const outboxDepth = 256

// session is one link to a leader.
type session struct {
	out           *link.Outbox
	leaseDuration time.Duration
	viewSeq       atomic.Uint64 // number of the last view

	mu              sync.Mutex               // guards the fields below
	pendingRenewals map[uint64]time.Duration // send times of renewals without an answer, by number
	lastReport      uint64                   // number of the last report
}

// runSession runs one session to its end.
func (l *leaderClient) runSession(hello helloReply) {
	ctx, cancel := context.WithCancel(l.r.ctx)
	defer cancel()
	w := hello.welcome
	s := &session{
		out: link.NewOutbox(hello.link, outboxDepth), pendingRenewals: map[uint64]time.Duration{},
		leaseDuration: time.Duration(w.LeaseMillis) * time.Millisecond,
	}
	defer s.out.Close()
	if w.Epoch < l.epoch {
		return // another leader has replaced this one
	}
	l.epoch, l.leader, l.leaseDuration = w.Epoch, w.Leader, s.leaseDuration
	l.r.lease.extend(hello.sent, s.leaseDuration)
	l.beginSession(s, w)
	l.r.cfg.Log.Info("following", "leader", w.Leader, "epoch", w.Epoch)
	go l.sendRenewals(ctx, s)
	go l.sendReports(ctx, s)
	err := l.receive(ctx, hello.link, s)
	l.endSession()
	if l.r.ctx.Err() == nil {
		l.r.cfg.Log.Info("session ended", "leader", w.Leader, "error", err)
	}
}

// beginSession makes the session known to the pools and the claim client.
func (l *leaderClient) beginSession(s *session, w protocol.Welcome) {
	l.session.Store(s)
	for _, p := range l.r.poolList() {
		p.update(func(_ time.Duration, pl *pool.Pool) { pl.BeginSession(w) })
	}
	l.r.claims.setSession(s)
}

// endSession detaches the pools and the claim client from the session.
func (l *leaderClient) endSession() {
	l.session.Store(nil)
	l.r.claims.setSession(nil)
	for _, p := range l.r.poolList() {
		p.update(func(_ time.Duration, pl *pool.Pool) { pl.Disconnected() })
	}
}

// sendRenewals sends renewalsPerLease renewals per lease duration until ctx ends.
func (l *leaderClient) sendRenewals(ctx context.Context, s *session) {
	t := time.NewTicker(s.leaseDuration / renewalsPerLease)
	defer t.Stop()
	for seq := uint64(1); ; seq++ {
		s.mu.Lock()
		s.pendingRenewals[seq] = l.r.now()
		s.mu.Unlock()
		s.out.Send(protocol.Renew{Seq: seq, Revision: l.r.Revision()})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// receive handles the leader's messages until the link fails or no message arrives for
// leaseDuration/linkTimeoutDivisor. A leader answers renewals, so a link without messages has failed.
func (l *leaderClient) receive(ctx context.Context, lk *link.Link, s *session) error {
	for {
		rctx, cancel := context.WithTimeout(ctx, s.leaseDuration/linkTimeoutDivisor)
		m, err := lk.Receive(rctx)
		cancel()
		if err == nil {
			err = l.handleMessage(s, m)
		}
		if err != nil {
			return err
		}
	}
}

// handleMessage applies a message of the leader. An error ends the session.
func (l *leaderClient) handleMessage(s *session, m protocol.Message) error {
	switch m := m.(type) {
	case protocol.Renewed:
		s.mu.Lock()
		sent, ok := s.pendingRenewals[m.Seq]
		delete(s.pendingRenewals, m.Seq)
		s.mu.Unlock()
		if ok {
			l.r.lease.extend(sent, s.leaseDuration)
		}
	case protocol.View:
		l.applyView(s, m)
	case protocol.Configure:
		return l.applyConfig(m)
	case protocol.Claimed:
		l.r.claims.handleAnswer(m)
	}
	return nil
}

// applyView applies the leader's view of the pools and its grants of slots.
func (l *leaderClient) applyView(s *session, v protocol.View) {
	s.viewSeq.Store(v.Seq)
	for _, pv := range v.Pools {
		if p := l.r.pool(pv.Pool); p != nil {
			p.update(func(now time.Duration, pl *pool.Pool) { pl.ApplyView(now, pv, v.ReportSeq) })
		}
	}
	t := l.r.routes.Load()
	for _, h := range v.Granted {
		if srv, ok := t.servers[h.Server]; ok {
			l.r.pool(srv.Pool).update(func(now time.Duration, pl *pool.Pool) { pl.Grant(now, h) })
		}
	}
}

// applyConfig applies a configuration snapshot or delta.
func (l *leaderClient) applyConfig(m protocol.Configure) error {
	if len(m.Snapshot) > 0 {
		var s config.Snapshot
		if err := cbor.Unmarshal(m.Snapshot, &s); err != nil {
			return errors.Wrap(err, "router: configuration snapshot")
		}
		l.r.apply(config.FromSnapshot(s))
		return nil
	}
	var d config.Delta
	if err := cbor.Unmarshal(m.Delta, &d); err != nil {
		return errors.Wrap(err, "router: configuration delta")
	}
	next, err := l.r.routes.Load().cfg.ApplyDelta(d)
	if err != nil {
		return err // ends the session; the next hello reports the revision in force
	}
	l.r.apply(next)
	return nil
}

// returnSlots returns all slots to the allocator for a planned stop, and waits until the report has
// been sent.
func (l *leaderClient) returnSlots(ctx context.Context) {
	s := l.session.Load()
	if s == nil {
		return
	}
	for _, p := range l.r.poolList() {
		p.update(func(_ time.Duration, pl *pool.Pool) { pl.ReturnIdle() })
	}
	report, _ := l.buildReport(s)
	report.Goodbye = true
	s.out.Send(report)
	s.out.Drain(ctx)
}
