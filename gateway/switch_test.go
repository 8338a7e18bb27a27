// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests what a gateway does from the switch of a rollout on, and with a verdict that
// the log may lack.

// TestRequestsMoveToEngines over a while after the switch, and those of a plain service at once.
func TestRequestsMoveToEngines(t *testing.T) {
	is := is.New(t)
	p := &pool{}
	p.applyRollout(time.Second, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.04})
	p.applyRollout(10*time.Second, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
	r := p.rollout
	is.True(!r.isRamping(10 * time.Second))
	r.isEngine = true
	p.applyRollout(10*time.Second+switchDuration/2, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1, Final: true}) // the same switch
	is.True(r.isRamping(10*time.Second + switchDuration/2))
	is.Equal(r.rampedShare(10*time.Second+switchDuration/2), 0.5)
	is.True(!r.isRamping(10*time.Second + switchDuration))
}

// TestFinalShareStays: once complete is about to be said, the target has all requests without a
// session as well, since the old servers may stop; until another list says otherwise.
func TestFinalShareStays(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"old": 10}) // no report was counted
		x.sendRollout(1, 2, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1, Final: true})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
		x.g.table.endShares()
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1, Target: "v2"}) // of a leader that did not say complete
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"old": 10})
	}, oldAndNew...)
}

// TestNextLeaderLearnsWhyAVersionIsBarred: a verdict that the log does not have yet is lost with
// its leader. The next one has to see what it rested on, or it takes no requests at all for few
// of which none speaks against the version.
func TestNextLeaderLearnsWhyAVersionIsBarred(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.draw()
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.25})
		x.renewShares()
		x.countAnswers("/once/1", 100)
		x.g.table.takeOutcomes(x.g.now())
		x.sendRollout(1, 2, protocol.Rollout{Attempt: 1, Target: "v2", Barred: []string{"v2"}})
		x.g.table.update(protocol.Servers{Term: 2, Whole: true}) // the next leader's session
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.04})
		var sent uint64
		outcomes, _ := x.g.table.takeOutcomes(x.g.now())
		for _, o := range outcomes {
			sent += o.Sent
		}
		is.Equal(sent, uint64(100))
	}, oldAndNew...)
}
