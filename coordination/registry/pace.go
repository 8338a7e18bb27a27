// SPDX-License-Identifier: Apache-2.0

package registry

import "time"

// This file defines the pace of a gateway's session with the leader: the periods of reports and of
// Fleet messages, the timeouts of both sides, and the pauses between attempts to connect.

// ReportPeriod is the time between two reports of a gateway.
const ReportPeriod = 100 * time.Millisecond

// FleetPeriod is the shortest time between two Fleet messages on one link.
const FleetPeriod = 100 * time.Millisecond

const (
	// maxFleetPeriod is the longest time between two Fleet messages on one link. It is shorter than
	// LeaderTimeout.
	maxFleetPeriod = 600 * time.Millisecond
	// linkBytesPerSecond bounds the Fleet messages on one link. It is below the 10 KB/s per node
	// that docs/CAPACITY.md allows for control.
	linkBytesPerSecond = 8 << 10
	// totalBytesPerSecond bounds the Fleet messages on all links from a leader and its relays to
	// gateways. With the bound per link alone, 300 gateways could be sent 2.4 MB/s, most of it to
	// other data halls, although each gateway has a smaller part of the requests the more gateways
	// there are.
	totalBytesPerSecond = 1 << 20
	// senderBytesPerSecond bounds the Fleet messages of each replica where sessions are spread. It
	// is half of the 500 KB/s that docs/CAPACITY.md allows the busiest replica. If all replicas
	// shared totalBytesPerSecond, a gateway's part would fall with the size of the fleet, to 1,064
	// B/s with 985 gateways, and not rise with the number of replicas.
	senderBytesPerSecond = 256 << 10
	// fleetLinkFraction is the part of a box's link that Fleet messages may use, since they are
	// only one of several kinds.
	fleetLinkFraction = 0.1
)

// FleetBudget is the rate, in bytes per second, that the Fleet messages on a group of links share.
type FleetBudget float64

// NewFleetBudget returns the budget of one sender: its own where sessions are spread, else that of
// all senders together. linkRate is in bytes per second, or 0 if it is not known.
func NewFleetBudget(spread bool, linkRate float64) FleetBudget {
	total := float64(totalBytesPerSecond)
	if spread {
		total = senderBytesPerSecond
	}
	if linkRate > 0 {
		total = min(total, fleetLinkFraction*linkRate)
	}
	return FleetBudget(total)
}

// LeaderTimeout is how long a gateway waits for a message from the leader before it closes the
// session. It is longer than maxFleetPeriod.
const LeaderTimeout = time.Second

// ReportTimeout is how long the leader waits for a gateway's report before it ends the session, so
// that the last report does not count forever. A gateway that receives nothing has by then closed
// the connection, after LeaderTimeout, and opened another one. The timeout covers 30 reports, so
// that a gateway that is merely late is rarely sent the whole list again.
const ReportTimeout = 3 * time.Second

// perLink returns the bytes per second of Fleet messages on each of the links that share the
// budget.
func (b FleetBudget) perLink(links int) float64 {
	return min(linkBytesPerSecond, float64(b)/float64(max(links, 1)))
}

// Loads returns the largest number of sums in a Fleet message on each of a number of links: what
// the budget allows in maxFleetPeriod at loadBytes each, less a tenth for the other fields.
func (b FleetBudget) Loads(links int) int {
	return int(0.9 * b.perLink(links) * maxFleetPeriod.Seconds() / loadBytes)
}

// Pause returns how long a sender waits after a Fleet message of a size in bytes on each of a
// number of links, so that they stay within their budget. Half a period is subtracted because the
// caller checks once per period.
func (b FleetBudget) Pause(size, links int) time.Duration {
	byBudget := time.Duration(float64(size) / b.perLink(links) * float64(time.Second))
	return min(max(byBudget, FleetPeriod), maxFleetPeriod) - FleetPeriod/2
}

// Pauses between two attempts to find the leader. After a power loss a leader is elected in 0.46 s,
// but gateways whose pause has grown find it 0.3 to 0.7 s later. The pause therefore stays short
// for the length of one or two elections.
const (
	redialPause     = 50 * time.Millisecond  // at first
	slowRedialPause = 300 * time.Millisecond // after fastRedials attempts
	fastRedials     = 60                     // attempts with the short pause
)

// RedialPause returns how long a gateway waits after that many consecutive failures to open a
// session.
func RedialPause(failures int) time.Duration {
	if failures > fastRedials {
		return slowRedialPause
	}
	return redialPause
}
