// SPDX-License-Identifier: Apache-2.0

// Package replica runs one replica of one consensus group: the step function
// of coordination/consensus, a journal on a disk, a state machine, and the
// messages to the other replicas.
//
// One goroutine owns all of this. It takes a batch of inputs (messages, proposals,
// the time), passes them to the step function, makes the result durable with one
// sync, sends messages and applies entries. Proposals that arrive during a sync share
// the next one (group commit). No locks are needed.
//
// A disk failure stops the replica ([Stopped]): after a failed sync the content of the
// disk is uncertain, so the replica may neither vote nor acknowledge. The owner of the
// replica decides whether to open the folder again.
//
// Two types are named Replica: [consensus.Replica] is the pure step function, and the
// Replica of this package runs it. The latter owns its journal and its state machine,
// and requires that the caller's Send does not block.
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

// This file defines Replica, its settings and its API. Its goroutine is in loop.go.

// StateMachine is the state machine that the log drives. The replica calls it only from
// its own goroutine.
type StateMachine interface {
	// Apply applies a committed command and returns the result for its proposer.
	Apply(data []byte) any
	// Snapshot returns an image of the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an image, which is never empty.
	Restore(image []byte) error
}

// Sender sends a message to another replica. It must not block and drops messages
// that it cannot send.
type Sender func(m protocol.Consensus)

// Settings configures a replica.
type Settings struct {
	Group string   // name of the group
	Name  string   // name of this replica
	Names []string // names of all replicas
	// Open, if set, makes the group an open one: Names are then its seeds, and
	// any replica may join.
	Open         *OpenGroup
	Dir          wal.Dir
	StateMachine StateMachine
	Send         Sender
	Tuning
	Random func() uint64
	// Clock is a monotonic clock that keeps running while the box is suspended, so that a leader's
	// lease expires during a suspension. Nil means Go's monotonic clock, which stops during it.
	Clock func() time.Duration
	Log   *slog.Logger
	// Observe, if set, is called from the replica's goroutine after every
	// batch of inputs with the group's state. It must not block.
	Observe func(s consensus.Status, leads bool)
}

// OpenGroup holds the settings of an open group.
type OpenGroup struct {
	// Bootstrap marks the first start of the group, when the seeds may found it. A blank data folder keeps it.
	Bootstrap bool
	// Voters is the number of voters. Further replicas are learners, ready to replace
	// a silent voter.
	Voters int
}

// Tuning holds the times and sizes that have defaults.
type Tuning struct {
	ElectionTimeout   time.Duration // shortest silence of the leader before a replica campaigns
	HeartbeatInterval time.Duration // interval between messages of an idle leader
	// CompactAt is the size of the journal, in bytes, at which a snapshot replaces
	// it. Zero or less disables compaction; WithDefaults replaces zero.
	CompactAt int64
}

// Defaults of Tuning.
const (
	defaultElection  = 600 * time.Millisecond // without a message from the leader
	defaultHeartbeat = 120 * time.Millisecond // a fifth of defaultElection
	// defaultCompactAt, in bytes, holds about 16,000 configuration changes
	// (docs/CAPACITY.md).
	defaultCompactAt = 4 << 20
)

// WithDefaults replaces zero values by the defaults.
func (t Tuning) WithDefaults() Tuning {
	return Tuning{
		ElectionTimeout:   cmp.Or(t.ElectionTimeout, defaultElection),
		HeartbeatInterval: cmp.Or(t.HeartbeatInterval, defaultHeartbeat),
		CompactAt:         cmp.Or(t.CompactAt, defaultCompactAt),
	}
}

// Replica is a running replica: a goroutine that drives a [consensus.Replica] with a
// clock and a disk.
type Replica struct {
	cfg     Settings
	now     func() time.Duration
	inputs  chan input
	stopped chan struct{}
	err     error // reason for the stop; read only after stopped is closed
	loop    loop

	syncTime atomic.Int64 // moving average of the time to sync entries, in nanoseconds; zero before the first sync
}

