// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines stallTimer, which ends an attempt whose backend server
// sends nothing for too long.

// stallTimer watches one attempt. The zero value watches nothing.
type stallTimer struct {
	timer   *time.Timer // nil: not watched
	gap     time.Duration
	expired atomic.Bool // the attempt was ended for its silence
}

// disarmed is the timer's wait until its own function can refer to it: any time longer
// than a call to Reset takes.
const disarmed = 24 * time.Hour

// watchStall cancels an attempt when its backend server stalls. A gateway that
// is late itself may not have read what has come, so it waits on.
func (c *call) watchStall(cancel context.CancelFunc) *stallTimer {
	s := &stallTimer{}
	first, gap, watched := retry.StallTimeouts(c.route, c.counts.Runs)
	if !watched {
		return s
	}
	s.gap = gap
	s.timer = time.AfterFunc(disarmed, func() {
		if c.g.overload.Load().Late(c.g.now()) {
			s.timer.Reset(retry.MinStall)
			return
		}
		s.expired.Store(true)
		cancel()
	})
	s.timer.Reset(first)
	return s
}

// progressed restarts the wait: a part of the answer has come.
func (s *stallTimer) progressed() {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(s.gap)
	}
}

// stop ends the watch and reports whether the silence ended the attempt.
func (s *stallTimer) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.expired.Load()
}
