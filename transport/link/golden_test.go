// SPDX-License-Identifier: Apache-2.0

package link

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file pins the bytes of the handshake in testdata/golden, with fixed nonces:
// boxes of adjacent versions must be able to complete it. Running with -update
// rewrites the files, which is right only for a deliberate change of the wire format.

func TestGoldenHandshake(t *testing.T) {
	is := is.New(t)
	key := []byte("the key of the fleet")
	dialer := hello{Nonce: bytes.Repeat([]byte{1}, nonceSize), Name: "router-1"}
	acceptor := hello{Nonce: bytes.Repeat([]byte{2}, nonceSize), Name: "control-1"}
	frames := []hello{
		dialer,
		{Nonce: acceptor.Nonce, Name: acceptor.Name, Proof: proof(key, "acceptor", dialer, acceptor)},
		{Proof: proof(key, "dialer", dialer, acceptor)},
	}
	for i, name := range []string{"dial", "accept", "proof"} {
		b, err := cbor.Marshal(frames[i])
		is.NoErr(err)
		var got hello
		is.NoErr(cbor.Unmarshal(golden.Bytes(t, name, b), &got))
		is.True(reflect.DeepEqual(got, frames[i])) // the pinned bytes decode to the same value
	}
}
