// SPDX-License-Identifier: Apache-2.0

package registry

import "time"

// This file defines the pace of a gateway's session with the leader: how often it
// reports, how often it gets the state of the fleet, when a silent leader is left, and
// when the next one is tried.

// ReportPeriod is the time between two reports of a gateway. It was 250 ms until the
// commit "Gateway: admit by the time before an engine begins to read", which measured
// it only together with its other changes.
const ReportPeriod = 100 * time.Millisecond

// FleetPeriod is the shortest time between two Fleet messages on one link.
const FleetPeriod = 100 * time.Millisecond

const (
	// fleetLongest is the longest time between two Fleet messages on one link, below
	// SilenceLimit.
	fleetLongest = 600 * time.Millisecond
	// fleetBudget is the bytes a second of Fleet messages on one link, below the
	// 10 KB/s a node that docs/CAPACITY.md grants to control.
	fleetBudget = 8 << 10
	// fleetTotal is the bytes a second of Fleet messages on all links of a leader and of its
	// relays to gateways. With the budget of a link alone 300 gateways may be sent 2.4 MB/s, most
	// of it to other data halls, and each has the smaller part of the requests the more there are.
	// Chosen, not measured by itself.
	fleetTotal = 1 << 20
	// senderTotal is the same for each replica where sessions are spread: half of the 500 KB/s to
	// which docs/CAPACITY.md holds the busiest of them. With the total above for all replicas
	// together a gateway's part falls with the fleet, 1,064 B/s at 985 of them, and does not rise
	// with the replicas.
	senderTotal = 256 << 10
	// fleetLinkPart is the part of a box's link that Fleet messages may have. They are one of several
	// kinds.
	fleetLinkPart = 0.1
)

// FleetBudget is the bytes a second of Fleet messages on all links that share it.
type FleetBudget float64

// NewFleetBudget returns the budget of one sender on a link of some bytes a second, 0 if that is not
// known: of its own where sessions are spread, else that of all senders together.
func NewFleetBudget(spread bool, linkRate float64) FleetBudget {
	total := float64(fleetTotal)
	if spread {
		total = senderTotal
	}
	if linkRate > 0 {
		total = min(total, fleetLinkPart*linkRate)
	}
	return FleetBudget(total)
}

// SilenceLimit is the silence of a leader after which a gateway leaves it. Chosen
// above fleetLongest, not measured.
const SilenceLimit = time.Second

// ReportSilence is the silence of a gateway after which the leader ends its session, so that what it
// reported last does not count for ever. A gateway whose connection fell silent has left it after
// SilenceLimit and opened another. 30 reports, so that one that only is late is rarely sent the whole
// list again.
const ReportSilence = 3 * time.Second

// ofLink is the bytes a second of Fleet messages on one of some links that share the budget.
func (b FleetBudget) ofLink(links int) float64 {
	return min(fleetBudget, float64(b)/float64(max(links, 1)))
}

// Loads is how many sums one Fleet message has at most on each of some links: what the budget
// allows in the longest pause at ten bytes each, less a tenth for the rest.
func (b FleetBudget) Loads(links int) int {
	return int(0.9 * b.ofLink(links) * fleetLongest.Seconds() / loadBytes)
}

// Pause returns how long a sender waits after a Fleet message of a size in bytes to each of some
// links, so that they keep to their budget. It is less by half a period because the caller looks
// once a period: the tick that is nearest counts.
func (b FleetBudget) Pause(size, links int) time.Duration {
	byBudget := time.Duration(float64(size) / b.ofLink(links) * float64(time.Second))
	return min(max(byBudget, FleetPeriod), fleetLongest) - FleetPeriod/2
}

// Pauses between two tries to find the leader (commit 57eaa36): after a power loss a
// leader was there in 0.46 s, but gateways whose pause had grown found it 0.3 to 0.7 s
// later: so the pause stays short for as long as an election or two take.
const (
	redialPause   = 50 * time.Millisecond  // at first
	redialLongest = 300 * time.Millisecond // later
	redialsAtOnce = 60                     // redials before the pause grows
)

// RedialPause returns how long a gateway waits after that many failures in a row to
// open a session.
func RedialPause(failures int) time.Duration {
	if failures > redialsAtOnce {
		return redialLongest
	}
	return redialPause
}
