// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// This file defines stallTimer, how long a backend server may say nothing before another
// one is asked.

// Silence of a backend server after which another one is asked.
const (
	stallObjectives = 2.5 // before the first part of an answer
	stallGaps       = 4.0 // between two parts
	minStall        = 400 * time.Millisecond
	forever         = 24 * time.Hour
)

// stallTimer watches one attempt. The zero value watches nothing.
type stallTimer struct {
	timer   *time.Timer // nil: not watched
	gap     time.Duration
	expired atomic.Bool // the attempt was ended for its silence
}

// watchStall cancels an attempt when the backend server is silent for much longer
// than it should be, if another one may take the request up: otherwise silence
// justifies nothing. A gateway that is late itself may not have read what has
// come, so it waits on.
func (c *call) watchStall(cancel context.CancelFunc) *stallTimer {
	s := &stallTimer{}
	if !c.route.MayRepeat() || c.attempts+1 >= c.route.MaxAttempts {
		return s
	}
	s.gap = max(part(c.route.EventGap, stallGaps), minStall)
	s.timer = time.AfterFunc(forever, func() {
		if c.g.overload.Load().Late(c.g.now()) {
			s.timer.Reset(minStall)
			return
		}
		s.expired.Store(true)
		cancel()
	})
	s.timer.Reset(max(part(c.route.Objective, stallObjectives), minStall))
	return s
}

// progressed tells that something of the answer has come.
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
