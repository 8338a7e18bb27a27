// SPDX-License-Identifier: Apache-2.0

package control

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file pins the bytes of the commands and the snapshot of the configuration
// group in testdata/golden, because running fleets have them on disk. Running with
// -update rewrites the files, which is right only for a deliberate change of the
// stored format.

var goldenCommands = []command{
	{Change: &config.Change{ID: "first", Ops: []config.Op{{PutAccount: &config.Account{Name: "hotel-a", Share: 2, ID: "1"}}}, RequestDigest: 9}},
	{Open: &claim.Holder{Router: "router-2", Boot: 1<<64 - 2}},
	{Open: &claim.Holder{Router: "router-1", Boot: 12}},
	{Open: &claim.Holder{Router: "router-1", Boot: 11}},
	{Advert: &advertisedAddress{Replica: "control-2", Address: "10.0.0.2:9000"}},
	{Advert: &advertisedAddress{Replica: "control-1", Address: "10.0.0.1:9000"}},
	{End: &claim.Holder{Router: "router-1", Boot: 12}},
}

func TestGoldenCommands(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(goldenCommands)
	is.NoErr(err)
	var got []command
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the pinned bytes decode to the same value
	golden.AllSet(t, "advert", goldenCommands[4].Advert)
}

func TestGoldenSnapshot(t *testing.T) {
	is := is.New(t)
	m := newReplicatedState(func() {})
	for _, c := range goldenCommands {
		b, err := cbor.Marshal(c)
		is.NoErr(err)
		is.NoErr(m.Apply(b).(changeResult).err)
	}
	b, err := m.Snapshot()
	is.NoErr(err)
	got := newReplicatedState(func() {})
	is.NoErr(got.Restore(golden.Bytes(t, "snapshot", b)))
	is.Equal(got.Routers(), []claim.Holder{{Router: "router-1", Boot: 11}, {Router: "router-2", Boot: 1<<64 - 2}})
	is.Equal(got.OperatorsAddress("control-2"), "10.0.0.2:9000")
	is.True(reflect.DeepEqual(got.advertised, m.advertised))
	is.True(reflect.DeepEqual(got.store, m.store))
}
