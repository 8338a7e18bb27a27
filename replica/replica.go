// SPDX-License-Identifier: Apache-2.0

// Package replica runs one replica of one consensus group: the step function
// of coordination/consensus, a journal on a disk, a state machine, and the
// messages to the other replicas.
//
// The model is one goroutine that owns all four. It takes a batch of inputs
// (messages, proposals, the time), steps the group through them, writes what
// must be durable with one sync, sends, and applies. So many proposals that
// arrive during one sync share the next one (group commit), and nothing here
// needs a lock.
//
// A disk that fails stops the replica ([Stopped]): after a failed sync nothing
// that it would say is known to be true.
package replica

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/journal"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// This file defines Replica, its settings and what others may ask of it. The
// loop that does the work is in loop.go.

// Machine is the state machine that the log drives. All calls come from the
// replica's goroutine.
type Machine interface {
	// Apply applies a committed command and returns what its proposer gets.
	Apply(data []byte) any
	// Snapshot returns an image of the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an image, which is never empty.
	Restore(image []byte) error
}

// Sender takes messages to other replicas. It must not block; what cannot be
// sent is dropped.
type Sender func(m protocol.Consensus)

// Settings of a replica.
type Settings struct {
	Group string   // name of the group
	Name  string   // of this replica
	Names []string // of all replicas
	// Open, if set, makes an open group: Names are then seeds, and whoever
	// asks may join.
	Open    *OpenGroup
	Dir     wal.Dir
	Machine Machine
	Send    Sender
	Tuning
	Random func() uint64
	Log    *slog.Logger
	// Observe, if set, is called from the replica's goroutine after every
	// batch of inputs with the group's state. It must not block.
	Observe func(s consensus.Status, leads bool)
}

// OpenGroup is what an open group needs to know besides its seeds.
type OpenGroup struct {
	// Bootstrap says that this is the first start of the whole group: the seeds
	// may found it.
	Bootstrap bool
	// Voters is how many voters the group has; more replicas than that are
	// learners, ready to take a silent voter's place.
	Voters int
}

// Tuning is the times and sizes that a role may leave to their defaults.
type Tuning struct {
	Election  time.Duration // silence of the leader after which a replica stands for election
	Heartbeat time.Duration // between two messages of an idle leader
	// CompactAt is the size of the journal, in bytes, from which it is replaced by
	// a snapshot; 0 is never.
	CompactAt int64
}

// WithDefaults replaces what is zero. The figures are chosen, not measured; 4 MiB are
// about 16,000 changes of a configuration (docs/CAPACITY.md).
func (t Tuning) WithDefaults() Tuning {
	return Tuning{
		Election:  cmp.Or(t.Election, 600*time.Millisecond),
		Heartbeat: cmp.Or(t.Heartbeat, 120*time.Millisecond),
		CompactAt: cmp.Or(t.CompactAt, 4<<20),
	}
}

// Replica is a running replica.
type Replica struct {
	cfg     Settings
	start   time.Time
	inputs  chan input
	stopped chan struct{}
	err     error // why it stopped; read after stopped is closed
	loop    loop
}

// input is one thing that the loop takes. One field is set.
type input struct {
	message  *protocol.Consensus
	proposal *proposal
	transfer chan bool
	inspect  func(now time.Duration, n *consensus.Replica)
}

type proposal struct {
	data   []byte
	answer chan outcome // buffered
}

type outcome struct {
	result any
	err    error
}

const inputDepth = 4096

// Start opens the journal and runs the replica until ctx ends or the disk
// fails.
func Start(ctx context.Context, cfg Settings) (*Replica, error) {
	j, contents, err := journal.Open(cfg.Dir, cfg.Random)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, start: time.Now(), inputs: make(chan input, inputDepth), stopped: make(chan struct{}),
	}
	if err := r.loop.init(r, j, contents); err != nil {
		j.Close()
		return nil, err
	}
	if contents.Dropped > 0 {
		cfg.Log.Warn("dropped a torn last write", "group", cfg.Group, "bytes", contents.Dropped)
	}
	go r.run(ctx)
	return r, nil
}

// Now returns the replica's monotonic clock.
func (r *Replica) Now() time.Duration { return time.Since(r.start) }

// Deliver hands in a message from another replica. It drops the message when
// the replica is overloaded, as a network would.
func (r *Replica) Deliver(m protocol.Consensus) {
	select {
	case r.inputs <- input{message: &m}:
	default:
	}
}

// Propose appends a command and waits until it is applied here. The error is
// [consensus.NotLeader], [consensus.Handover], [Undecided], [Stopped] or the
// context's.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	p := &proposal{data: data, answer: make(chan outcome, 1)}
	if err := r.put(ctx, input{proposal: p}); err != nil {
		return nil, err
	}
	select {
	case o := <-p.answer:
		return o.result, o.err
	case <-ctx.Done():
		return nil, Undecided{Err: ctx.Err()}
	case <-r.stopped:
		return nil, Undecided{Err: Stopped{Err: r.err}}
	}
}

// Inspect runs f in the replica's goroutine, between two batches, unless the
// replica has no log yet.
func (r *Replica) Inspect(ctx context.Context, f func(now time.Duration, n *consensus.Replica)) error {
	done := make(chan struct{})
	wrapped := func(now time.Duration, n *consensus.Replica) {
		defer close(done)
		if n != nil {
			f(now, n)
		}
	}
	if err := r.put(ctx, input{inspect: wrapped}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return Stopped{Err: r.err}
	}
}

// Transfer hands leadership to another replica, if this one leads, and waits
// until it does not lead any more or ctx ends.
func (r *Replica) Transfer(ctx context.Context) error {
	for {
		started := make(chan bool, 1)
		if err := r.put(ctx, input{transfer: started}); err != nil {
			return err
		}
		select {
		case leading := <-started:
			if !leading {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stopped:
			return Stopped{Err: r.err}
		}
		if !sleep.For(ctx, r.cfg.Heartbeat/4) {
			return ctx.Err()
		}
	}
}

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err returns why the replica stopped, after Done.
func (r *Replica) Err() error { return r.err }

func (r *Replica) put(ctx context.Context, in input) error {
	select {
	case r.inputs <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return Stopped{Err: r.err}
	}
}
