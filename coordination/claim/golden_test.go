// SPDX-License-Identifier: Apache-2.0

package claim

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

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file pins the bytes of the register's commands and snapshot in testdata/golden: they
// lie on disks and in the logs of running fleets. Run with -update to write the
// files anew, which only a deliberate change of the stored format justifies.

var update = flag.Bool("update", false, "write the golden files anew")

var (
	goldenHolder   = Holder{Router: "router-1", Boot: 1<<64 - 2}
	goldenAnswer   = protocol.Answer{Status: 200, ContentType: "text/plain", Body: []byte("booked")}
	goldenCommands = []Command{
		{Millis: 1000, Holder: goldenHolder, Claim: &protocol.Claim{Call: 1, Account: "hotel-a", Key: "k1", Digest: 2, Attempt: 3, Wait: true}},
		{Millis: 2000, Holder: goldenHolder, Settle: &protocol.Settle{Call: 4, Account: "hotel-a", Key: "k1", Attempt: 3, State: protocol.ClaimRan, Answer: &goldenAnswer}},
		{Millis: 3000, Holder: goldenHolder, Claim: &protocol.Claim{Call: 5, Account: "hotel-a", Key: "k2", Digest: 6, Attempt: 7}},
		{Millis: 4000, Holder: goldenHolder, Orphan: true},
		{Millis: 5000, Holder: Holder{Router: "router-2", Boot: 8}, Claim: &protocol.Claim{Call: 9, Account: "hotel-b", Key: "k1", Digest: 10, Attempt: 11}},
	}
)

func TestGoldenCommands(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenCommands)
	is.NoErr(err)
	var got []Command
	is.NoErr(cbor.Unmarshal(golden(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the pinned bytes give the same value
	checkAllSet(t, "claim", reflect.ValueOf(goldenCommands[0].Claim))
	checkAllSet(t, "settle", reflect.ValueOf(goldenCommands[1].Settle))
}

// TestGoldenRegister holds only one running claim: the snapshot lists running
// claims in no fixed order.
func TestGoldenRegister(t *testing.T) {
	is := is.New(t)
	r := New()
	for _, c := range goldenCommands {
		r.Apply(c)
	}
	b, err := r.MarshalBinary()
	is.NoErr(err)
	got := New()
	is.NoErr(got.UnmarshalBinary(golden(t, "register", b)))
	is.Equal(got.millis, int64(5000))
	is.Equal(got.Len(), 3)
	for n, e := range r.entries {
		other := *got.entries[n]
		is.Equal(other.place == nil, e.place == nil)
		other.place = e.place
		is.Equal(other, *e)
	}
	var keys []string
	for el := got.settled.Front(); el != nil; el = el.Next() {
		keys = append(keys, el.Value.(*entry).Key)
	}
	is.Equal(keys, []string{"k1", "k2"}) // in the order of their settling
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
