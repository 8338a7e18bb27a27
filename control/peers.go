// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines peers, the links that this replica has opened to the
// others. Each replica sends on the links that it opened and receives on
// those that it accepted, so that no two replicas argue over one link.

const (
	peerQueue      = 4096
	redialShortest = 50 * time.Millisecond
	redialLongest  = time.Second
)

type peers struct {
	ctx     context.Context
	set     Settings
	meter   *link.Meter
	queues  map[string]chan protocol.Consensus
	deliver func(protocol.Consensus)
}

func newPeers(ctx context.Context, set Settings, m *link.Meter) *peers {
	p := &peers{ctx: ctx, set: set, meter: m, queues: map[string]chan protocol.Consensus{}}
	for name := range set.Replicas {
		if name != set.Identity.Name {
			p.queues[name] = make(chan protocol.Consensus, peerQueue)
		}
	}
	return p
}

func (p *peers) start() {
	for name, queue := range p.queues {
		go p.run(p.set.Replicas[name], queue)
	}
}

// send queues a message; one that finds the queue full is lost, as consensus
// allows.
func (p *peers) send(m protocol.Consensus) {
	select {
	case p.queues[m.To.Name] <- m:
	default:
	}
}

// run keeps one link to one replica and sends what is queued.
func (p *peers) run(address string, queue chan protocol.Consensus) {
	wait := redialShortest
	for p.ctx.Err() == nil {
		l, err := link.Dial(p.ctx, address, p.set.Identity, p.meter)
		if err == nil {
			wait = redialShortest
			p.drain(l, queue)
			l.Close()
			continue
		}
		select {
		case <-p.ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialLongest)
		discard(queue)
	}
}

func (p *peers) drain(l *link.Link, queue chan protocol.Consensus) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go func() { // notices a link that the other side closed
		_, _ = l.Receive(ctx)
		cancel()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if _, err := l.Send(ctx, m); err != nil {
				return
			}
		}
	}
}

// discard drops what waited for a replica that cannot be reached: old
// messages are worth less than new ones.
func discard(queue chan protocol.Consensus) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
