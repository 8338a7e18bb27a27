// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// This file defines silence, how long a backend may say nothing before another
// one is asked.

// Silence of a backend after which another one is asked.
const (
	silentObjectives = 2.5 // before the first part of an answer
	silentPauses     = 4.0 // between two parts
	shortestSilence  = 400 * time.Millisecond
	forever          = 24 * time.Hour
)

// silence watches one attempt. The zero value watches nothing.
type silence struct {
	timer *time.Timer // nil: not watched
	pause time.Duration
	ended atomic.Bool // the attempt was ended for its silence
}

// watchSilence cancels an attempt when the backend is silent for much longer
// than it should be, if another one may take the request up: otherwise silence
// justifies nothing. A gateway that is late itself may not have read what has
// come, so it waits on.
func (c *call) watchSilence(cancel context.CancelFunc) *silence {
	s := &silence{}
	if !c.route.MayRepeat() || c.attempts+1 >= c.route.Attempts {
		return s
	}
	s.pause = max(part(c.route.Pause, silentPauses), shortestSilence)
	s.timer = time.AfterFunc(forever, func() {
		if c.g.pressure.late(c.g.now()) {
			s.timer.Reset(shortestSilence)
			return
		}
		s.ended.Store(true)
		cancel()
	})
	s.timer.Reset(max(part(c.route.Objective, silentObjectives), shortestSilence))
	return s
}

// heard tells that something of the answer has come.
func (s *silence) heard() {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(s.pause)
	}
}

// stop ends the watch and reports whether the silence ended the attempt.
func (s *silence) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.ended.Load()
}
