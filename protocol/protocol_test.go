// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"errors"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// sparseMessages omit optional fields that every golden message sets.
var sparseMessages = []Message{
	Claimed{Call: 1, State: ClaimUnknown, Answer: &Answer{Status: 500}},
	Consensus{
		Name: "g", Group: 1, Kind: MsgSnapshot, From: Peer{Name: "a", Incarnation: 1}, To: Peer{Name: "b", Incarnation: 2},
		Snapshot: &Snapshot{Group: 1, Index: 2, Term: 3, Data: []byte{4}},
	},
}

// messages returns at least one message of each kind.
func messages() []Message { return slices.Concat(goldenMessages, sparseMessages) }

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	seen := map[Kind]bool{}
	for _, m := range messages() {
		b, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m)) // every field survives
		seen[KindOf(m)] = true
	}
	is.Equal(len(seen), len(kinds)) // a message of every kind
}

func TestDecodeMalformedAndUnknown(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte{0x01})
	is.True(errors.As(err, new(Malformed)))
	_, err = Decode([]byte{0x82, 0x01, 0x61, 'x'}) // a hello whose body is a string
	is.True(errors.As(err, new(Malformed)))
	_, err = Decode(make([]byte, MaxMessage+1))
	is.True(errors.As(err, new(TooLarge)))
	m, err := Decode([]byte{0x82, 0x18, 0xc8, 0xa0}) // kind 200, of a later version
	is.NoErr(err)
	is.True(m == nil)
	m, err = Decode([]byte{0x82, 0x04, 0xa2, 0x01, 0x05, 0x18, 0x63, 0x01}) // a renew with a field of a later version
	is.NoErr(err)
	is.Equal(m, Renew{Seq: 5})
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil || m == nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("encode a decoded message: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("decode a re-encoded message: %v", err)
		}
	})
}
