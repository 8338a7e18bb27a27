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

// This file defines announcer, which takes backend servers' announcements at a replica that
// does not lead, and passes them on to the leader in batches.
//
// Each backend server announces itself on a kept connection, once a second. At the leader
// alone that is a connection for each server of the fleet, and a call that costs it as much
// as anything it does: on 300 boxes with 2,998 servers it had 4,291 connections, where a
// process may have 4,096 descriptors, and after a loss of all power the fleet did not come
// back in 30 s (docs/CAPACITY.md). Any replica has its part of them so.
//
// Ways weighed: announcements are answered with the leader's address (the way before, and
// still what a replica does that cannot reach the leader); acknowledged here before the
// leader has them (one that is lost then is late by an interval, and a new server waits for
// as long); acknowledged once the leader has them (kept: what is acknowledged is on its way
// to the gateways, as at the leader).
//
// Where this replica relays, the leader is far, and an announcement that differs from what the
// leader lists in nothing but its number goes as that number and a handle: 3,000 servers, half
// of them behind the link, would else take 150 KB/s of it.

const (
	// batchPause is how long announcements are gathered: short against the second within which a
	// backend server wants its answer.
	batchPause = 20 * time.Millisecond
	// batchMost is the number of announcements in one message. 100 B each, 50 KB.
	batchMost = 512
	// waitingMost is the number of announcements that may wait; beyond it they are refused. A
	// replica's part of 10,000 backend servers, several times.
	waitingMost = 8192
	// announceSilence ends a link to the leader that answers nothing. Within the time that a backend
	// server waits.
	announceSilence = 800 * time.Millisecond
	// announceIdle ends one at the leader on which nothing came.
	announceIdle = 30 * time.Second
)

// announcer passes announcements on. Only the goroutine of run uses its links.
type announcer struct {
	d     *Directory
	queue chan announcing
}

// announcing is an announcement whose backend server waits.
type announcing struct {
	protocol.Announcement
	done chan error // buffered
}

func newAnnouncer(d *Directory) *announcer {
	return &announcer{d: d, queue: make(chan announcing, waitingMost)}
}

// announce passes an announcement on and waits until the leader has taken it. The error is
// [NotLeader] where the leader cannot be reached from here, or [Unavailable].
func (n *announcer) announce(ctx context.Context, a registry.Announcement) error {
	waiting := announcing{
		Announcement: protocol.Announcement{Registration: a.Registration.Sent(), Seq: a.Seq, ColdLeft: a.ColdLeft},
		done:         make(chan error, 1),
	}
	select {
	case n.queue <- waiting:
	default:
		return Unavailable{}
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return Unavailable{Err: ctx.Err()}
	case <-n.d.ctx.Done():
		return Unavailable{Err: n.d.ctx.Err()}
	}
}

// run passes on what is queued, on one link at a time, until the replica stops.
func (n *announcer) run() {
	var batch []announcing
	for n.d.ctx.Err() == nil {
		if len(batch) == 0 {
			batch = n.next(n.d.ctx)
		}
		if len(batch) > 0 {
			batch = n.session(batch)
		}
	}
	end(batch, Unavailable{Err: n.d.ctx.Err()})
}

// session opens a link to the leader and passes announcements on, the first batch and what
// comes, until the link fails, another replica leads, or nothing comes for a while. It
// returns those that were not passed on and may go to the next leader.
func (n *announcer) session(batch []announcing) (left []announcing) {
	leader := n.d.Leader()
	if leader == "" || leader == n.d.cfg.Identity.Name {
		end(append(batch, n.gather()...), Unavailable{})
		return nil
	}
	ctx, cancel := context.WithCancel(n.d.ctx)
	defer cancel()
	dialing, dialed := context.WithTimeout(ctx, announceSilence)
	l, err := link.Dial(dialing, leader, n.d.cfg.Identity, n.d.meter)
	dialed()
	if err != nil {
		end(append(batch, n.gather()...), NotLeader{Leader: leader})
		return nil
	}
	defer l.Close()
	n.d.cfg.Log.StateChange("announcements passed on", slog.String("leader", leader))
	for seq := uint64(1); len(batch) > 0; seq++ {
		if n.d.Leader() != leader {
			return batch
		}
		if !sleep.For(ctx, batchPause) {
			return batch
		}
		batch = append(batch, n.gather()...)
		if err := n.exchange(ctx, l, seq, batch); err != nil {
			end(batch, NotLeader{Leader: leader})
			return nil
		}
		end(batch, nil)
		batch = n.next(ctx)
	}
	return nil
}

