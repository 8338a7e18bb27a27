// SPDX-License-Identifier: Apache-2.0

// Package mesh carries consensus messages between replicas: one link to each
// replica that there is something to say to.
//
// Each replica sends on the links that it opened and receives on those that
// it accepted, so that no two replicas argue over one link. A message that
// cannot be sent now is lost, as consensus allows; old messages are worth
// less than new ones. A link with nothing to carry for long is closed.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

const (
	queueDepth     = 4096
	redialShortest = 50 * time.Millisecond
	redialLongest  = time.Second
	idleTime       = 30 * time.Second
)

// Mesh is the sending side of one replica's links.
type Mesh struct {
	ctx       context.Context
	identity  link.Identity
	addressOf func(replica string) string
	meter     *link.Meter

	mu     sync.Mutex // a leaf; guards queues
	queues map[string]chan protocol.Consensus
}

// New returns a mesh that sends until ctx ends. addressOf returns a replica's
// fleet address, or "" for one that is not known.
func New(ctx context.Context, id link.Identity, addressOf func(replica string) string, m *link.Meter) *Mesh {
	return &Mesh{ctx: ctx, identity: id, addressOf: addressOf, meter: m, queues: map[string]chan protocol.Consensus{}}
}

// Send queues a message to the replica that it names. It does not block.
func (m *Mesh) Send(msg protocol.Consensus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := m.queues[msg.To.Name]
	if queue == nil {
		address := m.addressOf(msg.To.Name)
		if address == "" || msg.To.Name == m.identity.Name {
			return
		}
		queue = make(chan protocol.Consensus, queueDepth)
		m.queues[msg.To.Name] = queue
		go m.run(msg.To.Name, address, queue)
	}
	select {
	case queue <- msg:
	default:
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
			m.drain(l, queue)
			l.Close()
			continue
		}
		discard(queue)
		select {
		case <-m.ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialLongest)
	}
}

// retire waits for a message and, if none comes, forgets the queue.
func (m *Mesh) retire(name string, queue chan protocol.Consensus) bool {
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
	if len(queue) > 0 {
		return false
	}
	delete(m.queues, name)
	return true
}

func (m *Mesh) drain(l *link.Link, queue chan protocol.Consensus) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	go func() { // notices a link that the other side closed
		_, _ = l.Receive(ctx)
		cancel()
	}()
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case msg := <-queue:
			if _, err := l.Send(ctx, msg); err != nil {
				return
			}
			idle.Reset(idleTime)
		}
	}
}

func discard(queue chan protocol.Consensus) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
