// SPDX-License-Identifier: Apache-2.0

package config

import (
	"encoding/binary"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file pins the encoding of changes, deltas, snapshots and the store in
// testdata/golden, because running fleets hold it on disk and in their logs. Run with
// -update to rewrite the files, which only a deliberate change of the stored format
// justifies.

var (
	goldenAccount = Account{
		Name: "hotel-a", Share: 2.5, Keys: []KeyHash{HashKey("k1"), HashKey("k2")},
		Limits: Limits{Waiting: 100, WaitingBytes: 1 << 33, Running: 10}, ID: "1",
	}
	goldenServer = Server{
		Name: "engine-1", Pool: "llm", Address: "10.0.0.1:80", Kind: Engine, Mark: Serving, Slots: 16,
		Models: []string{"m1", "m2"}, Adapters: []string{"a1", "a2"}, Version: "v3", ChecksFence: true,
		NeverRepeat: []string{"POST /pay", "* /send"}, ID: "2",
	}
	goldenService = Server{Name: "web-1", Pool: "web", Address: "10.0.0.2:80", Kind: Service, Mark: Joining, Slots: 1, ID: "3"}
	goldenChanges = []Change{
		{ID: "first", Base: 0, Ops: []Op{{PutAccount: &goldenAccount}, {PutServer: &goldenServer}, {PutServer: &goldenService}}, RequestDigest: 1<<64 - 2},
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
	golden.AllSet(t, "account", goldenAccount)
	golden.AllSet(t, "server", goldenServer)
	b, err := cbor.Marshal(goldenChanges)
	is.NoErr(err)
	var got []Change
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "changes", b), &got))
	is.True(reflect.DeepEqual(got, goldenChanges)) // the pinned bytes give the same value
	is.Equal([]Kind{Engine, Service}, []Kind{1, 2})
	is.Equal([]Mark{Joining, Serving, Leaving}, []Mark{1, 2, 3})
}

// TestGoldenDigest pins the digests of changes, because a resend may arrive after an
// upgrade and must match the stored change.
func TestGoldenDigest(t *testing.T) {
	is := is.New(t)
	var digests []byte
	for _, ch := range goldenChanges {
		digests = binary.BigEndian.AppendUint64(digests, ch.digest())
	}
	golden.Bytes(t, "digests", digests)
	is.Equal(goldenChanges[0].digest(), goldenChanges[0].RequestDigest)
}

func TestGoldenDelta(t *testing.T) {
	is := is.New(t)
	d, ok := goldenStore(t).DeltaFrom(1)
	is.True(ok)
	b, err := cbor.Marshal(d)
	is.NoErr(err)
	var got Delta
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "delta", b), &got))
	is.True(reflect.DeepEqual(got, d))
}

func TestGoldenSnapshot(t *testing.T) {
	is := is.New(t)
	c := goldenStore(t).Current()
	b, err := cbor.Marshal(c.Snapshot())
	is.NoErr(err)
	var got Snapshot
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "snapshot", b), &got))
	is.True(reflect.DeepEqual(FromSnapshot(got), c))
	is.Equal(got, Snapshot{Revision: 3, Accounts: []Account{goldenAccount}, Servers: []Server{goldenServer}, NextID: 4})
}

func TestGoldenStore(t *testing.T) {
	is := is.New(t)
	s := goldenStore(t)
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var got Store
	is.NoErr(got.UnmarshalBinary(golden.Bytes(t, "store", b)))
	is.True(reflect.DeepEqual(got, *s))
	is.True(reflect.DeepEqual(got.history, goldenChanges))
}
