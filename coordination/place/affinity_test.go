// SPDX-License-Identifier: Apache-2.0

package place

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func idleEngines(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{ID: fmt.Sprintf("e%d", i), Slots: 48, Slowness: 1, SameHall: true}
	}
	return engines
}

func promptOf(thing string) Prompt {
	return Prompt{Shared: []Part{{"system", 500}, {thing, 5000}}, Own: 1000}
}

func TestNoEngine(t *testing.T) {
	_, ok := ChooseEngine(promptOf("a"), nil)
	is.New(t).True(!ok)
}

// TestEqualPromptsMeet checks that routers choose alike without a message, and
// that the first choice reads nothing shared.
func TestEqualPromptsMeet(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(12)
	for i := range 50 {
		p := promptOf(fmt.Sprint(i))
		first, ok := ChooseEngine(p, engines)
		is.True(ok)
		is.Equal(first.Read, 1000)
		far := append([]Engine(nil), engines...)
		for i := range far {
			far[i].SameHall = i%3 == 0 // another router's data hall
		}
		second, _ := ChooseEngine(p, far)
		is.Equal(first.Index, second.Index)
	}
}

func TestPromptsSpread(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(12)
	counts := make([]int, 12)
	for i := range 1200 {
		c, _ := ChooseEngine(promptOf(fmt.Sprint(i)), engines)
		counts[c.Index]++
	}
	for _, n := range counts {
		is.True(n > 50 && n < 170)
	}
}

// TestLostEngineMovesOnlyItsOwn checks that prompts of other engines stay
// where their shared parts are kept.
func TestLostEngineMovesOnlyItsOwn(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(12)
	rest := engines[1:]
	for i := range 200 {
		p := promptOf(fmt.Sprint(i))
		before, _ := ChooseEngine(p, engines)
		after, _ := ChooseEngine(p, rest)
		if before.Index != 0 {
			is.Equal(engines[before.Index].ID, rest[after.Index].ID)
		}
	}
}

func TestLoadOutweighsAffinity(t *testing.T) {
	is := is.New(t)
	p := promptOf("a")
	for _, tt := range []struct {
		name   string
		load   func(*Engine)
		leaves bool
	}{
		{"idle", func(*Engine) {}, false},
		{"a short queue", func(e *Engine) { e.Tokens = 10000 }, false},
		{"a queue of some requests", func(e *Engine) { e.Tokens = 30000 }, false},
		{"a queue longer than reading again is worth", func(e *Engine) { e.Tokens = 50000 }, true},
		{"all slots taken", func(e *Engine) { e.Requests = 60 }, true},
		{"ten times slower", func(e *Engine) { e.Slowness = 10; e.Tokens = 4000 }, true},
	} {
		engines := idleEngines(12)
		first, _ := ChooseEngine(p, engines)
		tt.load(&engines[first.Index])
		now, _ := ChooseEngine(p, engines)
		is.Equal(now.Index != first.Index, tt.leaves) // tt.name
		if tt.leaves {
			is.Equal(now.Read, p.Tokens())
		}
	}
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(3)
	engines[0].Requests, engines[2].Requests = 2, 1
	c, _ := ChooseEngine(Prompt{}, engines)
	is.Equal(c.Index, 1)
}

// TestOverloadedEnginesGiveWayInOrder loads the engines of a prompt's order one
// after the other: each time all routers find the same next one, where others of
// its kind have gone before it.
func TestOverloadedEnginesGiveWayInOrder(t *testing.T) {
	is := is.New(t)
	p := promptOf("a")
	engines := idleEngines(12)
	var taken []int
	for range orderDepth {
		c, _ := ChooseEngine(p, engines)
		is.True(!slices.Contains(taken, c.Index))
		other := slices.Clone(engines)
		for i := range other {
			other[i].SameHall = i%3 == 0
			other[i].Tokens += 100 * (len(other) - i) // and other loads, the least at the end
		}
		same, _ := ChooseEngine(p, other)
		is.Equal(same.Index, c.Index)
		engines[c.Index].Tokens = 100_000
		taken = append(taken, c.Index)
	}
}

// TestSmallPromptsLeaveSooner: what little is shared is not worth a long wait.
func TestSmallPromptsLeaveSooner(t *testing.T) {
	is := is.New(t)
	small := Prompt{Shared: []Part{{"system", 100}, {"a", 100}}, Own: 600}
	large := promptOf("a")
	for _, tt := range []struct {
		ahead        int
		small, large bool // leave their first engine
	}{{4000, false, false}, {10_000, true, false}, {50_000, true, true}} {
		for p, leaves := range map[*Prompt]bool{&small: tt.small, &large: tt.large} {
			engines := idleEngines(12)
			first, _ := ChooseEngine(*p, engines)
			engines[first.Index].Tokens = tt.ahead
			now, _ := ChooseEngine(*p, engines)
			is.Equal(now.Index != first.Index, leaves)
		}
	}
}
