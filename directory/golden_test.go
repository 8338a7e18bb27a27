// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file pins the bytes of the log's commands in testdata/golden: they
// lie on disks and in the logs of running fleets. Run with -update to write the
// files anew, which only a deliberate change of the stored format justifies.

var update = flag.Bool("update", false, "write the golden files anew")

var goldenCommands = []command{
	{Put: &document.Held{Document: document.Document{Number: 7, Pools: []document.Pool{{Name: "llm"}}}, Source: []byte("source")}},
	{Depart: "engine-1#a"},
	{Join: []document.Backend{
		{ID: "engine-2#b", Pool: "llm", Address: "10.0.0.1:80", Zone: "hall-a", Slots: 16},
		{ID: "engine-3#c", Pool: "llm", Address: "10.0.0.2:80"},
	}},
}

func TestGoldenCommands(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenCommands)
	is.NoErr(err)
	var got []command
	is.NoErr(cbor.Unmarshal(golden(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the pinned bytes give the same value
	checkAllSet(t, "join", reflect.ValueOf(goldenCommands[2].Join))
}

// TestGoldenApply applies the pinned commands, as a replica does that reads
// its log, and pins the snapshot that follows.
func TestGoldenApply(t *testing.T) {
	is := is.New(t)
	told := 0
	m := &Replicated{notify: func() { told++ }}
	results := []any{true, true, false}
	for i, c := range goldenCommands {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		is.Equal(m.Apply(b), results[i])
	}
	is.Equal(told, 3)
	held, ok := m.Held()
	is.True(ok)
	is.True(reflect.DeepEqual(held, *goldenCommands[0].Put))
	is.True(m.Departed("engine-1#a"))
	is.Equal(m.Joined(), goldenCommands[2].Join)
	b, err := m.Snapshot()
	is.NoErr(err)
	again := &Replicated{notify: func() {}}
	is.NoErr(again.Restore(golden(t, "snapshot", b)))
	is.True(reflect.DeepEqual(again.store, m.store))
}

// golden compares b with a golden file and returns the file's bytes.
func golden(t *testing.T, name string, b []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".hex")
	if *update {
		if err := os.WriteFile(path, []byte(hex.EncodeToString(b)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b, want) {
		t.Errorf("%s: bytes differ from the pinned ones\n got %x\nwant %x\n got %s\nwant %s", name, b, want, diagnosed(b), diagnosed(want))
	}
	return want
}

// diagnosed returns CBOR in its readable notation.
func diagnosed(b []byte) string {
	s, err := cbor.Diagnose(b)
	if err != nil {
		return err.Error()
	}
	return s
}

// checkAllSet finds fields that a golden value leaves out. Of a list it looks
// at the first element.
func checkAllSet(t *testing.T, where string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", where)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkAllSet(t, where, v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", where)
		} else if v.Index(0).Kind() == reflect.Struct {
			checkAllSet(t, where+"[0]", v.Index(0))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				checkAllSet(t, where+"."+f.Name, v.Field(i))
			}
		}
	}
}
