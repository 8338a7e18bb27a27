// SPDX-License-Identifier: Apache-2.0

package pool_test

import (
	"fmt"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// ExamplePool gives one slot to a pool in which two requests wait: the second
// starts once the first has ended.
func ExamplePool() {
	p := pool.New("llm", pool.Settings{
		Limits: share.Limits{Waiting: 100, Bytes: 1 << 20}, Linger: time.Second, FirstEstimate: 256, PrefixBlocks: 64,
	})
	p.Configure([]pool.Account{{Name: "hotel", Share: 1}}, []pool.Server{{Name: "e1", Slots: 1}})
	p.CacheEvent("e1", place.Event{Seq: 1, Cleared: true}) // of an engine that reports its cache
	now := time.Second
	p.Grant(now, protocol.Held{Server: "e1", Slots: 1})
	fmt.Println(p.Usable())
	for _, name := range []string{"first", "second"} {
		if err := p.Push(&pool.Work{Account: "hotel", Class: "batch", Value: name}); err != nil {
			fmt.Println(err)
		}
	}
	for p.Waiting() > 0 {
		for _, s := range p.Dispatch(now, true) {
			fmt.Println(s.Work.Value, "on", s.Server)
			p.Finish(now, s.Work, s.Server, 300, pool.Served)
		}
	}
	// Output:
	// map[e1:1]
	// first on e1
	// second on e1
}
