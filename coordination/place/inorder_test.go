// SPDX-License-Identifier: Apache-2.0

package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file tests how requests beyond their shares affect those within them, with a model of engines
// that read prompts in order of arrival. The placer is the real one.

// Parameters of the model.
const (
	orderEngines  = 18
	engineReads   = 60.0 // tokens a millisecond
	engineSlots   = 48
	streamLasts   = 2500 * time.Millisecond
	sumsEach      = 100 * time.Millisecond // interval between reports of the others' load; gateways see each other's load only by these
	engineStep    = time.Millisecond
	enginesEnd    = 30 * time.Second
	enginesAim    = 400 * time.Millisecond
	withinEach    = 9 * time.Millisecond // between two requests within their shares
	beyondEach    = 4 * time.Millisecond // between two requests beyond them, a tenth of which are long
	shortPrompt   = 700                  // own tokens
	longPrompt    = 40_000
	sharedTokens  = 200
	sharedPrompts = 400
)

// engineRuns is the state of one engine: prompts still to be read, and the end times of its streams.
type engineRuns struct {
	read []readUntil
	ends []time.Duration
	busy time.Duration // when the engine has read all prompts
}

// readUntil is one prompt that is still to be read.
type readUntil struct {
	at     time.Duration
	tokens int
}

// settle advances the engine to now and returns its load.
func (e *engineRuns) settle(now time.Duration) Work {
	for len(e.read) > 0 && e.read[0].at <= now {
		e.read = e.read[1:]
	}
	for len(e.ends) > 0 && e.ends[0] <= now {
		e.ends = e.ends[1:]
	}
	w := Work{Requests: len(e.ends)}
	for _, r := range e.read {
		w.Tokens += r.tokens
	}
	return w
}

// begin starts a request and returns how long it waits for a slot and for its turn to be read.
func (e *engineRuns) begin(now time.Duration, tokens int) time.Duration {
	waits := max(e.busy-now, 0)
	if beyond := len(e.ends) - engineSlots; beyond >= 0 {
		waits = max(waits, e.ends[beyond]-now)
	}
	e.busy = now + waits + time.Duration(float64(tokens)/engineReads*float64(time.Millisecond))
	e.read = append(e.read, readUntil{e.busy, tokens})
	e.ends = append(e.ends, e.busy+streamLasts)
	return waits
}

// TestWhatIsBeyondSharesHoldsUpNobody offers engines several times the load they can read, most of it
// beyond the shares and some of that with long prompts. Requests within the shares must still begin
// in time.
func TestWhatIsBeyondSharesHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	servers := make([]Server, orderEngines)
	runs := make([]engineRuns, orderEngines)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("e%d", i), Slots: engineSlots}
	}
	var p RoomPlacer
	within, late, beyond := 0, 0, 0
	ask := func(now time.Duration, c entitlement.Class, own int) (began bool, waits time.Duration) {
		shared := Part{Name: fmt.Sprint(rng.IntN(sharedPrompts)), Tokens: sharedTokens}
		r := Request{Class: c, Objective: enginesAim, Engine: true, Prompt: Prompt{Shared: []Part{shared}, Own: own}}
		choice := p.Choose(r, servers)
		if choice.Bound != Free {
			return false, 0
		}
		return true, runs[choice.Index].begin(now, choice.Read)
	}
	for now := engineStep; now < enginesEnd; now += engineStep {
		for i := range servers {
			if work := runs[i].settle(now); now%sumsEach == 0 {
				servers[i].Others = work
			}
		}
		if now%withinEach == 0 {
			within++
			if began, waits := ask(now, entitlement.Entitled, shortPrompt); !began || waits > enginesAim/2 {
				late++
			}
		}
		own := shortPrompt
		if rng.IntN(10) == 0 {
			own = longPrompt
		}
		if now%beyondEach == 0 {
			if began, _ := ask(now, entitlement.Extra, own); began {
				beyond++
			}
		}
	}
	t.Logf("%d of %d within their shares late or not begun; %d others begun", late, within, beyond)
	is.True(late*100 <= within) // one in a hundred
	is.True(beyond >= within)   // and engines are not kept idle for that
}

// TestWhatIsBeyondSharesStays checks that, while the engine that caches a prompt's shared parts is
// full, requests within their share use another one and requests beyond it wait.
func TestWhatIsBeyondSharesStays(t *testing.T) {
	is := is.New(t)
	servers := []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	r := Request{
		Class: entitlement.Entitled, Objective: enginesAim, Engine: true,
		Prompt: Prompt{Shared: []Part{{Name: "p", Tokens: sharedTokens}}, Own: shortPrompt},
	}
	var p RoomPlacer
	first := p.Choose(r, servers)
	servers[first.Index].Own = Work{Requests: 1, Tokens: longPrompt}
	left := p.Choose(r, servers)
	is.True(left.Index != first.Index)
	is.Equal(left.Read, sharedTokens+shortPrompt)
	r.Class = entitlement.Extra
	stays := p.Choose(r, servers)
	is.Equal(stays.Index, first.Index)
	is.Equal(stays.Bound, Reading)
	is.Equal(stays.Read, shortPrompt)
}
