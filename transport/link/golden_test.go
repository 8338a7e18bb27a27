// SPDX-License-Identifier: Apache-2.0

package link

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
)

// This file pins the bytes of the handshake in testdata/golden, with nonces
// that are not random: boxes of neighbouring versions must get past it. Run
// with -update to write the files anew, which only a deliberate change of the
// wire format justifies.

var update = flag.Bool("update", false, "write the golden files anew")

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
		is.NoErr(cbor.Unmarshal(golden(t, name, b), &got))
		is.True(reflect.DeepEqual(got, frames[i])) // the pinned bytes give the same value
	}
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
