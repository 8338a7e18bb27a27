// SPDX-License-Identifier: Apache-2.0

// Package wal keeps opaque records on a disk so that what was acknowledged
// survives a crash, and so that damage is noticed rather than guessed around.
//
// The model is a sequence of generations. Generation n is a snapshot file and
// a log file; generation 0 has no snapshot. [Log.Append] writes all its
// records as one frame with one checksum and one sync: a frame is the unit
// that a crash keeps or loses. [Log.Rotate] starts the next generation: the
// new log and the new snapshot are written under temporary names, synced,
// renamed (log first, snapshot second, which is the commit point) and the
// folder is synced before the old generation is removed.
//
// What may be damaged, and what follows:
//
//   - The last frame of the log may be torn by a crash during its write. It
//     was never acknowledged, so it is dropped. Torn means that the file ends
//     inside the frame, or that the frame holds a run of zero bytes up to a
//     sector's end where a sector was never written.
//   - Anything else ([Damaged]) is refused: a valid frame behind a damaged
//     one, a last frame with wrong but complete content, a snapshot whose
//     checksum fails, a missing file. The caller must stop; the replica is
//     repaired as one that lost its disk.
//   - A failed write or sync ([Failed]) is final for the Log. The kernel may
//     have dropped the dirty pages, so a second sync that succeeds proves
//     nothing.
//
// One frame per record was rejected: sectors of one write may reach the disk
// out of order, and a valid record behind a torn one would be
// indistinguishable from damage in the middle.
package wal
