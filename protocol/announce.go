// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// This file defines the messages by which a directory replica forwards announcements of backend
// servers to the leader.

// Announcement is one announcement of a backend server.
type Announcement struct {
	Registration
	Seq      uint64        `cbor:"6,keyasint"` // increases with each announcement of one ID
	ColdLeft time.Duration `cbor:"7,keyasint,omitempty"`
}

// Announce is sent by a replica to the leader. It contains the announcements received within a
// few milliseconds.
type Announce struct {
	Seq  uint64         `cbor:"1,keyasint"` // counted from 1 on each link
	List []Announcement `cbor:"2,keyasint"`
	// Unchanged are announcements that differ only in their sequence numbers from what the leader
	// of Term last sent about these servers. A leader of another term closes the link.
	Unchanged []UnchangedAnnouncement `cbor:"3,keyasint,omitempty"`
	Term      uint64                  `cbor:"4,keyasint,omitempty"`
}

// UnchangedAnnouncement is one announcement of an unchanged backend server that is not cold.
type UnchangedAnnouncement struct {
	_      struct{} `cbor:",toarray"`
	Handle uint32
	Seq    uint64
}

// Announced is the leader's acknowledgement of the list with that number. If the leader cannot
// accept a list, it closes the link.
type Announced struct {
	Seq uint64 `cbor:"1,keyasint"`
}
