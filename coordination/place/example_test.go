// SPDX-License-Identifier: Apache-2.0

package place_test

import (
	"bytes"
	"fmt"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// Cache events published by an engine are recorded in the index, even if this router has sent it no
// request yet.
func ExampleIndex_Apply() {
	x := place.NewIndex(1000)
	prompt := place.Blocks(bytes.Repeat([]byte("x"), 2*place.BlockBytes))
	x.Apply("s1", place.CacheEvent{Seq: 1, Stored: prompt})
	fmt.Println("after storing:", x.ExpectedCachedBlocks("s1", prompt))
	x.Apply("s1", place.CacheEvent{Seq: 3}) // event 2 was lost
	fmt.Println("after a gap:", x.ExpectedCachedBlocks("s1", prompt))
	x.Apply("s1", place.CacheEvent{Seq: 4, Cleared: true})
	fmt.Println("after clearing:", x.ExpectedCachedBlocks("s1", prompt))
	// Output:
	// after storing: 2
	// after a gap: 1
	// after clearing: 0
}

// A router prefers the server expected to have the prompt cached, until its load is too high.
func ExampleSlotPlacer() {
	p := place.NewSlotPlacer(1000)
	prompt := place.Blocks(bytes.Repeat([]byte("x"), 4*place.BlockBytes))
	p.Index.Sent("s2", prompt)
	free := []place.FreeServer{{Server: "s1", Slots: 4}, {Server: "s2", Slots: 4, Running: 1}}
	fmt.Println(p.Choose(0, free, prompt))
	p.RecordLoad("s2", place.LoadReport{Running: 4, Waiting: 8})
	fmt.Println(p.Choose(0, free, prompt))
	// Output:
	// s2 true
	// s1 true
}

// A gateway chooses the cheapest server and learns whether it has capacity now.
func ExampleCapacityPlacer() {
	var p place.CapacityPlacer
	r := place.Request{
		Prompt: place.Prompt{Own: 2000}, Engine: true,
		Class: entitlement.Entitled, Objective: 400 * time.Millisecond,
	}
	busy := place.Server{ID: "s1", Slots: 8, SameHall: true, Own: place.Work{Requests: 2, Tokens: 50_000}}
	idle := place.Server{ID: "s2", Slots: 8, SameHall: true}
	fmt.Printf("%+v\n", p.Choose(r, []place.Server{busy, idle}))
	fmt.Printf("%+v\n", p.Choose(r, []place.Server{busy}))
	// Output:
	// {Index:1 Bound: Read:2000 Before:{Requests:0 Tokens:0} Slowness:1}
	// {Index:0 Bound:reading Read:2000 Before:{Requests:2 Tokens:50000} Slowness:1}
}
