// SPDX-License-Identifier: Apache-2.0

// Package wal implements a write-ahead log of opaque records. Acknowledged records
// survive a crash, and damage is detected and reported instead of being repaired by
// guessing.
//
// The log is a sequence of generations. Generation n consists of a snapshot file and a
// log file; generation 0 has no snapshot. [Log.Append] writes all its records as one
// frame with one checksum and one sync, so a crash keeps or loses a frame as a whole.
// [Log.Rotate] starts the next generation: it writes the new log and the new snapshot
// under temporary names, syncs them, renames them (the log first; the rename of the
// snapshot is the commit point) and syncs the folder before it removes the old
// generation.
//
// Kinds of damage and their handling:
//
//   - A crash during a write may tear the last frame of the log. That frame was never
//     acknowledged, so it is dropped. A frame counts as torn if the file ends inside it,
//     or if it holds zero bytes up to the end of a sector that was never written.
//   - Any other damage is reported as [Damaged]: a valid frame after a damaged one, a
//     last frame with complete but wrong content, a snapshot with a wrong checksum, a
//     missing file. The caller must stop, and the replica is repaired like one that lost
//     its disk.
//   - A failed write or sync ([Failed]) is final for the Log. The kernel may have
//     dropped the dirty pages, so a later sync that succeeds proves nothing.
//
// A frame holds all records of one Append, instead of one record per frame, because the
// sectors of one write may reach the disk out of order: a valid record after a torn one
// would be indistinguishable from damage in the middle of the log.
package wal
