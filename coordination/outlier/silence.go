// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines Doubt, which tells a server that has stopped answering from a kept
// connection that fell silent: something on the way may forget connections, without a
// reset, while new ones work. So silence on a kept connection says nothing of the server
// until a connection opened after it is silent too.

// doubtFor is how long the silence of one connection excuses others opened before it.
// Chosen, not measured: above the time for which idle connections are kept.
const doubtFor = 10 * time.Second

// Doubt is what is known of the connections to one server. The zero value has no doubt.
type Doubt struct {
	since time.Duration // when a kept connection was silent first; 0: never
}

// Silent takes an attempt that began at a time, on a connection opened at another, and
// ended because nothing came. It returns the verdict on the server and whether the idle
// connections to it should be closed, so that the next request tries a new one.
func (d *Doubt) Silent(now, began, opened time.Duration) (v Verdict, drop bool) {
	kept := opened < began
	switch {
	case !kept:
		return Lost, false
	case d.since == 0 || now-d.since > doubtFor:
		d.since = now
		return NoVerdict, true
	case opened <= d.since:
		return NoVerdict, false
	}
	return Lost, false
}
