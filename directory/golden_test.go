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

// This file pins the encoding of the log's commands in testdata/golden, because they are stored on
// disks and in the logs of running fleets. Run with -update to rewrite the files; only a deliberate
// change of the stored format justifies that.

var goldenCommands = []command{
	{Put: &document.StoredDocument{Document: document.Document{Number: 7, Pools: []document.Pool{{Name: "llm"}}}, Source: []byte("source")}},
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
	{Join: []protocol.Registration{
		{ID: "engine-5", Pool: "llm", Address: "10.0.0.5:80", Hall: "hall-a", Slots: 16, Version: "v7", Born: 1790000000000},
	}},
	{Condemned: &document.CondemnedChange{Condemn: &document.Condemned{
		Key: []byte("0123456789abcdef"), Hint: 117, Account: "t1", Pool: "llm", Servers: []string{"engine-1", "engine-2", "engine-3"},
	}}},
	{Condemned: &document.CondemnedChange{Condemn: &document.Condemned{Key: []byte("fedcba9876543210")}}},
	{Condemned: &document.CondemnedChange{Release: []byte("fedcba9876543210")}},
	{Spread: &isSpread},
	{Condemned: &document.CondemnedChange{Condemn: &document.Condemned{
		Key: []byte("part 56789abcdef"), Pool: "llm", Servers: []string{"engine-4", "engine-5", "engine-6"}, Parts: []string{"5c1e07a2", "91bd3f06"}, Model: "m",
	}}},
}

var isSpread = true

func TestGoldenCommands(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenCommands)
	is.NoErr(err)
	var got []command
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the pinned bytes decode to the same value
	golden.AllSet(t, "join", goldenCommands[12].Join)
	condemned := *goldenCommands[13].Condemned.Condemn
	condemned.Parts, condemned.Model = goldenCommands[17].Condemned.Condemn.Parts, goldenCommands[17].Condemned.Condemn.Model
	golden.AllSet(t, "condemned", condemned)
}

// TestGoldenEarlierLog decodes logs and snapshots written by earlier versions. Their files are
// never rewritten.
func TestGoldenEarlierLog(t *testing.T) {
	for _, before := range []struct {
		name                          string // suffix of the file names
		commands, rollouts, condemned int    // numbers of commands, rollouts and condemned requests in the files
	}{{"earlier", 7, 0, 0}, {"before-lives", 12, 1, 0}, {"before-parts", 17, 1, 1}} {
		is := is.New(t)
		var got []command
		is.NoErr(cbor.Unmarshal(readPinned(t, "commands-"+before.name), &got))
		is.True(reflect.DeepEqual(got, goldenCommands[:before.commands]))
		r, snapshot := newReplicated(0, 0, func() {}), newReplicated(0, 0, func() {})
		for _, c := range got {
			b, err := cbor.Marshal(c)
			is.NoErr(err)
			r.Apply(b)
		}
		is.NoErr(snapshot.Restore(readPinned(t, "snapshot-"+before.name)))
		is.True(reflect.DeepEqual(snapshot.store, r.store))
		is.Equal(len(snapshot.Rollouts()), before.rollouts)
		is.Equal(len(snapshot.Condemned()), before.condemned)
	}
}

// readPinned returns the contents of a file written by an earlier version.
func readPinned(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenApply applies the pinned commands, as a replica does when it replays its log, and pins
// the resulting snapshot.
func TestGoldenApply(t *testing.T) {
	is := is.New(t)
	notifications := 0
	r := newReplicated(0, 0, func() { notifications++ })
	results := []any{true, true, false, true, true, true, false, true, true, true, true, true, false, true, true, true, true, true}
	for i, c := range goldenCommands {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		is.Equal(r.Apply(b), results[i])
	}
	is.Equal(notifications, len(goldenCommands))
	held, ok := r.CurrentDocument()
	is.True(ok)
	is.True(reflect.DeepEqual(held, *goldenCommands[0].Put))
	is.True(r.Departed("engine-1#a"))
	is.Equal(r.Joined(), slices.Concat(goldenCommands[2].Join, goldenCommands[6].Join, []protocol.Registration{goldenCommands[12].Join[0].FromWire()}))
	is.Equal(r.Condemned(), []document.Condemned{*goldenCommands[13].Condemned.Condemn, *goldenCommands[17].Condemned.Condemn})
	is.True(r.Spread())
	out, changes := r.HallsOut()
	is.Equal(out, []string{"hall-a"})
	is.Equal(changes, uint64(3))
	is.Equal(r.Rollouts(), []document.Rollout{{
		Pool: "llm", Target: "v8", Duration: time.Minute, State: document.RolloutRolledBack, Attempt: 2, Changes: 5,
		Elapsed: 3 * time.Second, Barred: []string{"v8"}, Replaced: []string{"v6"}, Completed: "v7",
	}})
	b, err := r.Snapshot()
	is.NoErr(err)
	restored := newReplicated(0, 0, func() {})
	is.NoErr(restored.Restore(golden.Bytes(t, "snapshot", b)))
	is.True(reflect.DeepEqual(restored.store, r.store))
}
