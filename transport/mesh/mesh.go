// SPDX-License-Identifier: Apache-2.0

// Package mesh carries consensus messages between replicas. It sends over one link and
// from one goroutine for each replica that there are messages for.
//
// Each replica sends on the links that it opened and receives on those that it
// accepted, so two replicas never have to agree on which link to keep. A message that
// cannot be sent at once is dropped, as consensus allows: a newer one replaces it. A
// link without messages for [idleTimeout] is closed, unless [Mesh.KeepOpen] keeps it open.
// A link whose peer does not answer a ping is closed too: nothing else is received on
// a link that this side opened, so nothing else would reveal an unresponsive peer.
//
// The package owns the queues, the links that it opens and, while it serves them,
// those that it accepts. The caller provides the replicas' addresses and handles the
// links of peers that are not replicas. Package link authenticates the peer and
// closes a link whose peer does not read.
// The only lock, Mesh.mu, is a leaf and is never held while sending.
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

// Limits of the link to each replica.
const (
	queueDepth     = 4096                  // messages; further ones are dropped
	minRedialDelay = 50 * time.Millisecond // after a failed dial; doubles up to maxRedialDelay
	maxRedialDelay = time.Second
	idleTimeout    = 30 * time.Second // without a message, after which a link and its goroutine end
)

// Mesh holds one replica's links to the others.
type Mesh struct {
	ctx       context.Context
	identity  link.Identity
	addressOf func(replica string) string
	meter     *link.Meter

	mu       sync.Mutex // leaf lock; guards queues and keptOpen
	queues   map[string]chan protocol.Consensus
	keptOpen []string // replicas to which a link is kept open without messages
}

// New returns a mesh that sends until ctx ends. addressOf returns a replica's
// fleet address, or "" for an unknown replica.
func New(ctx context.Context, id link.Identity, addressOf func(replica string) string, m *link.Meter) *Mesh {
	queues := map[string]chan protocol.Consensus{}
	return &Mesh{ctx: ctx, identity: id, addressOf: addressOf, meter: m, queues: queues}
}

// Send queues a message for the replica in its To field. It does not block: a message
// to an unknown replica, or to one whose queue is full, is dropped.
func (m *Mesh) Send(msg protocol.Consensus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := m.queueFor(msg.To.Name)
	if queue == nil {
		return
	}
	select {
	case queue <- msg:
	default:
	}
}

// queueFor returns a replica's queue, or nil for an unknown replica. If there is no queue yet, it
// creates one and starts the goroutine that sends from it. The caller holds mu.
func (m *Mesh) queueFor(name string) chan protocol.Consensus {
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

// KeepOpen opens links to these replicas and keeps them open even while there is nothing to send.
// It replaces the set of an earlier call. Followers have nothing to send each other until the
// leader fails, and a dial over a long distance would then take half as long as an election.
func (m *Mesh) KeepOpen(replicas []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keptOpen = slices.Clone(replicas)
	for _, name := range replicas {
		m.queueFor(name)
	}
}

// isKeptOpen reports whether a link to a replica is kept open.
func (m *Mesh) isKeptOpen(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.keptOpen, name)
}

// Serve accepts a link from an HTTP request at [link.Path] and serves it until it
// ends. If the first message is a consensus message, the link belongs to a replica and
// its messages go to deliver, except those whose sender is not the proven peer. Any
// other link is passed to handleSession with its first message.
func (m *Mesh) Serve(w http.ResponseWriter, r *http.Request, deliver func(protocol.Consensus),
	handleSession func(ctx context.Context, l *link.Link, first protocol.Message)) {
	l, err := link.Accept(w, r, m.identity, m.meter)
	if err != nil {
		m.meter.CountRefused()
		return
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	msg, err := l.Receive(ctx)
	if _, isReplica := msg.(protocol.Consensus); err == nil && !isReplica {
		handleSession(ctx, l, msg)
		return
	}
	for ; err == nil; msg, err = l.Receive(ctx) {
		if c, ok := msg.(protocol.Consensus); ok && c.From.Name == l.Peer() {
			deliver(c)
		}
	}
}

// run maintains the link to one replica and sends the queued messages, until none has
// been queued for idleTimeout and the link is not kept open.
func (m *Mesh) run(name, address string, queue chan protocol.Consensus) {
	redialDelay := minRedialDelay
	for m.ctx.Err() == nil && !m.removeIfIdle(name, queue) {
		l, err := link.Dial(m.ctx, address, m.identity, m.meter)
		if err == nil {
			redialDelay = minRedialDelay
			m.sendQueued(name, l, queue)
			l.Close()
			continue
		}
		discard(queue)
		sleep.For(m.ctx, redialDelay)
		redialDelay = min(2*redialDelay, maxRedialDelay)
	}
}

// removeIfIdle waits up to idleTimeout for a message, unless the link is kept open. If none is queued,
// it removes the queue and returns true, which ends the queue's goroutine.
func (m *Mesh) removeIfIdle(name string, queue chan protocol.Consensus) bool {
	if m.isKeptOpen(name) {
		return false
	}
	idleTimer := time.NewTimer(idleTimeout)
	defer idleTimer.Stop()
	select {
	case msg := <-queue:
		select {
		case queue <- msg: // queued again behind newer messages, which consensus allows
		default:
		}
		return false
	case <-m.ctx.Done():
		return true
	case <-idleTimer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(queue) > 0 || slices.Contains(m.keptOpen, name) { // changed after the timer fired
		return false
	}
	delete(m.queues, name)
	return true
}

// sendQueued sends the queued messages until the link fails, or has been idle for idleTimeout and
// is not kept open.
func (m *Mesh) sendQueued(name string, l *link.Link, queue chan protocol.Consensus) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	go func() { // detects that the other side closed the link
		// The accepting side sends nothing, so any return means that the link has ended.
		_, _ = l.Receive(ctx)
		cancel()
	}()
	go l.CloseOnPingTimeout(ctx)
	idleTimer := time.NewTimer(idleTimeout)
	defer idleTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleTimer.C:
			if !m.isKeptOpen(name) {
				return
			}
			idleTimer.Reset(idleTimeout)
		case msg := <-queue:
			if err := l.Send(ctx, msg); err != nil {
				return
			}
			idleTimer.Reset(idleTimeout)
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
