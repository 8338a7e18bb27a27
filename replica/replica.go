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
// A disk that fails stops the replica ([Stopped]): after a failed sync the
// content of the disk is uncertain, so the replica may neither vote nor
// acknowledge. The process above decides whether to open the folder again.
//
// Two types are called Replica: [consensus.Replica] is the pure step function, the
// Replica here is what runs it. It owns its journal and its state machine, and
// relies on the caller's Send not to block.
package replica

import (
	"cmp"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/journal"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// This file defines Replica, its settings and what others may call. The
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
	// Open, if set, makes an open group: Names are then seeds, and any
	// replica may join.
	Open    *OpenGroup
	Dir     wal.Dir
	Machine Machine
	Send    Sender
	Tuning
	Random func() uint64
	// Clock is a monotonic clock that goes on while the box is suspended, so that a leader which
	// wakes knows that its lease is over; nil is Go's, which stands still meanwhile.
	Clock func() time.Duration
	Log   *slog.Logger
	// Observe, if set, is called from the replica's goroutine after every
	// batch of inputs with the group's state. It must not block.
	Observe func(s consensus.Status, leads bool)
}

// OpenGroup is what an open group needs besides its seeds.
type OpenGroup struct {
	// Bootstrap marks the first start of the whole group: the seeds may found it.
	Bootstrap bool
	// Voters is how many voters the group has; more replicas than that are
	// learners, ready to take a silent voter's place.
	Voters int
}

// Tuning is the times and sizes that a role may leave to their defaults.
type Tuning struct {
	Election  time.Duration // silence of the leader after which a replica campaigns, at least
	Heartbeat time.Duration // between two messages of an idle leader
	// CompactAt is the size of the journal, in bytes, from which it is replaced by
	// a snapshot; 0 is never.
	CompactAt int64
}

// Defaults of Tuning.
const (
	defaultElection  = 600 * time.Millisecond // without a message of the leader
	defaultHeartbeat = 120 * time.Millisecond // a fifth of that
	// defaultCompactAt is in bytes: about 16,000 changes of a configuration
	// (estimated in docs/CAPACITY.md).
	defaultCompactAt = 4 << 20
)

// WithDefaults replaces what is zero.
func (t Tuning) WithDefaults() Tuning {
	return Tuning{
		Election:  cmp.Or(t.Election, defaultElection),
		Heartbeat: cmp.Or(t.Heartbeat, defaultHeartbeat),
		CompactAt: cmp.Or(t.CompactAt, defaultCompactAt),
	}
}

// Replica is a running replica: a goroutine with a clock and a disk around the
// step function of the same name, [consensus.Replica].
type Replica struct {
	cfg     Settings
	now     func() time.Duration
	inputs  chan input
	stopped chan struct{}
	err     error // why it stopped; read after stopped is closed
	loop    loop

	syncTime atomic.Int64 // nanoseconds that a sync of entries takes, averaged; 0 before the first
}

// input is one thing that the loop takes. One field is set.
type input struct {
	message  *protocol.Consensus
	proposal *proposal
	inspect  func(now time.Duration, member *consensus.Replica)
}

type proposal struct {
	data   []byte
	answer chan outcome // buffered
}

type outcome struct {
	result any
	err    error
}

const (
	// inputDepth is how many inputs may wait for the loop; messages beyond it are dropped, callers
	// wait.
	inputDepth = 4096
	// transferPolls is how many times in a heartbeat Transfer looks whether the leadership is handed
	// over.
	transferPolls = 4
)

// Start opens the journal and runs the replica until ctx ends or the disk
// fails.
func Start(ctx context.Context, cfg Settings) (*Replica, error) {
	j, contents, err := journal.Open(cfg.Dir, cfg.Random)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, now: clockFrom(cfg.Clock), inputs: make(chan input, inputDepth), stopped: make(chan struct{}),
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
func (r *Replica) Now() time.Duration { return r.now() }

// clockFrom returns a clock that begins now.
func clockFrom(clock func() time.Duration) func() time.Duration {
	if clock == nil {
		began := time.Now()
		return func() time.Duration { return time.Since(began) }
	}
	began := clock()
	return func() time.Duration { return clock() - began }
}

// SyncTime returns how long it takes to make entries durable here, averaged over the last ones;
// 0 before the first.
func (r *Replica) SyncTime() time.Duration { return time.Duration(r.syncTime.Load()) }

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
// context's. After Undecided, also if Stopped is its cause, the command may be committed
// all the same; after Stopped alone it was not taken.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	p := &proposal{data: data, answer: make(chan outcome, 1)}
	if err := r.put(ctx, input{proposal: p}); err != nil {
		return nil, err
	}
	o, err := await(ctx, r, p.answer)
	if err != nil {
		return nil, Undecided{Err: err}
	}
	return o.result, o.err
}

// Inspect runs f in the replica's goroutine, between two batches, unless the
// replica has no log yet. The error is [Stopped] or the context's.
func (r *Replica) Inspect(ctx context.Context, f func(now time.Duration, member *consensus.Replica)) error {
	done := make(chan struct{})
	wrapped := func(now time.Duration, member *consensus.Replica) {
		defer close(done)
		if member != nil {
			f(now, member)
		}
	}
	if err := r.put(ctx, input{inspect: wrapped}); err != nil {
		return err
	}
	_, err := await(ctx, r, done)
	return err
}

// Transfer hands leadership to another replica, if this one leads, and waits
// until it does not lead any more or ctx ends. The error is [Stopped] or the
// context's.
func (r *Replica) Transfer(ctx context.Context) error {
	for {
		leads := false
		err := r.Inspect(ctx, func(_ time.Duration, member *consensus.Replica) { leads = member.Transfer("") })
		if err != nil || !leads {
			return err
		}
		if !sleep.For(ctx, r.cfg.Heartbeat/transferPolls) {
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

// await returns what comes from the loop, unless ctx ends or the replica stops
// before.
func await[T any](ctx context.Context, r *Replica, answer <-chan T) (T, error) {
	var none T
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-r.stopped:
		return none, Stopped{Err: r.err}
	}
}
