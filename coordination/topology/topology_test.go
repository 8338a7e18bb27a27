// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"testing"

	"github.com/matryer/is"
)

// This file tests the regions of data halls, and invalid topologies.

func TestRegionsOfHalls(t *testing.T) {
	is := is.New(t)
	regions := map[string]string{"north-a": "north", "south-a": "south", "north-b": "north"}
	topology, err := New(regions)
	is.NoErr(err)
	regions["north-a"] = "elsewhere" // must not affect the topology
	is.Equal(topology.Region("north-a"), "north")
	is.Equal(topology.Region("never named"), "")
	is.Equal(topology.Regions(), []string{"north", "south"})
	is.Equal(topology.Halls(), []string{"north-a", "north-b", "south-a"})
	is.True(topology.MultipleRegions())

	one, err := New(map[string]string{"a": "north", "b": "north"})
	is.NoErr(err)
	is.True(!one.MultipleRegions())
	is.True(!Topology{}.MultipleRegions())
	is.Equal(Topology{}.Region("a"), "")
}

func TestHallsAndRegionsNeedNames(t *testing.T) {
	is := is.New(t)
	_, err := New(map[string]string{"a": "north", "b": ""})
	is.Equal(err, error(Invalid{Hall: "b", What: "lies in a region without a name"}))
	_, err = New(map[string]string{"": "north"})
	is.Equal(err, error(Invalid{What: "has no name"}))
}
