// SPDX-License-Identifier: Apache-2.0

// Package mesh carries consensus messages between replicas: for sending, it has one
// link and one goroutine for each replica that there are messages for.
//
// Each replica sends on the links that it opened and receives on those that
// it accepted, so two replicas never have to agree on which link to keep. A
// message that cannot be sent now is dropped, as consensus allows: a newer one
// replaces it. A link without messages for [idleTime] is closed, and so is one whose
// peer answers no ping: the sender of a link reads nothing else from it.
//
// The package owns the queues, the links that it opens and, while it serves them,
// those that it accepts. It relies on its caller for the replicas' addresses and
// for links of others than replicas, and on package link for the proof of the peer
// and for the end of a link whose peer takes nothing.
// Its only lock, Mesh.mu, is a leaf and never held while sending.
package mesh

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines Mesh.

// Limits of the link to one replica.
const (
	queueDepth     = 4096                  // messages; more are dropped
	redialShortest = 50 * time.Millisecond // after a failed dial, doubling
	redialLongest  = time.Second
	idleTime       = 30 * time.Second // without a message, before a link and its goroutine end
)

// Mesh is one replica's links to the others.
type Mesh struct {
	ctx       context.Context
	identity  link.Identity
	addressOf func(replica string) string
	meter     *link.Meter

	mu     sync.Mutex // a leaf; guards queues and kept
	queues map[string]chan protocol.Consensus
	kept   []string // replicas to which a link is kept without messages
}

// New returns a mesh that sends until ctx ends. addressOf returns a replica's
// fleet address, or "" for an unknown one.
func New(ctx context.Context, id link.Identity, addressOf func(replica string) string, m *link.Meter) *Mesh {
	queues := map[string]chan protocol.Consensus{}
	return &Mesh{ctx: ctx, identity: id, addressOf: addressOf, meter: m, queues: queues}
}

// Send queues a message to the replica that it names. It does not block: a
// message to an unknown replica, or beyond queueDepth, is dropped.
func (m *Mesh) Send(msg protocol.Consensus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := m.queue(msg.To.Name)
	if queue == nil {
		return
	}
	select {
	case queue <- msg:
	default:
	}
}

// queue returns a replica's queue, with a goroutine that sends what is in it, or nil for an
// unknown one. The caller holds mu.
func (m *Mesh) queue(name string) chan protocol.Consensus {
	queue := m.queues[name]
	if queue != nil {
		return queue
	}
	address := m.addressOf(name)
	if address == "" || name == m.identity.Name {
		return nil
	}
	queue = make(chan protocol.Consensus, queueDepth)
	m.queues[name] = queue
	go m.run(name, address, queue)
	return queue
}

// Keep opens links to these replicas and keeps them open, also while there is nothing to
// send, in place of those kept before. Followers have nothing to send each other until they
// miss the leader, and a dial over a far way then takes half as long as an election.
func (m *Mesh) Keep(replicas []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept = slices.Clone(replicas)
	for _, name := range replicas {
		m.queue(name)
	}
}

// keeps reports whether a link to a replica is kept open.
func (m *Mesh) keeps(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.kept, name)
}

// Serve accepts a link from an HTTP request at [link.Path] and serves it until it
// ends. The first message decides: a replica's messages go to deliver, less
// those that name another sender than the proven peer; any other link is session's.
func (m *Mesh) Serve(w http.ResponseWriter, r *http.Request, deliver func(protocol.Consensus),
	session func(ctx context.Context, l *link.Link, first protocol.Message)) {
	l, err := link.Accept(w, r, m.identity, m.meter)
	if err != nil {
		m.meter.Refused()
		return
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	msg, err := l.Receive(ctx)
	if _, replica := msg.(protocol.Consensus); err == nil && !replica {
		session(ctx, l, msg)
		return
	}
	for ; err == nil; msg, err = l.Receive(ctx) {
		if c, ok := msg.(protocol.Consensus); ok && c.From.Name == l.Peer() {
			deliver(c)
		}
	}
}

// run keeps one link to one replica and sends what is queued, until nothing
// was queued for idleTime.
func (m *Mesh) run(name, address string, queue chan protocol.Consensus) {
	wait := redialShortest
	for m.ctx.Err() == nil && !m.retire(name, queue) {
		l, err := link.Dial(m.ctx, address, m.identity, m.meter)
		if err == nil {
			wait = redialShortest
			m.drain(name, l, queue)
			l.Close()
			continue
		}
		discard(queue)
		sleep.For(m.ctx, wait)
		wait = min(2*wait, redialLongest)
	}
}

// retire waits for a message, unless the link is kept, and if none comes, removes the queue and
// reports that its goroutine is to end.
func (m *Mesh) retire(name string, queue chan protocol.Consensus) bool {
	if m.keeps(name) {
		return false
	}
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	select {
	case msg := <-queue:
		select {
		case queue <- msg: // it was the oldest; order is not promised
		default:
		}
		return false
	case <-m.ctx.Done():
		return true
	case <-idle.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(queue) > 0 || slices.Contains(m.kept, name) { // since it was asked
		return false
	}
	delete(m.queues, name)
	return true
}

// drain sends what is queued until the link fails, or is idle for idleTime and not kept.
func (m *Mesh) drain(name string, l *link.Link, queue chan protocol.Consensus) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	go func() { // notices a link that the other side closed
		// The accepting side sends nothing, so that any return means the end.
		_, _ = l.Receive(ctx)
		cancel()
	}()
	go l.CloseWhenSilent(ctx)
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if !m.keeps(name) {
				return
			}
			idle.Reset(idleTime)
		case msg := <-queue:
			if err := l.Send(ctx, msg); err != nil {
				return
			}
			idle.Reset(idleTime)
		}
	}
}

// discard empties a queue whose replica is unreachable.
func discard(queue chan protocol.Consensus) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
