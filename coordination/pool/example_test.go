// SPDX-License-Identifier: Apache-2.0

package pool_test

import (
	"bytes"
	"fmt"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// Work starts on a granted slot of the server that has its prompt cached according to the server's cache
// events.
func ExamplePool() {
	p := pool.New("llm", pool.Settings{PrefixBlocks: 1000, FirstEstimate: 100})
	p.Configure(
		[]pool.Account{{Name: "hotel", Share: 1}},
		[]pool.Server{{Name: "s1", Slots: 4}, {Name: "s2", Slots: 4}},
	)
	prompt := place.Blocks(bytes.Repeat([]byte("x"), 4*place.BlockBytes))
	p.RecordCacheEvent("s2", place.CacheEvent{Seq: 1, Stored: prompt})
	if err := p.Push(&pool.Work{Account: "hotel", Blocks: prompt}); err != nil {
		fmt.Println(err)
	}
	fmt.Println("without a slot:", len(p.Dispatch(0, true)))
	p.Grant(0, protocol.ServerSlots{Server: "s1", Slots: 1})
	p.Grant(0, protocol.ServerSlots{Server: "s2", Slots: 1})
	for _, s := range p.Dispatch(0, true) {
		fmt.Println("starts on", s.Server)
		p.Finish(0, s.Work, s.Server, 80, pool.Served)
	}
	// Output:
	// without a slot: 0
	// starts on s2
}
