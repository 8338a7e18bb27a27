// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests rollouts to a version with some cold servers.

const (
	coldRate = 18 // requests per second that a cold server can serve
	coldTime = 9 * time.Second
)

// coldServers are servers b1 to b9, of the target's version from b4 on. From the order on, those with
// even numbers from b4 are cold: they answer five times slower, and fail requests above coldRate.
type coldServers struct{ countedServers }

// coldLeft returns how long a server stays cold.
func (c *coldServers) coldLeft(n int) time.Duration {
	c.versionedServers.mu.Lock()
	defer c.versionedServers.mu.Unlock()
	if n < 4 || n%2 == 1 || c.orderedAt.IsZero() {
		return 0
	}
	return max(coldTime-time.Since(c.orderedAt), 0)
}

func (c *coldServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	cold := false
	for n := 4; n <= 9; n++ {
		cold = cold || at == serverAddress(fmt.Sprint("b", n)) && c.coldLeft(n) > 0
	}
	if !cold {
		return c.countedServers.Send(ctx, at, call)
	}
	c.arrivalLog.record(at)
	_, lately := c.arrivalLog.countSince(at, time.Now().Add(-time.Second))
	if !sleep.For(ctx, 80*time.Millisecond) {
		return nil, forward.MayHaveRun{Server: at, Err: ctx.Err()}
	}
	answer, err := c.versionedServers.Send(ctx, at, call)
	if lately > coldRate && err == nil {
		answer.Status = 500
	}
	return answer, err
}

// versionQualities lists a version that fails nothing and one that fails a fifth of its requests, with the
// ends of their rollouts.
var versionQualities = []struct {
	name  string
	fails func(time.Duration) float64
	state document.RolloutState
}{
	{"good", nil, document.RolloutComplete},
	{"bad", func(time.Duration) float64 { return 0.2 }, document.RolloutRolledBack},
}

// TestRolloutToColdServers checks that no cold server gets more requests than its rate from all gateways
// together in any second, that a good version completes in time, and that a bad one is rolled back
// within its bound.
func TestRolloutToColdServers(t *testing.T) {
	for _, test := range versionQualities {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 5, func(x *fleet) {
				is := is.New(x.t)
				v := &versionedServers{fails: test.fails}
				c := &coldServers{countedServers: newCountedServers(v)}
				x.runScenario(v, rolloutScenario{document: coldDocument(1, coldRate), load: x.steadyLoad(c, rolloutPeriod), announce: func() {
					for n := range 9 {
						x.announceVersioned(registry.Announcement{Registration: versionedServer(n + 1), ColdLeft: c.coldLeft(n + 1)})
					}
				}}, func() {
					state, after := x.awaitRolloutEnd(v)
					is.Equal(state, test.state)
					is.True(after <= rolloutTime)
					time.Sleep(coldTime - time.Since(v.orderedAt))
					for n := 4; n <= 9; n += 2 {
						all, most := c.arrivalLog.countSince(serverAddress(fmt.Sprint("b", n)), v.orderedAt)
						x.t.Logf("ended after %v; cold server b%d got %d, %d in one second", after, n, all, most)
						is.True(most <= coldRate)
						is.True(all > 0 || test.fails != nil)
					}
					is.True(test.fails == nil || minHeadroom(v) >= 0)
				})
			})
		})
	}
}
