// SPDX-License-Identifier: Apache-2.0

package document

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
)

// This file pins the encoding of documents and of the store in testdata/golden, because
// running fleets hold it on disk and in their logs. Run with -update to rewrite the
// files, which only a deliberate change of the stored format justifies.
//
// The files document, held and store were written when a route had the key 11 and a
// pool the key 4, which nothing read. They are only decoded and never rewritten: disks
// still hold such records, which must decode to the same values. The current encoding is
// pinned in the files whose names end in "-written".

var goldenDocument = Document{
	Number: 1<<64 - 2,
	Routes: []Route{
		{
			Name: "chat", Host: "chat.example", Prefix: "/v1/", Kind: Stream, Timeout: 3 * time.Second,
			Objective: 400 * time.Millisecond, Priority: 2, Targets: []Target{{Pool: "llm", Weight: 9}, {Pool: "web", Weight: 1}},
			MaxAttempts: 3, Public: true, Resumable: true, EventGap: 250 * time.Millisecond,
		},
		{Name: "pay", Host: "pay.example", Prefix: "/", Kind: Once, Timeout: time.Second, Targets: []Target{{Pool: "web", Weight: 1}}},
		{Name: "read", Host: "read.example", Prefix: "/", Kind: Repeatable, Timeout: time.Second, Targets: []Target{{Pool: "web", Weight: 1}}},
	},
	Pools:    []Pool{{Name: "llm", Connections: 64, Engine: true}, {Name: "web"}},
	Accounts: []Account{{Name: "t1", Keys: []string{"k1", "k2"}, Priority: 4}, {Name: "t2"}},
	Limits: Limits{
		HeaderBytes: 8192, BodyBytes: 1 << 33, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, TokensPerSecond: 1234.5678,
	},
}

var goldenStored = StoredDocument{Document: goldenDocument, Source: []byte("as its author sent it")}

// goldenRecords returns the pinned encodings of one value: the old one with the two
// unused keys, and the current one, which must equal got.
func goldenRecords(t *testing.T, name string, got []byte) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return map[string][]byte{name: b, name + "-written": golden.Bytes(t, name+"-written", got)}
}

func TestGoldenDocument(t *testing.T) {
	is := is.New(t)
	is.NoErr(goldenDocument.Check())
	b, err := cbor.Marshal(goldenDocument)
	is.NoErr(err)
	for _, record := range goldenRecords(t, "document", b) {
		var got Document
		is.NoErr(cbor.Unmarshal(record, &got))
		is.True(reflect.DeepEqual(got, goldenDocument)) // the pinned bytes give the same value
	}
	is.Equal([]Kind{Once, Repeatable, Stream}, []Kind{0, 1, 2})
}

// TestGoldenColdPool pins documents with a ColdRate, which earlier records lack.
func TestGoldenColdPool(t *testing.T) {
	is := is.New(t)
	d := goldenDocument
	d.Pools = []Pool{{Name: "llm", Connections: 64, Engine: true, ColdRate: 18.5}, {Name: "web"}}
	is.NoErr(d.Check())
	b, err := cbor.Marshal(d)
	is.NoErr(err)
	var got Document
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "document-cold", b), &got))
	is.True(reflect.DeepEqual(got, d))
}

// TestGoldenHomes pins documents whose routes and accounts have homes, and checks that the pinned
// document sets every field.
func TestGoldenHomes(t *testing.T) {
	is := is.New(t)
	d := goldenDocument
	d.Routes, d.Accounts = slices.Clone(d.Routes), slices.Clone(d.Accounts)
	d.Pools = []Pool{{Name: "llm", Connections: 64, Engine: true, ColdRate: 18.5}, {Name: "web"}}
	d.Routes[0].Homes = []string{"north", "south"}
	d.Accounts[0].Homes = []string{"south"}
	is.NoErr(d.Check())
	golden.AllSet(t, "document", d)
	b, err := cbor.Marshal(d)
	is.NoErr(err)
	var got Document
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "document-homes", b), &got))
	is.True(reflect.DeepEqual(got, d))
}

