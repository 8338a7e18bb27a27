// SPDX-License-Identifier: Apache-2.0

package registry

import "time"

// This file defines Spread, which decides whether the gateways' sessions are spread over all
// replicas.
//
// When gateways reconnect, or a leader is new, the number of list entries to send at once is the
// number of gateways times the number of servers. If that takes the leader's link less than a tenth
// of a second, the leader serves all gateways itself, which saves a hop. Otherwise each replica
// serves some of them, and the leader sends each list once to each replica.

const (
	// maxListTime is how long the lists of all gateways may take a leader's link: a quarter of an
	// election timeout.
	maxListTime = 100 * time.Millisecond
	// gatherFraction is the fraction of maxListTime below which sessions return to the leader. The
	// gap between the two limits provides hysteresis against gateways that come and go.
	gatherFraction = 0.25
	// gatherDelay is how long the lists must have been below that fraction. It is longer than the
	// recovery of a fleet from a power loss.
	gatherDelay = 5 * time.Minute
	// defaultEntryBytes is the size of a server's entry in a list, in bytes (docs/CAPACITY.md).
	defaultEntryBytes = 75
)

// Spread decides whether gateways' sessions are spread over the replicas. The zero value is ready
// to use.
type Spread struct {
	smallSince time.Duration // when the lists fell below gatherFraction; 0 while they are above
}

// Decide returns whether the sessions are to be spread. spread is the present state, and linkRate
// is the rate of the leader's link in bytes per second; if it is 0, the state does not change.
func (s *Spread) Decide(now time.Duration, spread bool, gateways, servers int, linkRate float64) bool {
	if linkRate <= 0 {
		return spread
	}
	sendTime := time.Duration(float64(gateways) * ListBytes(servers) / linkRate * float64(time.Second))
	switch {
	case !spread:
		s.smallSince = 0
		return sendTime > maxListTime
	case float64(sendTime) >= gatherFraction*float64(maxListTime):
		s.smallSince = 0
	case s.smallSince == 0:
		s.smallSince = now
	}
	return s.smallSince == 0 || now-s.smallSince < gatherDelay
}

// ListBytes returns the expected size of a list in bytes.
func ListBytes(servers int) float64 { return defaultEntryBytes * float64(servers) }
