// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines announcer, which accepts backend servers' announcements at a replica that is
// not the leader, and forwards them to the leader in batches.
//
// Each backend server announces itself once per second over a persistent connection. If all of them
// connected to the leader, it would hold one connection per server of the fleet, and the calls
// would be among its largest costs: on 300 boxes with 2,998 servers it held 4,291 connections,
// above a process limit of 4,096 descriptors, and after a total power loss the fleet did not
// recover within 30 s (docs/CAPACITY.md). Instead, every replica accepts a part of the
// announcements.
//
// Alternatives considered: redirecting announcements to the leader's address (the earlier protocol, and
// the fallback of a replica that cannot reach the leader); acknowledging before the leader has the
// announcement (if that is lost, the server is registered one interval later). Here an announcement is
// acknowledged once the leader has applied it, so that an acknowledged announcement is on its way to the
// gateways, as at the leader itself.
//
// On a relay the leader is remote. An announcement that differs from the leader's list only in its
// sequence number is sent as that number and a handle: otherwise 3,000 servers, half of them behind
// the link, would use 150 KB/s of it.

const (
	// batchDelay is how long announcements are collected. A backend server waits up to a second for
	// its answer.
	batchDelay = 20 * time.Millisecond
	// maxBatchSize is the number of announcements per message. At 100 bytes each, this is 50 KB.
	maxBatchSize = 512
	// maxQueuedAnnouncements is the capacity of the queue; further announcements are refused. It is
	// several times one replica's part of 10,000 backend servers.
	maxQueuedAnnouncements = 8192
	// announceTimeout closes a link on which the leader does not answer. It is shorter than the
	// time that a backend server waits.
	announceTimeout = 800 * time.Millisecond
	// announceIdleTimeout closes a link at the leader on which nothing was received.
	announceIdleTimeout = 30 * time.Second
)

// announcer forwards announcements to the leader. Its links are used by the goroutine of run only.
type announcer struct {
	d     *Directory
	queue chan pendingAnnouncement
}

// pendingAnnouncement is an announcement whose backend server waits for the result.
type pendingAnnouncement struct {
	protocol.Announcement
	result chan error // buffered
}

func newAnnouncer(d *Directory) *announcer {
	return &announcer{d: d, queue: make(chan pendingAnnouncement, maxQueuedAnnouncements)}
}

// announce forwards an announcement and waits until the leader has applied it. The error is
// [NotLeader] if the leader cannot be reached from here, or [Unavailable].
func (n *announcer) announce(ctx context.Context, a registry.Announcement) error {
	waiting := pendingAnnouncement{
		Announcement: protocol.Announcement{Registration: a.Registration.ToWire(), Seq: a.Seq, ColdLeft: a.ColdLeft},
		result:       make(chan error, 1),
	}
	select {
	case n.queue <- waiting:
	default:
		return Unavailable{}
	}
	select {
	case err := <-waiting.result:
		return err
	case <-ctx.Done():
		return Unavailable{Err: ctx.Err()}
	case <-n.d.ctx.Done():
		return Unavailable{Err: n.d.ctx.Err()}
	}
}

// run forwards queued announcements, over one link at a time, until the replica stops.
func (n *announcer) run() {
	var batch []pendingAnnouncement
	for n.d.ctx.Err() == nil {
		if len(batch) == 0 {
			batch = n.awaitNext(n.d.ctx)
		}
		if len(batch) > 0 {
			batch = n.session(batch)
		}
	}
	finishAll(batch, Unavailable{Err: n.d.ctx.Err()})
}

// session opens a link to the leader and forwards the first batch and further announcements, until
// the link fails, the leader changes, or the queue stays empty for a while. It returns the
// announcements that were not sent and may go to the next leader.
func (n *announcer) session(batch []pendingAnnouncement) (unsent []pendingAnnouncement) {
	leader := n.d.Leader()
	if leader == "" || leader == n.d.cfg.Identity.Name {
		finishAll(append(batch, n.drainQueue()...), Unavailable{})
		return nil
	}
	ctx, cancel := context.WithCancel(n.d.ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, announceTimeout)
	l, err := link.Dial(dialCtx, leader, n.d.cfg.Identity, n.d.meter)
	cancelDial()
	if err != nil {
		finishAll(append(batch, n.drainQueue()...), NotLeader{Leader: leader})
		return nil
	}
	defer l.Close()
	n.d.cfg.Log.StateChange("forwarding announcements", slog.String("leader", leader))
	for seq := uint64(1); len(batch) > 0; seq++ {
		if n.d.Leader() != leader {
			return batch
		}
		if !sleep.For(ctx, batchDelay) {
			return batch
		}
		batch = append(batch, n.drainQueue()...)
		if err := n.exchange(ctx, l, seq, batch); err != nil {
			finishAll(batch, NotLeader{Leader: leader})
			return nil
		}
		finishAll(batch, nil)
		batch = n.awaitNext(ctx)
	}
	return nil
}

