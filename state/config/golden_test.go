// SPDX-License-Identifier: Apache-2.0

package config

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// This file pins the bytes of changes, deltas, snapshots and the store in testdata/golden: they
// lie on disks and in the logs of running fleets. Run with -update to write the
// files anew, which only a deliberate change of the stored format justifies.

var update = flag.Bool("update", false, "write the golden files anew")

var (
	goldenAccount = Account{
		Name: "hotel-a", Share: 2.5, Keys: []KeyHash{HashKey("k1"), HashKey("k2")},
		Limits: Limits{Waiting: 100, WaitingBytes: 1 << 33, Running: 10}, ID: "1",
	}
	goldenServer = Server{
		Name: "engine-1", Pool: "llm", Address: "10.0.0.1:80", Kind: Engine, Mark: Serving, Slots: 16,
		Models: []string{"m1", "m2"}, Adapters: []string{"a1", "a2"}, Version: "v3", ChecksFence: true,
		Never: []string{"POST /pay", "* /send"}, ID: "2",
	}
	goldenService = Server{Name: "web-1", Pool: "web", Address: "10.0.0.2:80", Kind: Service, Mark: Joining, Slots: 1, ID: "3"}
	goldenChanges = []Change{
		{ID: "first", Base: 0, Ops: []Op{{PutAccount: &goldenAccount}, {PutServer: &goldenServer}, {PutServer: &goldenService}}, Request: 1<<64 - 2},
		{ID: "second", Base: 1, Ops: []Op{{PutAccount: &Account{Name: "hotel-b", Share: 0.1, ID: "4"}}}},
		{ID: "third", Base: 2, Ops: []Op{{RemoveAccount: "hotel-b"}, {RemoveServer: "web-1"}}},
	}
)

func goldenStore(t *testing.T) *Store {
	t.Helper()
	s := new(Store)
	for _, ch := range goldenChanges {
		if _, err := s.Apply(ch); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestGoldenChanges(t *testing.T) {
	is := is.New(t)
	checkAllSet(t, "account", reflect.ValueOf(goldenAccount))
	checkAllSet(t, "server", reflect.ValueOf(goldenServer))
	b, err := cbor.Marshal(goldenChanges)
	is.NoErr(err)
	var got []Change
	is.NoErr(cbor.Unmarshal(golden(t, "changes", b), &got))
	is.True(reflect.DeepEqual(got, goldenChanges)) // the pinned bytes give the same value
	is.Equal([]Kind{Engine, Service}, []Kind{1, 2})
	is.Equal([]Mark{Joining, Serving, Leaving}, []Mark{1, 2, 3})
}

// TestGoldenDigest pins how the content of a change is told from another's: a
// resend may come after an upgrade.
func TestGoldenDigest(t *testing.T) {
	is := is.New(t)
	var digests []byte
	for _, ch := range goldenChanges {
		digests = binary.BigEndian.AppendUint64(digests, ch.digest())
	}
	golden(t, "digests", digests)
	is.Equal(goldenChanges[0].digest(), goldenChanges[0].Request)
}

func TestGoldenDelta(t *testing.T) {
	is := is.New(t)
	d, ok := goldenStore(t).DeltaFrom(1)
	is.True(ok)
	b, err := cbor.Marshal(d)
	is.NoErr(err)
	var got Delta
	is.NoErr(cbor.Unmarshal(golden(t, "delta", b), &got))
	is.True(reflect.DeepEqual(got, d))
}

func TestGoldenSnapshot(t *testing.T) {
	is := is.New(t)
	c := goldenStore(t).Current()
	b, err := cbor.Marshal(c.Snapshot())
	is.NoErr(err)
	var got Snapshot
	is.NoErr(cbor.Unmarshal(golden(t, "snapshot", b), &got))
	is.True(reflect.DeepEqual(FromSnapshot(got), c))
	is.Equal(got, Snapshot{Revision: 3, Accounts: []Account{goldenAccount}, Servers: []Server{goldenServer}, NextID: 4})
}

func TestGoldenStore(t *testing.T) {
	is := is.New(t)
	s := goldenStore(t)
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var got Store
	is.NoErr(got.UnmarshalBinary(golden(t, "store", b)))
	is.True(reflect.DeepEqual(got, *s))
	is.True(reflect.DeepEqual(got.history, goldenChanges))
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