// next waits for another announcement, for some time.
func (n *announcer) next(ctx context.Context) []announcing {
	idle := time.NewTimer(announceIdle / 2)
	defer idle.Stop()
	select {
	case a := <-n.queue:
		return []announcing{a}
	case <-idle.C:
	case <-ctx.Done():
	}
	return nil
}

// gather returns what is queued, as much as goes into one message beside one more.
func (n *announcer) gather() []announcing {
	var batch []announcing
	for len(batch) < batchMost-1 {
		select {
		case a := <-n.queue:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// exchange sends a batch and waits for its answer.
func (n *announcer) exchange(ctx context.Context, l *link.Link, seq uint64, batch []announcing) error {
	m := protocol.Announce{Seq: seq}
	err := n.d.hub.do(ctx, func() error { n.d.hub.shorten(&m, batch); return nil })
	if err != nil {
		return err
	}
	if err := l.Send(ctx, m); err != nil {
		return err
	}
	for {
		answer, err := l.ReceiveWithin(ctx, announceSilence)
		if err != nil {
			return err
		}
		if a, ok := answer.(protocol.Announced); ok && a.Seq == seq {
			return nil
		}
	}
}

// shorten fills a message with announcements, by their handles where the list of the leader
// that this replica relays has them.
func (h *hub) shorten(m *protocol.Announce, batch []announcing) {
	now := h.d.replica.Now()
	for _, a := range batch {
		if r := h.relay; r != nil && r.out != nil && a.ColdLeft == 0 {
			if handle, ok := r.list.Handle(now, a.Registration); ok {
				m.Again, m.Term = append(m.Again, protocol.AnnouncedAgain{Handle: handle, Seq: a.Seq}), r.list.Term()
				continue
			}
		}
		m.List = append(m.List, a.Announcement)
	}
}

// end ends the wait of all announcements in a batch; without an error they were taken.
func end(batch []announcing, err error) {
	for _, a := range batch {
		a.done <- err
	}
}

// serveAnnouncer takes the announcements that another replica passes on, until its link
// ends or this replica does not lead.
func (h *hub) serveAnnouncer(ctx context.Context, l *link.Link, first protocol.Announce) {
	for m := first; ; {
		err := h.do(ctx, func() error { return h.takeAll(m) })
		if err != nil || l.Send(ctx, protocol.Announced{Seq: m.Seq}) != nil {
			return
		}
		next, err := l.ReceiveWithin(ctx, announceIdle)
		if err != nil {
			return
		}
		var ok bool
		if m, ok = next.(protocol.Announce); !ok {
			return
		}
	}
}

// takeAll takes announcements in the hub's goroutine. One that is senseless changes nothing, nor
// does one of a server that is not listed any more: the sender learns that, and sends all of it
// the next time. The error is [Unavailable].
func (h *hub) takeAll(m protocol.Announce) error {
	if h.term == 0 || (len(m.Again) > 0 && m.Term != h.term) {
		return Unavailable{}
	}
	for _, a := range m.List {
		announcement := registry.Announcement{Registration: a.Registration.Received(), Seq: a.Seq, ColdLeft: a.ColdLeft}
		if announcement.Check() != nil {
			continue
		}
		if err := h.applyAnnouncement(announcement); err != nil {
			return err
		}
	}
	for _, a := range m.Again {
		if announcement, ok := h.registry.Again(a); ok {
			if err := h.applyAnnouncement(announcement); err != nil {
				return err
			}
		}
	}
	return nil
}
