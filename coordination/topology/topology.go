// SPDX-License-Identifier: Apache-2.0

// Package topology describes where boxes and backend servers stand: a box in a data hall, a
// data hall in a region.
//
// The model: only the settings of a process say which region a data hall lies in. A hall that
// they do not name lies in no known region: what stands there is far from everybody, and no
// request with homes goes there. A fleet whose settings name one region or none has no far
// side at all, and everything in it is near.
//
// A Topology is immutable and safe for concurrent use. The zero value names no region.
package topology

import (
	"fmt"
	"maps"
	"slices"
)

// This file defines Topology.

// Topology is the region of each data hall.
type Topology struct {
	regions map[string]string // by hall
	names   []string          // of the regions, ordered
}

// Invalid refuses a description that contradicts itself or lacks a name.
type Invalid struct{ Hall, What string }

// Error names the hall and what is wrong.
func (e Invalid) Error() string { return fmt.Sprintf("data hall %q %s", e.Hall, e.What) }

// New returns the topology with these regions, by data hall. The error is [Invalid].
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

// Region returns the region of a data hall, or "" for one that is not named.
func (t Topology) Region(hall string) string { return t.regions[hall] }

// Regions returns the names of all regions, ordered.
func (t Topology) Regions() []string { return slices.Clone(t.names) }

// MultipleRegions reports whether there is more than one region.
func (t Topology) MultipleRegions() bool { return len(t.names) > 1 }

// Halls returns the names of all data halls, ordered.
func (t Topology) Halls() []string { return slices.Sorted(maps.Keys(t.regions)) }
