// SPDX-License-Identifier: Apache-2.0

// Package topology maps data halls to regions. Boxes and backend servers are in data halls.
//
// Only a process's settings define the region of a data hall. The region of a hall that they do not
// name is unknown: the hall counts as far from all others, and no request with homes is sent there.
// If the settings name at most one region, all halls count as near each other.
//
// A Topology is immutable and safe for concurrent use. The zero value names no region.
package topology

import (
	"fmt"
	"maps"
	"slices"
)

// This file defines Topology.

// Topology holds the region of each data hall.
type Topology struct {
	regions map[string]string // by data hall
	names   []string          // names of the regions, sorted
}

// Invalid is the error for a data hall or a region without a name.
type Invalid struct{ Hall, What string }

// Error names the data hall and the reason.
func (e Invalid) Error() string { return fmt.Sprintf("data hall %q %s", e.Hall, e.What) }

// New returns a topology with the given regions by data hall. The error is [Invalid].
func New(regions map[string]string) (Topology, error) {
	for _, hall := range slices.Sorted(maps.Keys(regions)) {
		switch {
		case hall == "":
			return Topology{}, Invalid{Hall: hall, What: "has no name"}
		case regions[hall] == "":
			return Topology{}, Invalid{Hall: hall, What: "lies in a region without a name"}
		}
	}
	names := slices.Sorted(maps.Values(regions))
	return Topology{regions: maps.Clone(regions), names: slices.Compact(names)}, nil
}

// Region returns the region of a data hall, or "" if the settings do not name the hall.
func (t Topology) Region(hall string) string { return t.regions[hall] }

// Regions returns the names of all regions, sorted.
func (t Topology) Regions() []string { return slices.Clone(t.names) }

// MultipleRegions reports whether there is more than one region.
func (t Topology) MultipleRegions() bool { return len(t.names) > 1 }

// Halls returns the names of all data halls, sorted.
func (t Topology) Halls() []string { return slices.Sorted(maps.Keys(t.regions)) }
