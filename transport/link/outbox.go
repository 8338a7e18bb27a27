// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"sync"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Outbox, which lets an event loop send without waiting for the
// network.

// Outbox sends queued messages over one link, in order, from its own goroutine. If
// the queue is full, the peer is too slow and the link is closed, so that a new
// session starts from a clean state. Single messages are not dropped, because some
// carry increments that would be lost. An error of the link ends the outbox without
// a log entry; the reader of the link receives the error too and logs it.
type Outbox struct {
	link      *Link
	queue     chan protocol.Message
	done      chan struct{}
	closeOnce sync.Once
	drained   chan struct{} // closed when all messages queued before Drain are sent
	drainOnce sync.Once
}

// NewOutbox starts an outbox that sends over l until l fails or Close is called.
// depth is the capacity of the queue in messages.
func NewOutbox(l *Link, depth int) *Outbox {
	o := &Outbox{link: l, queue: make(chan protocol.Message, depth), done: make(chan struct{}), drained: make(chan struct{})}
	go o.run()
	return o
}

// Send queues a message and reports whether it was queued. If the queue is full, it
// closes the outbox.
func (o *Outbox) Send(m protocol.Message) bool {
	select {
	case <-o.done:
		return false
	default:
	}
	select {
	case o.queue <- m:
		return true
	default:
		o.Close()
		return false
	}
}

// Drain waits until all messages queued so far are sent or ctx ends, and then closes
// the outbox.
func (o *Outbox) Drain(ctx context.Context) {
	o.drainOnce.Do(func() {
		select {
		case o.queue <- nil:
		case <-o.done:
		case <-ctx.Done():
		}
	})
	select {
	case <-o.drained:
	case <-o.done:
	case <-ctx.Done():
	}
	o.Close()
}

// Close ends the outbox and closes its link.
func (o *Outbox) Close() {
	o.closeOnce.Do(func() {
		close(o.done)
		o.link.Close()
	})
}

// Done returns a channel that is closed when the outbox has ended.
func (o *Outbox) Done() <-chan struct{} { return o.done }

func (o *Outbox) run() {
	defer o.Close()
	for {
		select {
		case <-o.done:
			return
		case m := <-o.queue:
			if m == nil {
				close(o.drained)
				return
			}
			if err := o.link.Send(context.Background(), m); err != nil {
				return
			}
		}
	}
}
