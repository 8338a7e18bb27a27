// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines ServerSilence and Outage, which interpret connections on which no answer arrives.
//
// A middlebox may drop the state of idle connections without a reset while new ones still work. Silence on
// a reused connection is therefore no evidence against the server until a connection opened later is silent
// too. ServerSilence distinguishes the two cases for one server. Outage detects that the connections to
// several servers are affected, so that the idle connections to the others can be closed before requests
// wait for answers on them.

// silenceMemory is how long silence on a reused connection makes silence on connections opened before it
// inconclusive. It is longer than the time for which idle connections are kept.
const silenceMemory = 10 * time.Second

// ServerSilence tracks silent connections to one server. The zero value has recorded none.
type ServerSilence struct {
	firstSilent time.Duration // first silence on a reused connection; zero if none
}

// ObserveSilence records an attempt that ended because no answer arrived, with the time it began and the
// time its connection was opened, 0 if there was none. It returns the verdict on the server, and whether its
// idle connections should be closed so that the next request opens a new one.
func (s *ServerSilence) ObserveSilence(now, began, opened time.Duration) (v Verdict, drop bool) {
	reused := opened != 0 && opened < began
	switch {
	case !reused:
		return Lost, false
	case s.firstSilent == 0 || now-s.firstSilent > silenceMemory:
		s.firstSilent = now
		return NoVerdict, true
	case opened <= s.firstSilent:
		return NoVerdict, false
	}
	return Lost, false
}

// outageWindow is the maximum interval between silent connections to two servers for these to count as an
// outage of the network. Requests of any kind are given up within about two objectives.
const outageWindow = 2 * time.Second

// Outage tracks silent reused connections to all servers. The zero value has recorded none.
type Outage struct {
	lastServer string        // server of the last silent connection
	lastSilent time.Duration // time of the last silence
	closedAt   time.Duration // when all idle connections were last closed; zero if never
}

// ObserveSilence records silence on a reused connection to a server. It reports whether all idle connections
// should be closed: two servers are affected, and that has not been done recently.
func (o *Outage) ObserveSilence(now time.Duration, server string) (dropAll bool) {
	together := o.lastServer != "" && o.lastServer != server && now-o.lastSilent <= outageWindow
	o.lastServer, o.lastSilent = server, now
	if !together || o.closedAt != 0 && now-o.closedAt <= silenceMemory {
		return false
	}
	o.closedAt = now
	return true
}
