// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests what a gateway does after the switch of a rollout, and with a verdict that may be
// missing from the replicated log.

// TestRequestsMoveGraduallyToEngines checks that requests move gradually to engines of the target
// after the switch, and at once to a plain service.
func TestRequestsMoveGraduallyToEngines(t *testing.T) {
	is := is.New(t)
	p := &pool{}
	p.applyRollout(time.Second, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.04})
	p.applyRollout(10*time.Second, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
	r := p.rollout
	is.True(!r.isRamping(10 * time.Second))
	r.isEngine = true
	p.applyRollout(10*time.Second+switchDuration/2, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1, Final: true}) // still the same switch
	is.True(r.isRamping(10*time.Second + switchDuration/2))
	is.Equal(r.rampedShare(10*time.Second+switchDuration/2), 0.5)
	is.True(!r.isRamping(10*time.Second + switchDuration))
}

// TestFinalShareStaysWithoutSession checks that once the rollout is about to be reported complete,
// the target gets all requests even without a session, since the old servers may stop, until
// another list says otherwise.
func TestFinalShareStaysWithoutSession(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"old": 10}) // no report has been counted
		x.sendRollout(1, 2, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1, Final: true})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
		x.g.table.endShares()
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1, Target: "v2"}) // from a leader that has not reported it complete
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"old": 10})
	}, oldAndNew...)
}

// TestOutcomesAreReportedAgainToNextLeader checks that outcomes are reported again to a new leader.
// A verdict that is not yet in the replicated log is lost with its leader, and the next one must
// see its evidence again: otherwise it would take the absence of requests for the absence of
// failures.
func TestOutcomesAreReportedAgainToNextLeader(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.cycleDraws()
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.25})
		x.renewShares()
		x.countAnswers("/once/1", 100)
		x.g.table.takeOutcomes(x.g.now())
		x.sendRollout(1, 2, protocol.Rollout{Attempt: 1, Target: "v2", Barred: []string{"v2"}})
		x.g.table.update(protocol.Servers{Term: 2, Whole: true}) // session with the next leader
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.04})
		var sent uint64
		outcomes, _ := x.g.table.takeOutcomes(x.g.now())
		for _, o := range outcomes {
			sent += o.Sent
		}
		is.Equal(sent, uint64(100))
	}, oldAndNew...)
}
