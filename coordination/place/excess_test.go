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

// This file tests how requests of class Extra affect those of class Entitled. It runs
// CapacityPlacer on a model of engines that read prompts in order of arrival.

// Parameters of the model.
const (
	orderEngines     = 18
	engineReadRate   = 60.0 // tokens a millisecond
	engineSlots      = 48
	streamDuration   = 2500 * time.Millisecond
	reportInterval   = 100 * time.Millisecond // interval between reports of the others' load, all that gateways know of it
	modelStep        = time.Millisecond
	modelEnd         = 30 * time.Second
	modelObjective   = 400 * time.Millisecond
	entitledInterval = 9 * time.Millisecond // between two requests of class Entitled
	extraInterval    = 4 * time.Millisecond // between two requests of class Extra, a tenth of which are long
	shortPrompt      = 700                  // own tokens
	longPrompt       = 40_000
	sharedTokens     = 200
	sharedPrompts    = 400
)

// engineState is the state of one engine: prompts still to be read, and the end times of its streams.
type engineState struct {
	pending    []pendingRead
	streamEnds []time.Duration
	busyUntil  time.Duration // when the engine has read all prompts
}

// pendingRead is one prompt that is still to be read.
type pendingRead struct {
	doneAt time.Duration
	tokens int
}

// settle advances the engine to now and returns its load.
func (e *engineState) settle(now time.Duration) Work {
	for len(e.pending) > 0 && e.pending[0].doneAt <= now {
		e.pending = e.pending[1:]
	}
	for len(e.streamEnds) > 0 && e.streamEnds[0] <= now {
		e.streamEnds = e.streamEnds[1:]
	}
	w := Work{Requests: len(e.streamEnds)}
	for _, r := range e.pending {
		w.Tokens += r.tokens
	}
	return w
}

// begin starts a request and returns how long it waits for a slot and for its turn to be read.
func (e *engineState) begin(now time.Duration, tokens int) time.Duration {
	wait := max(e.busyUntil-now, 0)
	if beyond := len(e.streamEnds) - engineSlots; beyond >= 0 {
		wait = max(wait, e.streamEnds[beyond]-now)
	}
	e.busyUntil = now + wait + time.Duration(float64(tokens)/engineReadRate*float64(time.Millisecond))
	e.pending = append(e.pending, pendingRead{e.busyUntil, tokens})
	e.streamEnds = append(e.streamEnds, e.busyUntil+streamDuration)
	return wait
}

// TestExcessRequestsDoNotDelayEntitledOnes offers engines several times the load they can read, most of it
// of class Extra and some of that with long prompts. Requests of class Entitled must still begin in time.
func TestExcessRequestsDoNotDelayEntitledOnes(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	servers := make([]Server, orderEngines)
	runs := make([]engineState, orderEngines)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("e%d", i), Slots: engineSlots}
	}
	var p CapacityPlacer
	within, late, beyond := 0, 0, 0
	ask := func(now time.Duration, c entitlement.Class, own int) (began bool, waits time.Duration) {
		shared := Part{Name: fmt.Sprint(rng.IntN(sharedPrompts)), Tokens: sharedTokens}
		r := Request{Class: c, Objective: modelObjective, Engine: true, Prompt: Prompt{Shared: []Part{shared}, Own: own}}
		choice := p.Choose(r, servers)
		if choice.Bound != Free {
			return false, 0
		}
		return true, runs[choice.Index].begin(now, choice.Read)
	}
	for now := modelStep; now < modelEnd; now += modelStep {
		for i := range servers {
			if work := runs[i].settle(now); now%reportInterval == 0 {
				servers[i].Others = work
			}
		}
		if now%entitledInterval == 0 {
			within++
			if began, waits := ask(now, entitlement.Entitled, shortPrompt); !began || waits > modelObjective/2 {
				late++
			}
		}
		own := shortPrompt
		if rng.IntN(10) == 0 {
			own = longPrompt
		}
		if now%extraInterval == 0 {
			if began, _ := ask(now, entitlement.Extra, own); began {
				beyond++
			}
		}
	}
	t.Logf("%d of %d within their shares late or not begun; %d others begun", late, within, beyond)
	is.True(late*100 <= within) // one in a hundred
	is.True(beyond >= within)   // and engines are not kept idle for that
}

// TestExcessRequestsStayAtCachingEngine checks that, while the engine that caches a prompt's shared parts is
// full, requests of class Entitled use another one and requests of class Extra wait.
func TestExcessRequestsStayAtCachingEngine(t *testing.T) {
	is := is.New(t)
	servers := []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	r := Request{
		Class: entitlement.Entitled, Objective: modelObjective, Engine: true,
		Prompt: Prompt{Shared: []Part{{Name: "p", Tokens: sharedTokens}}, Own: shortPrompt},
	}
	var p CapacityPlacer
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