// awaitNext waits for another announcement for a limited time.
func (n *announcer) awaitNext(ctx context.Context) []pendingAnnouncement {
	idle := time.NewTimer(announceIdleTimeout / 2)
	defer idle.Stop()
	select {
	case a := <-n.queue:
		return []pendingAnnouncement{a}
	case <-idle.C:
	case <-ctx.Done():
	}
	return nil
}

// drainQueue returns the queued announcements, up to one less than a message holds.
func (n *announcer) drainQueue() []pendingAnnouncement {
	var batch []pendingAnnouncement
	for len(batch) < maxBatchSize-1 {
		select {
		case a := <-n.queue:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// exchange sends a batch and waits for its acknowledgement.
func (n *announcer) exchange(ctx context.Context, l *link.Link, seq uint64, batch []pendingAnnouncement) error {
	m := protocol.Announce{Seq: seq}
	err := n.d.hub.do(ctx, func() error { n.d.hub.fillAnnounce(&m, batch); return nil })
	if err != nil {
		return err
	}
	if err := l.Send(ctx, m); err != nil {
		return err
	}
	for {
		answer, err := l.ReceiveWithIdleTimeout(ctx, announceTimeout)
		if err != nil {
			return err
		}
		if a, ok := answer.(protocol.Announced); ok && a.Seq == seq {
			return nil
		}
	}
}

// fillAnnounce adds announcements to a message, by handle if the relayed list of the leader
// contains the same registration.
func (h *hub) fillAnnounce(m *protocol.Announce, batch []pendingAnnouncement) {
	now := h.d.replica.Now()
	for _, a := range batch {
		if r := h.relay; r != nil && r.out != nil && a.ColdLeft == 0 {
			if handle, ok := r.serverList.LeaderHandle(now, a.Registration); ok {
				m.Unchanged, m.Term = append(m.Unchanged, protocol.UnchangedAnnouncement{Handle: handle, Seq: a.Seq}), r.serverList.Term()
				continue
			}
		}
		m.List = append(m.List, a.Announcement)
	}
}

// finishAll reports the result of all announcements of a batch to their callers.
func finishAll(batch []pendingAnnouncement, err error) {
	for _, a := range batch {
		a.result <- err
	}
}

// serveAnnouncer applies the announcements that another replica forwards, until its link ends or
// this replica is no longer the leader.
func (h *hub) serveAnnouncer(ctx context.Context, l *link.Link, first protocol.Announce) {
	for m := first; ; {
		err := h.do(ctx, func() error { return h.applyAnnouncements(m) })
		if err != nil || l.Send(ctx, protocol.Announced{Seq: m.Seq}) != nil {
			return
		}
		next, err := l.ReceiveWithIdleTimeout(ctx, announceIdleTimeout)
		if err != nil {
			return
		}
		var ok bool
		if m, ok = next.(protocol.Announce); !ok {
			return
		}
	}
}

// applyAnnouncements applies announcements in the hub's goroutine. Invalid ones are skipped, as are
// repeats for servers that are no longer listed: their sender then finds the handle missing and
// sends the full registration next time. The error is [Unavailable].
func (h *hub) applyAnnouncements(m protocol.Announce) error {
	if h.term == 0 || (len(m.Unchanged) > 0 && m.Term != h.term) {
		return Unavailable{}
	}
	for _, a := range m.List {
		announcement := registry.Announcement{Registration: a.Registration.FromWire(), Seq: a.Seq, ColdLeft: a.ColdLeft}
		if announcement.Check() != nil {
			continue
		}
		if err := h.applyAnnouncement(announcement); err != nil {
			return err
		}
	}
	for _, a := range m.Unchanged {
		if announcement, ok := h.registry.FullAnnouncement(a); ok {
			if err := h.applyAnnouncement(announcement); err != nil {
				return err
			}
		}
	}
	return nil
}
