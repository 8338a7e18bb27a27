// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines the control side of a router's session: how it is opened, which
// messages it carries, and how it ends.

// routerQueueDepth is the number of messages that may be queued for one router. If the queue
// overflows, the link is closed.
const routerQueueDepth = 1024

// serveRouter serves the session of one router until its link ends.
func (c *Control) serveRouter(ctx context.Context, l *link.Link, h protocol.Hello) {
	if h.Router != l.Peer() || h.BootID == 0 {
		return
	}
	holder := claim.Holder{Router: h.Router, Boot: h.BootID}
	r, admitted := c.admit(h, holder)
	if !admitted {
		// An error does not matter: the link is closed anyway, and the router dials another replica.
		_ = l.Send(ctx, r)
		return
	}
	defer c.dispatcher.post(func() { c.dispatcher.endOpening(holder) })
	// The router must be listed in the log before it can hold a slot.
	if _, err := propose(c.ctx, c.config, command{Open: &holder}); err != nil {
		_ = l.Send(ctx, protocol.Redirect{}) // as above
		return
	}
	s := &session{holder: holder, out: link.NewOutbox(l, routerQueueDepth), sentRevision: h.Revision}
	defer s.out.Close()
	opened := false
	if !c.dispatcher.call(func() { opened = c.dispatcher.openSession(s, h) }) || !opened {
		return
	}
	defer c.dispatcher.post(func() { c.dispatcher.removeSession(s) })
	c.receive(ctx, l, s)
}

// admit reports whether this replica can serve a router. If not, it returns a redirect that
// names the leader. The end of an admitted router is not recorded until endOpening is called.
func (c *Control) admit(h protocol.Hello, holder claim.Holder) (r protocol.Redirect, admitted bool) {
	d := c.dispatcher
	d.call(func() {
		r = protocol.Redirect{
			Leader: d.group.Leader.Name, FollowsLeader: !d.group.Leader.IsZero(), Group: d.group.Group,
			Revision: d.c.state.Config().Revision(), Pending: d.group.LastIndex > d.group.Applied,
		}
		admitted = d.isAllocator() && h.Epoch <= d.alloc.Epoch() && !d.recordingEnd[holder]
		if admitted {
			d.openingSessions[holder]++
		}
	})
	return r, admitted
}

func (c *Control) receive(ctx context.Context, l *link.Link, s *session) {
	for {
		m, err := l.Receive(ctx)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case protocol.Renew:
			c.dispatcher.post(func() { c.dispatcher.renew(s, m) })
		case protocol.Report:
			c.dispatcher.post(func() { c.dispatcher.report(s, m) })
		case protocol.Claim:
			go c.answerClaim(ctx, s, m)
		case protocol.Settle:
			go c.answerSettle(ctx, s, m)
		}
	}
}

// The functions below run in the dispatcher's goroutine.

// endOpening undoes the effect of admit, so that the end of the router can be recorded again.
func (d *dispatcher) endOpening(h claim.Holder) {
	if d.openingSessions[h]--; d.openingSessions[h] <= 0 {
		delete(d.openingSessions, h)
	}
}

// openSession registers a session in place of any earlier one of the router, and sends the
// router a Welcome and the configuration. It reports false if this replica may not act as the
// allocator.
func (d *dispatcher) openSession(s *session, h protocol.Hello) bool {
	if !d.isAllocator() {
		return false
	}
	if old := d.sessions[h.Router]; old != nil {
		old.out.Close()
	}
	now := d.now()
	void := !d.alloc.TakingOver(now) && !d.alloc.HasSession(h.Router, h.BootID)
	reports, known := d.alloc.OpenSession(now, h)
	s.confirmedRevision = h.Revision
	d.sessions[h.Router] = s
	s.out.Send(protocol.Welcome{
		Epoch: d.alloc.Epoch(), LeaseMillis: uint32(d.c.cfg.Lease.Length.Milliseconds()),
		Leader: d.c.cfg.Identity.Name, StateKept: known, Reports: reports, LeaseExpired: void,
	})
	d.pushConfigTo(s, d.c.state.Config())
	return true
}

// renew extends the lease of a router and records the revision that it confirmed.
func (d *dispatcher) renew(s *session, m protocol.Renew) {
	if d.sessions[s.holder.Router] != s || !d.isAllocator() {
		return
	}
	s.confirmedRevision = m.Revision
	d.alloc.Renew(d.now(), s.holder.Router)
	s.out.Send(protocol.Renewed{Seq: m.Seq})
}

func (d *dispatcher) report(s *session, m protocol.Report) {
	if d.sessions[s.holder.Router] != s || d.alloc == nil {
		return
	}
	d.alloc.Report(d.now(), s.holder.Router, m)
}

// removeSession removes a session whose link has ended, unless a newer one replaced it.
func (d *dispatcher) removeSession(s *session) {
	if d.sessions[s.holder.Router] != s {
		return
	}
	delete(d.sessions, s.holder.Router)
	if d.alloc != nil {
		d.alloc.Disconnect(s.holder.Router, s.holder.Boot)
	}
}
