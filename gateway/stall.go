// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines stallTimer, which ends an attempt whose backend server sends nothing for too
// long.

// stallTimer watches one attempt. The zero value watches nothing.
type stallTimer struct {
	timer   *time.Timer   // nil if the attempt is not watched
	maxGap  time.Duration // longest time between two parts of the answer
	paused  bool          // silence is not watched for now
	expired atomic.Bool   // the attempt was ended because it stalled
}

// initialTimeout is the duration with which watchStall creates its timer and which it replaces at
// once. Until then the timer must not fire, because its function refers to the timer.
const initialTimeout = 24 * time.Hour

// watchStall cancels an attempt when its backend server stalls. While the gateway is delayed
// itself, the timer is extended, since received data may not have been read yet.
func (c *call) watchStall(cancel context.CancelFunc) *stallTimer {
	s := &stallTimer{}
	first, gap, watched := retry.StallTimeouts(c.route, c.counts.Runs)
	if !watched {
		return s
	}
	s.maxGap = gap
	s.timer = time.AfterFunc(initialTimeout, func() {
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

// progressed restarts the wait because a part of the answer has arrived.
func (s *stallTimer) progressed() {
	if s.timer != nil && (s.timer.Stop() || s.paused) {
		s.paused = false
		s.timer.Reset(s.maxGap)
	}
}

// pause ends the watch until the next part of the answer, because no other server could continue it now.
func (s *stallTimer) pause() {
	if s.timer != nil && s.timer.Stop() {
		s.paused = true
	}
}

// stop ends the watch and reports whether the attempt was ended because it stalled.
func (s *stallTimer) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.expired.Load()
}
