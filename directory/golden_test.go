// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

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
	{Rollout: &document.RolloutChange{Pool: "llm", Target: "v7", Duration: time.Minute, State: document.RolloutUnderWay}},
	{Rollout: &document.RolloutChange{Pool: "llm", Target: "v7", State: document.RolloutUnderWay, After: 1, Elapsed: 20 * time.Second, Switched: 20 * time.Second}},
	{Rollout: &document.RolloutChange{
		Pool: "llm", Target: "v7", State: document.RolloutComplete, After: 2, Elapsed: 40 * time.Second, Replaced: []string{"v6"},
	}},
	{Rollout: &document.RolloutChange{Pool: "llm", Target: "v8", Duration: time.Minute, State: document.RolloutUnderWay, After: 3}},
	{Rollout: &document.RolloutChange{Pool: "llm", Target: "v8", State: document.RolloutRolledBack, After: 4, Elapsed: 3 * time.Second}},
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

// TestGoldenEarlierLog decodes what a replica of the version before rollouts wrote, its log and
// its snapshot, in the files whose names end in "-earlier": they are never written anew.
func TestGoldenEarlierLog(t *testing.T) {
	is := is.New(t)
	const before = 7 // commands, of which none is about a rollout
	var got []command
	is.NoErr(cbor.Unmarshal(earlier(t, "commands"), &got))
	is.True(reflect.DeepEqual(got, goldenCommands[:before]))
	r, snapshot := newReplicated(0, 0, func() {}), newReplicated(0, 0, func() {})
	for _, c := range got {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		r.Apply(b)
	}
	is.NoErr(snapshot.Restore(earlier(t, "snapshot")))
	is.True(reflect.DeepEqual(snapshot.store, r.store))
	is.Equal(len(snapshot.Rollouts()), 0)
}

// earlier returns the bytes that the version before rollouts wrote.
func earlier(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name+"-earlier.hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenApply applies the pinned commands, as a replica does that reads
// its log, and pins the snapshot that follows.
func TestGoldenApply(t *testing.T) {
	is := is.New(t)
	told := 0
	r := newReplicated(0, 0, func() { told++ })
	results := []any{true, true, false, true, true, true, false, true, true, true, true, true}
	for i, c := range goldenCommands {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		is.Equal(r.Apply(b), results[i])
	}
	is.Equal(told, len(goldenCommands))
	held, ok := r.Held()
	is.True(ok)
	is.True(reflect.DeepEqual(held, *goldenCommands[0].Put))
	is.True(r.Departed("engine-1#a"))
	is.Equal(r.Joined(), slices.Concat(goldenCommands[2].Join, goldenCommands[6].Join))
	out, changes := r.HallsOut()
	is.Equal(out, []string{"hall-a"})
	is.Equal(changes, uint64(3))
	is.Equal(r.Rollouts(), []document.Rollout{{
		Pool: "llm", Target: "v8", Duration: time.Minute, State: document.RolloutRolledBack, Attempt: 2, Changes: 5,
		Elapsed: 3 * time.Second, Barred: []string{"v8"}, Replaced: []string{"v6"}, Completed: "v7",
	}})
	b, err := r.Snapshot()
	is.NoErr(err)
	again := newReplicated(0, 0, func() {})
	is.NoErr(again.Restore(golden.Bytes(t, "snapshot", b)))
	is.True(reflect.DeepEqual(again.store, r.store))
}
