// SPDX-License-Identifier: Apache-2.0

package consensus_test

import (
	"fmt"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// A group of one replica elects itself and commits a command. A caller with a disk
// writes, sends and applies the contents of Ready before it calls Advance.
func ExampleReplica() {
	self := protocol.Peer{Name: "a", Incarnation: 1}
	group := protocol.Snapshot{
		Group: 7, Index: 1, Term: 1, Members: protocol.Membership{Voters: []protocol.Peer{self}},
	}
	r := consensus.New(consensus.Config{
		Name: "config", Self: self, ElectionTimeout: time.Second, HeartbeatInterval: 200 * time.Millisecond,
		Rand: func(int64) int64 { return 0 },
	}, 0, consensus.DurableState{Hard: protocol.HardState{Term: 1}, Snapshot: group})
	processReady := func() {
		for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
			for _, e := range ready.Committed {
				fmt.Printf("term %d, index %d: %q\n", e.Term, e.Index, e.Data)
			}
			r.Advance()
		}
	}
	r.Tick(0)
	processReady()
	if _, _, err := r.Propose([]byte("x=1")); err != nil {
		fmt.Println(err)
	}
	processReady()
	// Output:
	// term 2, index 2: ""
	// term 2, index 3: "x=1"
}
