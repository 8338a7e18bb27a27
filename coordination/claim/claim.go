// SPDX-License-Identifier: Apache-2.0

// Package claim implements the register that makes a request with an idempotency key run at
// most once in the whole fleet.
//
// A request is identified by its account and its idempotency key. Just before a router
// dispatches a request, it claims the key, and the register grants each key once. The router
// settles the claim with the outcome: ran (with the answer if it is small), released (the
// request did not run, so the key may be claimed again), or unknown. When a router's lease has
// expired, its unsettled claims become unknown, and the answer to a resent request states that
// the original may have run.
//
// The package owns the claims and their answers. Package control proposes the commands,
// including those that orphan the claims of a router whose lease has expired.
//
// A [Register] is a state machine driven by a replicated log. It reads no clock: commands
// carry the time of the leader that proposed them, and the register's own time is the highest
// one so far, so every replica drops the same claims at the same position of the log. A claim
// is dropped [RetentionMillis] after it was settled, and a request resent later runs again. An
// unsettled claim is never dropped.
package claim

import (
	"container/list"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Register and its commands.

// RetentionMillis is how long a settled claim is kept, in milliseconds: one day, as
// documented in docs/CALLERS.md. A claim takes 311 B of memory (BenchmarkClaimMemory).
const RetentionMillis = 24 * 60 * 60 * 1000

// MaxAnswerBytes is the size of the largest answer body that is kept (docs/CALLERS.md).
const MaxAnswerBytes = 16 << 10

// MaxKeyBytes is the maximum length of an idempotency key (docs/CALLERS.md).
const MaxKeyBytes = 255

// Holder identifies a process that may hold claims.
type Holder struct {
	Router string `cbor:"1,keyasint"`
	Boot   uint64 `cbor:"2,keyasint"`
}

// Command is one command of the log. One of Claim, Settle and Orphan is set.
type Command struct {
	Millis int64            `cbor:"1,keyasint"` // the proposer's wall clock, Unix time
	Holder Holder           `cbor:"2,keyasint"`
	Claim  *protocol.Claim  `cbor:"3,keyasint,omitempty"`
	Settle *protocol.Settle `cbor:"4,keyasint,omitempty"`
	// Orphan makes every unsettled claim of Holder unknown.
	Orphan bool `cbor:"5,keyasint,omitempty"`
}

// requestKey identifies a request with an idempotency key.
type requestKey struct{ account, key string }

// entry is one claim.
type entry struct {
	Account string              `cbor:"1,keyasint"`
	Key     string              `cbor:"2,keyasint"`
	Digest  uint64              `cbor:"3,keyasint"`
	Holder  Holder              `cbor:"4,keyasint"`
	Attempt uint64              `cbor:"5,keyasint"`
	State   protocol.ClaimState `cbor:"6,keyasint"` // ClaimRunning, ClaimRan or ClaimUnknown
	Answer  *protocol.Answer    `cbor:"7,keyasint,omitempty"`
	Settled int64               `cbor:"8,keyasint,omitempty"` // time of settlement, by Register.millis

	element *list.Element // position in Register.settled; nil while running
}

// Register is the state machine that holds the claims. It is not safe for concurrent use.
type Register struct {
	millis  int64 // the register's time: the highest time of a command so far, Unix time in milliseconds
	entries map[requestKey]*entry
	settled list.List // elements are *entry, in settlement order
	// OnSettled, if set, is called whenever a claim is settled, released or orphaned.
	OnSettled func(account, key string, c protocol.Claimed)
}

// New returns an empty register.
func New() *Register { return &Register{entries: map[requestKey]*entry{}} }

// Len returns the number of claims kept.
func (r *Register) Len() int { return len(r.entries) }

// Apply applies a command and returns the answer to its proposer.
func (r *Register) Apply(c Command) protocol.Claimed {
	r.millis = max(r.millis, c.Millis)
	r.dropExpired()
	switch {
	case c.Claim != nil:
		return r.claim(c.Holder, *c.Claim)
	case c.Settle != nil:
		return r.settle(c.Holder, *c.Settle)
	case c.Orphan:
		r.orphan(c.Holder)
	}
	return protocol.Claimed{}
}

// Lookup returns the state and answer of a claim without making one.
func (r *Register) Lookup(account, key string) (protocol.Claimed, bool) {
	e := r.entries[requestKey{account, key}]
	if e == nil {
		return protocol.Claimed{}, false
	}
	return protocol.Claimed{State: e.State, Answer: e.Answer}, true
}

func (r *Register) claim(h Holder, c protocol.Claim) protocol.Claimed {
	k := requestKey{c.Account, c.Key}
	e := r.entries[k]
	if e == nil {
		r.entries[k] = &entry{
			Account: c.Account, Key: c.Key, Digest: c.Digest, Holder: h, Attempt: c.Attempt,
			State: protocol.ClaimRunning,
		}
		return protocol.Claimed{Call: c.Call, State: protocol.ClaimGranted}
	}
	if e.Digest != c.Digest {
		return protocol.Claimed{Call: c.Call, State: protocol.ClaimMismatch}
	}
	if e.State == protocol.ClaimRunning && e.Holder == h && e.Attempt == c.Attempt {
		return protocol.Claimed{Call: c.Call, State: protocol.ClaimGranted} // a repeated command, because its first answer was lost
	}
	return protocol.Claimed{Call: c.Call, State: e.State, Answer: e.Answer}
}

// settle records the outcome that the holder reports. A late outcome replaces the state
// unknown, because the holder observed how the request ended.
func (r *Register) settle(h Holder, s protocol.Settle) protocol.Claimed {
	e := r.entries[requestKey{s.Account, s.Key}]
	if e == nil || e.Holder != h || e.Attempt != s.Attempt || e.State == protocol.ClaimRan {
		return protocol.Claimed{Call: s.Call, State: s.State}
	}
	switch {
	case s.State == protocol.ClaimReleased:
		r.remove(e)
		r.notify(e, s.State)
	case s.Answer != nil && len(s.Answer.Body) <= MaxAnswerBytes:
		r.markSettled(e, s.State, s.Answer)
	default:
		r.markSettled(e, s.State, nil)
	}
	return protocol.Claimed{Call: s.Call, State: s.State}
}

// orphan makes the unsettled claims of a holder unknown.
func (r *Register) orphan(h Holder) {
	for _, e := range r.entries {
		if e.Holder == h && e.State == protocol.ClaimRunning {
			r.markSettled(e, protocol.ClaimUnknown, nil)
		}
	}
}

func (r *Register) markSettled(e *entry, state protocol.ClaimState, a *protocol.Answer) {
	e.State, e.Answer, e.Settled = state, a, r.millis
	if e.element != nil {
		r.settled.Remove(e.element)
	}
	e.element = r.settled.PushBack(e)
	r.notify(e, state)
}

func (r *Register) notify(e *entry, state protocol.ClaimState) {
	if r.OnSettled != nil {
		r.OnSettled(e.Account, e.Key, protocol.Claimed{State: state, Answer: e.Answer})
	}
}

func (r *Register) dropExpired() {
	for el := r.settled.Front(); el != nil; el = r.settled.Front() {
		e := el.Value.(*entry)
		if r.millis-e.Settled < RetentionMillis {
			return
		}
		r.remove(e)
	}
}

func (r *Register) remove(e *entry) {
	if e.element != nil {
		r.settled.Remove(e.element)
		e.element = nil
	}
	delete(r.entries, requestKey{e.Account, e.Key})
}

// image is the serialized form of a Register: settled entries in settlement order, then
// running ones.
type image struct {
	Millis  int64    `cbor:"1,keyasint"`
	Entries []*entry `cbor:"2,keyasint"`
}

// MarshalBinary returns the register's image for a log snapshot.
func (r *Register) MarshalBinary() ([]byte, error) {
	im := image{Millis: r.millis}
	for el := r.settled.Front(); el != nil; el = el.Next() {
		im.Entries = append(im.Entries, el.Value.(*entry))
	}
	for _, e := range r.entries {
		if e.element == nil {
			im.Entries = append(im.Entries, e)
		}
	}
	return cbor.Marshal(im)
}

// UnmarshalBinary replaces the register's contents with those of the image.
func (r *Register) UnmarshalBinary(b []byte) error {
	var im image
	if err := cbor.Unmarshal(b, &im); err != nil {
		return err
	}
	r.millis = im.Millis
	r.entries = make(map[requestKey]*entry, len(im.Entries))
	r.settled.Init()
	for _, e := range im.Entries {
		r.entries[requestKey{e.Account, e.Key}] = e
		if e.State != protocol.ClaimRunning {
			e.element = r.settled.PushBack(e)
		}
	}
	return nil
}