// input is one input of the loop. Exactly one field is set, or none for a timer tick.
type input struct {
	message  *protocol.Consensus
	proposal *proposal
	inspect  func(now time.Duration, member *consensus.Replica)
}

// proposal is a command on its way to the loop.
type proposal struct {
	data   []byte
	answer chan outcome // buffered
}

// outcome is the result of a proposal.
type outcome struct {
	result any
	err    error
}

const (
	// inputQueueSize is the capacity of the input queue. When it is full, messages are dropped
	// and other callers block.
	inputQueueSize = 4096
	// transferPollsPerHeartbeat is how many times per heartbeat interval Transfer checks whether
	// the transfer is complete.
	transferPollsPerHeartbeat = 4
)

// Start opens the journal and runs the replica until ctx ends or the disk
// fails.
func Start(ctx context.Context, cfg Settings) (*Replica, error) {
	j, contents, err := journal.Open(cfg.Dir, cfg.Random, cfg.Open != nil && cfg.Open.Bootstrap)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, now: startClock(cfg.Clock), inputs: make(chan input, inputQueueSize), stopped: make(chan struct{}),
	}
	if err := r.loop.init(r, j, contents); err != nil {
		j.Close()
		return nil, err
	}
	if contents.DroppedBytes > 0 {
		cfg.Log.Warn("dropped a torn write at the end of the journal", "group", cfg.Group, "bytes", contents.DroppedBytes)
	}
	go r.run(ctx)
	return r, nil
}

// Now returns the replica's monotonic clock.
func (r *Replica) Now() time.Duration { return r.now() }

// startClock returns a clock that starts at zero. A nil clock means Go's monotonic clock.
func startClock(clock func() time.Duration) func() time.Duration {
	if clock == nil {
		began := time.Now()
		return func() time.Duration { return time.Since(began) }
	}
	began := clock()
	return func() time.Duration { return clock() - began }
}

// SyncTime returns the moving average of the time to make entries durable on this replica, or zero
// before the first sync.
func (r *Replica) SyncTime() time.Duration { return time.Duration(r.syncTime.Load()) }

// Deliver queues a message from another replica. It drops the message if the queue is
// full, as a network would.
func (r *Replica) Deliver(m protocol.Consensus) {
	select {
	case r.inputs <- input{message: &m}:
	default:
	}
}

// Propose appends a command and waits until it is applied here. The error is
// [consensus.NotLeader], [consensus.TransferPending], [Undecided], [Stopped] or the
// context's. After Undecided, also with Stopped as its cause, the command may still be
// committed. After Stopped alone the command was not appended.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	p := &proposal{data: data, answer: make(chan outcome, 1)}
	if err := r.enqueue(ctx, input{proposal: p}); err != nil {
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
	if err := r.enqueue(ctx, input{inspect: wrapped}); err != nil {
		return err
	}
	_, err := await(ctx, r, done)
	return err
}

// Transfer transfers leadership to another replica, if this one leads, and waits until
// it no longer leads, no other voter exists, or ctx ends. The error is [Stopped] or the
// context's.
func (r *Replica) Transfer(ctx context.Context) error {
	for {
		leads := false
		err := r.Inspect(ctx, func(_ time.Duration, member *consensus.Replica) { leads = member.Transfer("") })
		if err != nil || !leads {
			return err
		}
		if !sleep.For(ctx, r.cfg.HeartbeatInterval/transferPollsPerHeartbeat) {
			return ctx.Err()
		}
	}
}

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err returns the error that stopped the replica, or nil. It may be called only after
// Done is closed.
func (r *Replica) Err() error { return r.err }

func (r *Replica) enqueue(ctx context.Context, in input) error {
	select {
	case r.inputs <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return Stopped{Err: r.err}
	}
}

// await waits for a value from the loop. It fails if ctx ends or the replica stops
// first.
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
