// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"fmt"
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// A router reports waiting work and is granted a slot with the next view.
func ExampleAllocator() {
	a := slots.NewAllocator(1, 0, slots.DefaultLease, slots.Pace{}, nil)
	a.Configure(
		[]slots.Server{{Name: "s1", Pool: "llm", Slots: 2, Serving: true}},
		[]slots.Account{{Name: "hotel", Share: 1}},
	)
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 7})
	a.Report(0, "r1", protocol.Report{Pools: []protocol.PoolReport{{
		Pool: "llm", Accounts: []protocol.AccountReport{{Account: "hotel", Waiting: 1}},
	}}})
	a.Allocate(0)
	for _, o := range a.Views(time.Second) {
		for _, h := range o.View.Granted {
			fmt.Println(o.Router, h.Server, h.Slots)
		}
	}
	// Output: r1 s1 1
}

// A router reuses a slot unless its next account is ahead of the fleet's floor by more than
// the slack.
func ExampleDecide() {
	view := slots.FleetView{Short: true, Floor: 100, Slack: 10}
	for _, best := range []float64{105, 120, math.Inf(1)} {
		switch slots.Decide(0, best, false, view) {
		case slots.Use:
			fmt.Println(best, "use")
		case slots.Return:
			fmt.Println(best, "return")
		}
	}
	// Output:
	// 105 use
	// 120 return
	// +Inf return
}
