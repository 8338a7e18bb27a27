// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests the last step of a rollout: gateways are informed that the old servers may stop before
// completion is committed to the log.

// TestCompletionWaitsForFinalList checks that completion waits until all gateways apply the list that
// announces it, but only briefly for a gateway that does not.
func TestCompletionWaitsForFinalList(t *testing.T) {
	for _, applies := range []bool{false, true} {
		t.Run(fmt.Sprint("applies ", applies), func(t *testing.T) {
			withFleet(t, 3, func(x *fleet) {
				is := is.New(x.t)
				v := &versionedServers{}
				x.withRollout(v, func() {
					ctx, cancel := context.WithCancel(x.t.Context())
					var session sync.WaitGroup
					var waited time.Duration
					session.Go(func() { waited = x.runGatewayUntilComplete(ctx, applies) })
					state, after := x.awaitRolloutEnd(v)
					session.Wait()
					cancel()
					is.Equal(state, document.RolloutComplete)
					is.True(after < rolloutTime)
					is.True(waited > 0)
					is.Equal(waited < 500*time.Millisecond, applies)
				})
			})
		})
	}
}

// runGatewayUntilComplete runs a gateway that applies every list, but the final one only if appliesFinal.
// It returns the time from the final list to the next one.
func (x *fleet) runGatewayUntilComplete(ctx context.Context, appliesFinal bool) time.Duration {
	is := is.New(x.t)
	id := link.Identity{Name: "10.0.2.9:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.9").DialContext}
	l, err := link.Dial(ctx, x.awaitLeader().ip+":7400", id, nil)
	is.NoErr(err)
	defer l.Close()
	is.NoErr(l.Send(ctx, protocol.Watch{Gateway: id.Name, SupportsRollouts: true}))
	var u protocol.Usage
	var final time.Time
	for {
		m, err := l.ReceiveWithIdleTimeout(ctx, time.Second)
		if err != nil {
			return 0
		}
		switch m := m.(type) {
		case protocol.Rollouts:
			isFinal := len(m.List) > 0 && m.List[0].Final
			switch {
			case isFinal && final.IsZero():
				final = time.Now()
			case !isFinal && !final.IsZero():
				return time.Since(final)
			}
			if !isFinal || appliesFinal {
				u.AppliedRollouts = m.Seq
			}
		case protocol.Fleet:
			u.Seq++
			_ = l.Send(ctx, u) // fails when the session has ended; the next receive fails as well
		}
	}
}

// maxTakeoverTime bounds the time from the end of the leader to the completion of a rollout that is past
// the switch: an election (two timeouts of 0.4 s), a new leader's wait for reports (1 s), and the steps
// until all gateways apply the list. If the switch were missing in the log, it would take 2.8 to 3.2 s.
const maxTakeoverTime = 2500 * time.Millisecond

// TestNewLeaderContinuesAfterSwitch checks that a new leader continues after the switch that the previous
// leader made. The new leader has no record of the trial, whose bound is used up.
func TestNewLeaderContinuesAfterSwitch(t *testing.T) {
	for _, at := range []time.Duration{7400 * time.Millisecond, 7700 * time.Millisecond, 8 * time.Second} {
		t.Run(at.String(), func(t *testing.T) {
			withFleet(t, 5, func(x *fleet) {
				is := is.New(x.t)
				v := &versionedServers{}
				x.withRollout(v, func() {
					time.Sleep(at)
					x.awaitLeader().kill()
					state, after := x.awaitRolloutEnd(v)
					x.t.Logf("complete after %v", after)
					is.Equal(state, document.RolloutComplete)
					is.True(after < at+maxTakeoverTime)
				})
			})
		})
	}
}
