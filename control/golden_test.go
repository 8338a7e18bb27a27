// SPDX-License-Identifier: Apache-2.0

package control

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

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file pins the bytes of the commands and the snapshot of the configuration group in testdata/golden: they
// lie on disks and in the logs of running fleets. Run with -update to write the
// files anew, which only a deliberate change of the stored format justifies.

var update = flag.Bool("update", false, "write the golden files anew")

var goldenCommands = []command{
	{Change: &config.Change{ID: "first", Ops: []config.Op{{PutAccount: &config.Account{Name: "hotel-a", Share: 2, ID: "1"}}}, Request: 9}},
	{Open: &claim.Holder{Router: "router-2", Boot: 1<<64 - 2}},
	{Open: &claim.Holder{Router: "router-1", Boot: 12}},
	{Open: &claim.Holder{Router: "router-1", Boot: 11}},
	{Advert: &advert{Replica: "control-2", Address: "10.0.0.2:9000"}},
	{Advert: &advert{Replica: "control-1", Address: "10.0.0.1:9000"}},
	{End: &claim.Holder{Router: "router-1", Boot: 12}},
}

func TestGoldenCommands(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenCommands)
	is.NoErr(err)
	var got []command
	is.NoErr(cbor.Unmarshal(golden(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the pinned bytes give the same value
	checkAllSet(t, "advert", reflect.ValueOf(goldenCommands[4].Advert))
}

func TestGoldenSnapshot(t *testing.T) {
	is := is.New(t)
	m := newReplicated(func() {})
	for _, c := range goldenCommands {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		is.NoErr(m.Apply(b).(changed).err)
	}
	b, err := m.Snapshot()
	is.NoErr(err)
	got := newReplicated(func() {})
	is.NoErr(got.Restore(golden(t, "snapshot", b)))
	is.Equal(got.Routers(), []claim.Holder{{Router: "router-1", Boot: 11}, {Router: "router-2", Boot: 1<<64 - 2}})
	is.Equal(got.OperatorsAt("control-2"), "10.0.0.2:9000")
	is.True(reflect.DeepEqual(got.adverts, m.adverts))
	is.True(reflect.DeepEqual(got.store, m.store))
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
