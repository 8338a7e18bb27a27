// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// This file defines the handshake that the package comment describes.

const (
	nonceSize = 32 // bytes, as many as the proof (SHA-256) has
	// maxHandshakeFrame is the size limit of a frame in bytes. The largest frame has 137:
	// nonce, proof and a name of 63 letters, the longest that package settings accepts.
	maxHandshakeFrame = 512
)

// hello is a frame of the handshake. The dialer's first frame has no proof, its second has
// only the proof, and the acceptor's has all fields.
type hello struct {
	Nonce []byte `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint,omitempty"`
}

// handshake runs one side of the handshake and returns the proven name of the other side.
type handshake func(ctx context.Context, conn *websocket.Conn, id Identity) (peer string, err error)

func dialHandshake(ctx context.Context, conn *websocket.Conn, id Identity) (peer string, err error) {
	own := newHello(id)
	if err := writeFrame(ctx, conn, own); err != nil {
		return "", err
	}
	var theirs hello
	if err := readFrame(ctx, conn, &theirs); err != nil {
		return "", err
	}
	if !hmac.Equal(theirs.Proof, proof(id.Key, "acceptor", own, theirs)) {
		return "", WrongKey{Peer: theirs.Name}
	}
	return theirs.Name, writeFrame(ctx, conn, hello{Proof: proof(id.Key, "dialer", own, theirs)})
}

func acceptHandshake(ctx context.Context, conn *websocket.Conn, id Identity) (peer string, err error) {
	var theirs hello
	if err := readFrame(ctx, conn, &theirs); err != nil {
		return "", err
	}
	if len(theirs.Nonce) != nonceSize {
		return "", WrongKey{Peer: theirs.Name}
	}
	own := newHello(id)
	own.Proof = proof(id.Key, "acceptor", theirs, own)
	if err := writeFrame(ctx, conn, own); err != nil {
		return "", err
	}
	var confirmation hello
	if err := readFrame(ctx, conn, &confirmation); err != nil {
		return "", err
	}
	if !hmac.Equal(confirmation.Proof, proof(id.Key, "dialer", theirs, own)) {
		return "", WrongKey{Peer: theirs.Name}
	}
	return theirs.Name, nil
}

func newHello(id Identity) hello {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // crypto/rand does not fail since Go 1.24
	return hello{Nonce: nonce, Name: id.Name}
}

// proof returns the HMAC with which a side proves that it has the key. It covers the side's
// label, both nonces and both names. The length of each part is hashed before the part, so
// that no two pairs of names give the same input.
func proof(key []byte, side string, dialer, acceptor hello) []byte {
	h := hmac.New(sha256.New, key)
	parts := [][]byte{[]byte(side), dialer.Nonce, acceptor.Nonce, []byte(dialer.Name), []byte(acceptor.Name)}
	for _, part := range parts {
		h.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		h.Write(part)
	}
	return h.Sum(nil)
}

func writeFrame(ctx context.Context, conn *websocket.Conn, v hello) error {
	b, err := cbor.Marshal(v)
	if err == nil {
		err = conn.Write(ctx, websocket.MessageBinary, b)
	}
	if err != nil {
		return Broken{Peer: v.Name, Err: err}
	}
	return nil
}

func readFrame(ctx context.Context, conn *websocket.Conn, v *hello) error {
	_, b, err := conn.Read(ctx)
	if err == nil {
		err = cbor.Unmarshal(b, v)
	}
	if err != nil {
		return Broken{Err: err}
	}
	return nil
}
