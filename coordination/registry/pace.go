// SPDX-License-Identifier: Apache-2.0

package registry

import "time"

// This file defines how often a gateway gets the state of the fleet.

// FleetPeriod is the shortest time between two Fleet messages on one link. Chosen,
// not measured.
const FleetPeriod = 100 * time.Millisecond

const (
	// fleetLongest is the longest time between two Fleet messages on one link, below
	// the second of silence after which a gateway leaves its leader.
	fleetLongest = 600 * time.Millisecond
	// fleetBudget is the bytes a second of Fleet messages on one link, below the
	// 10 KB/s a node that docs/CAPACITY.md grants to control.
	fleetBudget = 8 << 10
)

// FleetPause returns how long a link waits after a Fleet message of a size in bytes,
// so that it keeps to its budget. It is less by half a period because the caller looks
// once a period: the tick that is nearest counts.
func FleetPause(size int) time.Duration {
	byBudget := time.Duration(float64(size) / fleetBudget * float64(time.Second))
	return min(max(byBudget, FleetPeriod), fleetLongest) - FleetPeriod/2
}
