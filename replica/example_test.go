// SPDX-License-Identifier: Apache-2.0

package replica_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
)

// register is a state machine that keeps the newest command.
type register struct{ value string }

func (r *register) Apply(data []byte) any      { r.value = string(data); return r.value }
func (r *register) Snapshot() ([]byte, error)  { return []byte(r.value), nil }
func (r *register) Restore(image []byte) error { r.value = string(image); return nil }

// A group of one replica elects itself and returns the state machine's result to the
// proposer.
func ExampleReplica() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r, err := replica.Start(ctx, replica.Settings{
		Group: "config", Name: "a", Names: []string{"a"}, Dir: fakedisk.New(1), StateMachine: &register{},
		Send: func(protocol.Consensus) {}, Tuning: replica.Tuning{HeartbeatInterval: 5 * time.Millisecond}.WithDefaults(),
		Random: rand.New(rand.NewPCG(1, 1)).Uint64, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for {
		result, err := r.Propose(ctx, []byte("x=1"))
		if errors.As(err, new(consensus.NotLeader)) {
			time.Sleep(time.Millisecond) // the group is still forming
			continue
		}
		fmt.Println(result, err)
		return
	}
	// Output: x=1 <nil>
}
