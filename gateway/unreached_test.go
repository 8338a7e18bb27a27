// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests how attempts at unreachable servers of a target are counted.

// failedAtTarget returns the number of attempts at the target that are reported as failed.
func (x *fixture) failedAtTarget() (failed uint64) {
	x.g.table.reportAllOutcomes() // the next report has all outcomes
	outcomes, _ := x.g.table.takeOutcomes(x.g.now())
	for _, o := range outcomes {
		if o.Version == "v2" {
			failed += o.Failed
		}
	}
	return failed
}

// requestRepeatedly sends requests with pauses that are too short for an ejection to end.
func (x *fixture) requestRepeatedly(times int) {
	for range times {
		x.renewShares()
		x.request("/again/1", "Patience", "800")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestOneUnreachableServerIsNoVersionFailure checks that attempts at one unreachable server of
// several do not count as failures of the version, and that attempts at two unreachable ones, or at
// the only one, do.
func TestOneUnreachableServerIsNoVersionFailure(t *testing.T) {
	unreachable, fine := fails(forward.NotRun{Err: errReset}), answers(200, "new", time.Millisecond)
	old := answers(200, "old", time.Millisecond)
	for _, tt := range []struct {
		name   string
		counts bool
		target []behaviour
	}{
		{"one of two", false, []behaviour{unreachable, fine}},
		{"both", true, []behaviour{unreachable, unreachable}},
		{"the only one", true, []behaviour{unreachable}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				x.setVersions([]string{"v1", "v2", "v2"}[:1+len(tt.target)]...)
				x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
				x.requestRepeatedly(20)
				is.New(x.t).Equal(x.failedAtTarget() > 0, tt.counts)
			}, append([]behaviour{old}, tt.target...)...)
		})
	}
}

// TestUnreachableServerThatAnswersCountsAsFailed checks that attempts count as failed if a server
// refuses some connections and answers others, but not if it has restarted.
func TestUnreachableServerThatAnswersCountsAsFailed(t *testing.T) {
	is := is.New(t)
	c := &tally{}
	u := unreached{}
	u.add(time.Second, "a", c)
	u.recordAnswer(time.Second+minRestartTime, "a")
	is.Equal(c.failed, uint64(0))
	u.add(5*time.Second, "a", c)
	u.add(5*time.Second, "a", c)
	u.recordAnswer(5*time.Second+minRestartTime/2, "a")
	is.Equal(c.failed, uint64(2))
	is.True(c.changed)
	u.add(6*time.Second, "a", c)
	u.add(6*time.Second+unreachedExpiry, "b", c) // long after the attempts at a
	is.Equal(c.failed, uint64(2))
	u.add(7*time.Second+unreachedExpiry, "a", c)
	is.Equal(c.failed, uint64(4))
	u = unreached{}
	for range 2 * maxUnreachedAttempts {
		u.add(time.Second, "a", c)
	}
	is.Equal(c.failed, uint64(4))
	u.add(time.Second, "b", c)
	is.Equal(c.failed, uint64(4+maxUnreachedAttempts+1))
}
