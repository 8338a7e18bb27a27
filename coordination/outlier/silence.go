// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines Doubt and Outage. Doubt tells a server that has stopped answering from a kept
// connection that fell silent: something on the way may forget connections, without a
// reset, while new ones work. So silence on a kept connection says nothing of the server
// until a connection opened after it is silent too. Outage tells that from connections to
// one server alone, so that not each server's are found out by requests that wait in vain.

// doubtFor is how long the silence of one connection excuses others opened before it. Above the time
// for which idle connections are kept.
const doubtFor = 10 * time.Second

// ServerSilence is what is known of the connections to one server. The zero value has no doubt.
type ServerSilence struct {
	since time.Duration // when a kept connection was silent first; 0: never
}

// ObserveSilence takes an attempt that began at a time, on a connection opened at another (0: it
// got none), and ended because nothing came. It returns the verdict on the server and whether the idle
// connections to it should be closed, so that the next request tries a new one.
func (d *ServerSilence) ObserveSilence(now, began, opened time.Duration) (v Verdict, drop bool) {
	kept := opened != 0 && opened < began
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

// togetherWithin is how soon after each other the connections to two servers must be found silent for
// it to be the network's doing. Requests of all kinds are given up within about two objectives.
const togetherWithin = 2 * time.Second

// Outage is what is known of silence on kept connections to all servers. The zero value
// knows of none.
type Outage struct {
	server string        // whose connection was found silent last
	at     time.Duration // when
	ended  time.Duration // when all idle connections were last closed; 0: never
}

// ObserveSilence takes that a kept connection to a server was silent, and reports whether all idle
// connections should be closed: two servers' were, and that was not done lately.
func (o *Outage) ObserveSilence(now time.Duration, server string) (dropAll bool) {
	together := o.server != "" && o.server != server && now-o.at <= togetherWithin
	o.server, o.at = server, now
	if !together || o.ended != 0 && now-o.ended <= doubtFor {
		return false
	}
	o.ended = now
	return true
}
