// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file pins the bytes of the log's commands in testdata/golden: they
// lie on disks and in the logs of running fleets. Run with -update to write the
// files anew, which only a deliberate change of the stored format justifies.

var goldenCommands = []command{
	{Put: &document.Held{Document: document.Document{Number: 7, Pools: []document.Pool{{Name: "llm"}}}, Source: []byte("source")}},
	{Depart: "engine-1#a"},
	{Join: []protocol.Registration{
		{ID: "engine-2#b", Pool: "llm", Address: "10.0.0.1:80", Hall: "hall-a", Slots: 16},
		{ID: "engine-3#c", Pool: "llm", Address: "10.0.0.2:80"},
	}},
	{Hall: &document.HallChange{Hall: "hall-a", Out: true}},
	{Hall: &document.HallChange{Hall: "hall-b", Out: true}},
	{Hall: &document.HallChange{Hall: "hall-b", After: 1}},
	{Join: []protocol.Registration{
		{ID: "engine-4#d", Pool: "llm", Address: "10.0.0.4:80", Hall: "hall-a", Slots: 16, Version: "v7"},
	}},
}

func TestGoldenCommands(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenCommands)
	is.NoErr(err)
	var got []command
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the pinned bytes give the same value
	golden.AllSet(t, "join", goldenCommands[6].Join)
}

// TestGoldenApply applies the pinned commands, as a replica does that reads
// its log, and pins the snapshot that follows.
func TestGoldenApply(t *testing.T) {
	is := is.New(t)
	told := 0
	r := newReplicated(0, func() { told++ })
	results := []any{true, true, false, true, true, true, false}
	for i, c := range goldenCommands {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		is.Equal(r.Apply(b), results[i])
	}
	is.Equal(told, 7)
	held, ok := r.Held()
	is.True(ok)
	is.True(reflect.DeepEqual(held, *goldenCommands[0].Put))
	is.True(r.Departed("engine-1#a"))
	is.Equal(r.Joined(), slices.Concat(goldenCommands[2].Join, goldenCommands[6].Join))
	out, changes := r.HallsOut()
	is.Equal(out, []string{"hall-a"})
	is.Equal(changes, uint64(3))
	b, err := r.Snapshot()
	is.NoErr(err)
	again := newReplicated(0, func() {})
	is.NoErr(again.Restore(golden.Bytes(t, "snapshot", b)))
	is.True(reflect.DeepEqual(again.store, r.store))
}
