// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file compares the encoding of the register's commands and snapshot with the files in
// testdata/golden. Running fleets have both encodings on their disks. Run with -update to
// rewrite the files, but only after a deliberate change of the stored format.

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
	is.NoErr(cbor.Unmarshal(golden.Bytes(t, "commands", b), &got))
	is.True(reflect.DeepEqual(got, goldenCommands)) // the stored bytes decode to the same value
	golden.AllSet(t, "claim", goldenCommands[0].Claim)
	golden.AllSet(t, "settle", goldenCommands[1].Settle)
}

// TestGoldenRegister uses a single running claim, because the snapshot lists running claims
// in no fixed order.
func TestGoldenRegister(t *testing.T) {
	is := is.New(t)
	r := New()
	for _, c := range goldenCommands {
		r.Apply(c)
	}
	b, err := r.MarshalBinary()
	is.NoErr(err)
	got := New()
	is.NoErr(got.UnmarshalBinary(golden.Bytes(t, "register", b)))
	is.Equal(got.millis, int64(5000))
	is.Equal(got.Len(), 3)
	for k, e := range r.entries {
		other := *got.entries[k]
		is.Equal(other.element == nil, e.element == nil)
		other.element = e.element
		is.Equal(other, *e)
	}
	var keys []string
	for el := got.settled.Front(); el != nil; el = el.Next() {
		keys = append(keys, el.Value.(*entry).Key)
	}
	is.Equal(keys, []string{"k1", "k2"}) // in settlement order
}
