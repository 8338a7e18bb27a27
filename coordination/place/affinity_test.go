// SPDX-License-Identifier: Apache-2.0

package place

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func idleEngines(n int) []candidate {
	engines := make([]candidate, n)
	for i := range engines {
		engines[i] = candidate{Server: &Server{ID: fmt.Sprintf("e%d", i), Slots: 48, SameHall: true}, index: i, slowness: 1}
	}
	return engines
}

func cloneOf(engines []candidate) []candidate {
	clone := slices.Clone(engines)
	for i, e := range engines {
		s := *e.Server
		clone[i].Server = &s
	}
	return clone
}

func promptOf(part string) Prompt {
	return Prompt{Shared: []Part{{"system", 500}, {part, 5000}}, Own: 1000}
}

func TestCheapestWithoutCandidates(t *testing.T) {
	_, _, ok := cheapest(promptOf("a"), nil)
	is.New(t).True(!ok)
}

// TestGatewaysAgreeOnFirstEngine checks that gateways agree on the first choice of a prompt without
// exchanging messages, and that it has no shared tokens to read.
func TestGatewaysAgreeOnFirstEngine(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(12)
	for i := range 50 {
		p := promptOf(fmt.Sprint(i))
		first, read, ok := cheapest(p, engines)
		is.True(ok)
		is.Equal(read, 1000)
		far := cloneOf(engines)
		for i := range far {
			far[i].SameHall = i%3 == 0 // for a gateway in another data hall
		}
		second, _, _ := cheapest(p, far)
		is.Equal(first.index, second.index)
	}
}

func TestPromptsSpread(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(12)
	counts := make([]int, 12)
	for i := range 1200 {
		c, _, _ := cheapest(promptOf(fmt.Sprint(i)), engines)
		counts[c.index]++
	}
	for _, n := range counts {
		is.True(n > 50 && n < 170)
	}
}

// TestLostEngineMovesOnlyItsOwnPrompts checks that the loss of an engine moves none of the prompts whose
// shared parts are cached on another one.
func TestLostEngineMovesOnlyItsOwnPrompts(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(12)
	rest := engines[1:]
	for i := range 200 {
		p := promptOf(fmt.Sprint(i))
		before, _, _ := cheapest(p, engines)
		after, _, _ := cheapest(p, rest)
		if before.index != 0 {
			is.Equal(before.ID, after.ID)
		}
	}
}

func TestLoadOutweighsAffinity(t *testing.T) {
	is := is.New(t)
	p := promptOf("a")
	for _, tt := range []struct {
		name   string
		load   func(*candidate)
		leaves bool
	}{
		{"idle", func(*candidate) {}, false},
		{"a short queue", func(e *candidate) { e.load.Tokens = 10000 }, false},
		{"a queue of some requests", func(e *candidate) { e.load.Tokens = 30000 }, false},
		{"a queue longer than reading again is worth", func(e *candidate) { e.load.Tokens = 50000 }, true},
		{"all slots taken", func(e *candidate) { e.load.Requests = 60 }, true},
		{"ten times slower", func(e *candidate) { e.slowness = 10; e.load.Tokens = 4000 }, true},
	} {
		engines := idleEngines(12)
		first, _, _ := cheapest(p, engines)
		tt.load(&engines[first.index])
		now, read, _ := cheapest(p, engines)
		is.Equal(now.index != first.index, tt.leaves) // tt.name
		if tt.leaves {
			is.Equal(read, p.Tokens())
		}
	}
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(3)
	engines[0].load.Requests, engines[2].load.Requests = 2, 1
	c, _, _ := cheapest(Prompt{}, engines)
	is.Equal(c.index, 1)
}

// TestOverloadedEnginesAreLeftInOrder overloads the engines of a prompt's order one after the other.
// Each time all gateways must agree on the next engine, so that the prompt's requests meet again.
func TestOverloadedEnginesAreLeftInOrder(t *testing.T) {
	is := is.New(t)
	p := promptOf("a")
	engines := idleEngines(12)
	var taken []int
	for range orderDepth {
		c, _, _ := cheapest(p, engines)
		is.True(!slices.Contains(taken, c.index))
		other := cloneOf(engines)
		for i := range other {
			other[i].SameHall = i%3 == 0
			other[i].load.Tokens += 100 * (len(other) - i) // a different load as well, lowest on the last engine
		}
		same, _, _ := cheapest(p, other)
		is.Equal(same.index, c.index)
		engines[c.index].load.Tokens = 100_000
		taken = append(taken, c.index)
	}
}

// TestSmallPromptsLeaveSooner checks that a small shared part does not justify a long wait.
func TestSmallPromptsLeaveSooner(t *testing.T) {
	is := is.New(t)
	small := Prompt{Shared: []Part{{"system", 100}, {"a", 100}}, Own: 600}
	large := promptOf("a")
	for _, tt := range []struct {
		ahead        int
		small, large bool // whether they leave their first engine
	}{{4000, false, false}, {10_000, true, false}, {50_000, true, true}} {
		for p, leaves := range map[*Prompt]bool{&small: tt.small, &large: tt.large} {
			engines := idleEngines(12)
			first, _, _ := cheapest(*p, engines)
			engines[first.index].load.Tokens = tt.ahead
			now, _, _ := cheapest(*p, engines)
			is.Equal(now.index != first.index, leaves)
		}
	}
}
