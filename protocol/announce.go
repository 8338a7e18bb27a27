// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// This file defines what a directory replica that does not lead sends to the one that
// does, for the backend servers that announce themselves there.

// Announcement is one announcement of a backend server.
type Announcement struct {
	Registration
	Seq      uint64        `cbor:"6,keyasint"` // rises with each announcement of one ID
	ColdLeft time.Duration `cbor:"7,keyasint,omitempty"`
}

// Announce is sent by a replica to the leader: the announcements of some milliseconds.
type Announce struct {
	Seq  uint64         `cbor:"1,keyasint"` // from 1 on each link
	List []Announcement `cbor:"2,keyasint"`
	// Again are announcements that differ from what the leader of Term last sent of these
	// servers in nothing but their numbers; a leader of another term ends the link.
	Again []AnnouncedAgain `cbor:"3,keyasint,omitempty"`
	Term  uint64           `cbor:"4,keyasint,omitempty"`
}

// AnnouncedAgain is one announcement of a backend server that is not cold and has not changed.
type AnnouncedAgain struct {
	_      struct{} `cbor:",toarray"`
	Handle uint32
	Seq    uint64
}

// Announced is the leader's answer: it has taken the list of that number. Of one that it
// cannot take it ends the link.
type Announced struct {
	Seq uint64 `cbor:"1,keyasint"`
}
