// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"sync"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Outbox, which lets a decision loop send without waiting
// for the network.

// Outbox sends queued messages over one link, in order, from a goroutine of
// its own. When the queue is full the link is closed: the peer is too slow, and
// a new session starts from a clean state. Dropping single messages was rejected
// because increments would be lost. An error of the link ends the outbox silently;
// the link's reader gets it as well and logs it.
type Outbox struct {
	link  *Link
	queue chan protocol.Message
	done  chan struct{}
	once  sync.Once
	last  chan struct{} // closed once everything queued before Drain is sent
	drain sync.Once
}

// NewOutbox starts sending over l until it fails or Close is called. depth is
// the length of the queue in messages.
func NewOutbox(l *Link, depth int) *Outbox {
	o := &Outbox{link: l, queue: make(chan protocol.Message, depth), done: make(chan struct{}), last: make(chan struct{})}
	go o.run()
	return o
}

// Send queues a message and reports whether there was room.
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

// Drain waits until everything queued so far is sent, or ctx ends, and ends
// the outbox.
func (o *Outbox) Drain(ctx context.Context) {
	o.drain.Do(func() {
		select {
		case o.queue <- nil:
		case <-o.done:
		case <-ctx.Done():
		}
	})
	select {
	case <-o.last:
	case <-o.done:
	case <-ctx.Done():
	}
	o.Close()
}

// Close ends the outbox and its link.
func (o *Outbox) Close() {
	o.once.Do(func() {
		close(o.done)
		o.link.Close()
	})
}

// Done is closed when the outbox has ended.
func (o *Outbox) Done() <-chan struct{} { return o.done }

func (o *Outbox) run() {
	defer o.Close()
	for {
		select {
		case <-o.done:
			return
		case m := <-o.queue:
			if m == nil {
				close(o.last)
				return
			}
			if err := o.link.Send(context.Background(), m); err != nil {
				return
			}
		}
	}
}