func TestGoldenStoredDocument(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenStored)
	is.NoErr(err)
	for _, record := range goldenRecords(t, "held", b) {
		var got StoredDocument
		is.NoErr(cbor.Unmarshal(record, &got))
		is.True(reflect.DeepEqual(got, goldenStored))
	}
}

func TestGoldenStore(t *testing.T) {
	is := is.New(t)
	joined := []protocol.Registration{
		{ID: "a#1", Pool: "llm", Address: "10.0.0.1:80", Hall: "hall-a", Slots: 16},
		{ID: "b#2", Pool: "web", Address: "10.0.0.2:80"},
		{ID: "c#3", Pool: "web", Address: "10.0.0.3:80"},
	}
	var s Store
	is.True(s.Put(goldenStored))
	for _, i := range []int{2, 0, 1} {
		s.Join(joined[i])
	}
	is.True(s.Depart("z#9"))
	is.True(s.Depart("y#8"))
	s.departureCount = 70000 // more than the store remembers
	b, err := s.MarshalBinary()
	is.NoErr(err)
	for _, record := range goldenRecords(t, "store", b) {
		var got Store
		is.NoErr(got.UnmarshalBinary(record))
		held, ok := got.Current()
		is.True(ok)
		is.True(reflect.DeepEqual(held, goldenStored))
		is.Equal(got.Joined(), joined)
		is.True(got.Departed("y#8"))
		ids, total := got.DeparturesSince(0)
		is.Equal(ids, []string{"z#9", "y#8"}) // oldest first
		is.Equal(total, uint64(70000))
		is.True(reflect.DeepEqual(got, s))
	}
}

// TestGoldenHalls pins a store with data halls out of service, which earlier records lack.
func TestGoldenHalls(t *testing.T) {
	is := is.New(t)
	var s Store
	is.True(s.ChangeHall(HallChange{Hall: "hall-b", Out: true}))
	is.True(s.ChangeHall(HallChange{Hall: "hall-a", Out: true}))
	is.True(s.ChangeHall(HallChange{Hall: "hall-b", After: 1}))
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var got Store
	is.NoErr(got.UnmarshalBinary(golden.Bytes(t, "store-halls", b)))
	is.Equal(got.Halls(), []HallState{{Hall: "hall-a", Out: true, Changes: 1}, {Hall: "hall-b", Changes: 2}})
	golden.AllSet(t, "halls", got.Halls())
}

// TestGoldenRollouts pins a store with rollouts, which earlier records lack.
func TestGoldenRollouts(t *testing.T) {
	is := is.New(t)
	var s Store
	for _, c := range []RolloutChange{
		{Pool: "web", Target: "v2", Duration: time.Minute, State: RolloutUnderWay},
		{Pool: "llm", Target: "v7", Duration: time.Minute, State: RolloutUnderWay},
		{Pool: "llm", Target: "v7", State: RolloutComplete, After: 1, Elapsed: 40 * time.Second, Replaced: []string{"v5", "v6"}},
		{Pool: "llm", Target: "v8", Duration: 30 * time.Second, State: RolloutUnderWay, After: 2},
		{Pool: "llm", Target: "v8", State: RolloutUnderWay, After: 3, Elapsed: 2 * time.Second, Switched: 2 * time.Second},
		{Pool: "llm", Target: "v8", State: RolloutRolledBack, After: 4, Elapsed: 3 * time.Second},
	} {
		is.True(s.ChangeRollout(c))
	}
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var got Store
	is.NoErr(got.UnmarshalBinary(golden.Bytes(t, "store-rollouts", b)))
	is.Equal(got.Rollouts(), []Rollout{
		{
			Pool: "llm", Target: "v8", Duration: 30 * time.Second, State: RolloutRolledBack, Attempt: 2, Changes: 5,
			Elapsed: 3 * time.Second, Barred: []string{"v8"}, Replaced: []string{"v5", "v6"}, Completed: "v7", Switched: 2 * time.Second,
		},
		{Pool: "web", Target: "v2", Duration: time.Minute, State: RolloutUnderWay, Attempt: 1, Changes: 1},
	})
	golden.AllSet(t, "rollouts", got.Rollouts())
	is.Equal([]RolloutState{RolloutUnderWay, RolloutComplete, RolloutRolledBack}, []RolloutState{1, 2, 3})
}
