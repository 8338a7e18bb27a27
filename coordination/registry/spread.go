// SPDX-License-Identifier: Apache-2.0

package registry

import "time"

// This file defines Spread, whether one replica can serve all gateways.
//
// What a leader sends all its gateways at once, when they come back or when it is new, is gateways
// times servers. Below a tenth of a second of its link it serves them itself, which is a hop
// shorter. Above, each replica serves a part of them, and the leader sends once to each replica what
// all gateways get.

const (
	// spreadFrom is how long the lists of all gateways may take a leader's link: a quarter of an
	// election timeout.
	spreadFrom = 100 * time.Millisecond
	// spreadPart is the part of that below which sessions are gathered again: the number of those that
	// come and go must not decide.
	spreadPart = 0.25
	// spreadStays is for how long it must have been so. Longer than it takes a fleet that has lost
	// power to come back.
	spreadStays = 5 * time.Minute
	// serverBytes is a server's part of a list, in bytes (docs/CAPACITY.md).
	serverBytes = 75
)

// Spread decides whether gateways' sessions are spread over the replicas. The zero value has seen
// nothing.
type Spread struct {
	fewSince time.Duration // 0: not few
}

// Decide returns whether the sessions are to be spread, now that they are so or not, on a leader's
// link of some bytes a second; without a rate they stay as they are.
func (s *Spread) Decide(now time.Duration, spread bool, gateways, servers int, linkRate float64) bool {
	if linkRate <= 0 {
		return spread
	}
	takes := time.Duration(float64(gateways) * ListBytes(servers) / linkRate * float64(time.Second))
	switch {
	case !spread:
		s.fewSince = 0
		return takes > spreadFrom
	case float64(takes) >= spreadPart*float64(spreadFrom):
		s.fewSince = 0
	case s.fewSince == 0:
		s.fewSince = now
	}
	return s.fewSince == 0 || now-s.fewSince < spreadStays
}

// ListBytes returns the size of a list of some servers, in bytes.
func ListBytes(servers int) float64 { return serverBytes * float64(servers) }
