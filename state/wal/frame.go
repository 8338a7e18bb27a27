// SPDX-License-Identifier: Apache-2.0

package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// This file defines the frame, the unit that a crash keeps or loses as a whole, and
// distinguishes damaged frames from torn ones.

// The format of a frame on disk: a header of four little-endian uint32 values (magic,
// payload length, CRC-32C of the payload, CRC-32C of the first three values), followed
// by the payload: the records, each preceded by its length.
const (
	frameMagic  = 0x62737031 // "bsp1"
	headerSize  = 16         // bytes
	lengthBytes = 4          // size of a record's length, a little-endian uint32, in bytes
	// sectorSize is the smallest unit that a disk writes atomically, in bytes.
	sectorSize = 512
	// maxFrame is the largest payload that is accepted when a log is read, in bytes.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns one frame with all records.
func encodeFrame(records [][]byte) []byte {
	size := headerSize
	for _, r := range records {
		size += lengthBytes + len(r)
	}
	b := make([]byte, headerSize, size)
	for _, r := range records {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	payload := b[headerSize:]
	binary.LittleEndian.PutUint32(b[0:], frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[12:], crc32.Checksum(b[:12], castagnoli))
	return b
}

// frameStatus is the result of decoding a frame.
type frameStatus uint8

const (
	frameValid     frameStatus = iota
	frameTruncated             // the bytes end inside the frame
	frameDamaged               // the magic number, the length, a checksum or the payload is invalid
)

// decodeFrame decodes the frame at the start of b. The records alias b. size is the size
// of the frame in bytes, or zero if its header is invalid or its end is missing.
func decodeFrame(b []byte) (records [][]byte, size int, status frameStatus) {
	if len(b) < headerSize {
		return nil, 0, frameTruncated
	}
	if binary.LittleEndian.Uint32(b) != frameMagic ||
		binary.LittleEndian.Uint32(b[12:]) != crc32.Checksum(b[:12], castagnoli) {
		return nil, 0, frameDamaged
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrame {
		return nil, 0, frameDamaged
	}
	if len(b) < headerSize+n {
		return nil, 0, frameTruncated
	}
	payload := b[headerSize : headerSize+n]
	if binary.LittleEndian.Uint32(b[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, headerSize + n, frameDamaged
	}
	records, ok := splitRecords(payload)
	if !ok {
		return nil, headerSize + n, frameDamaged
	}
	return records, headerSize + n, frameValid
}

func splitRecords(payload []byte) ([][]byte, bool) {
	var records [][]byte
	for len(payload) > 0 {
		if len(payload) < lengthBytes {
			return nil, false
		}
		n := int(binary.LittleEndian.Uint32(payload))
		payload = payload[lengthBytes:]
		if n > len(payload) {
			return nil, false
		}
		records = append(records, payload[:n:n])
		payload = payload[n:]
	}
	return records, true
}

// isTornTail reports whether the bytes of a log from offset to its end can be the
// remains of one unacknowledged frame after a crash. b holds the whole file, because
// sectors are counted from its start.
func isTornTail(b []byte, offset int) bool {
	tail := b[offset:]
	if hasLaterFrame(tail) {
		return false
	}
	_, _, status := decodeFrame(tail)
	return status == frameTruncated || hasUnwrittenSector(b, offset)
}

// hasLaterFrame reports whether b holds a valid frame after the frame at its start. Such
// a frame proves that the first one had been synced.
func hasLaterFrame(b []byte) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for at := 1; at < len(b); at++ {
		i := bytes.Index(b[at:], magic[:])
		if i < 0 {
			return false
		}
		at += i
		if _, _, status := decodeFrame(b[at:]); status == frameValid {
			return true
		}
	}
	return false
}

// hasUnwrittenSector reports whether, from offset on, b holds a sector of zeros. Only
// the part after offset counts for the sector that contains offset.
func hasUnwrittenSector(b []byte, offset int) bool {
	for at := offset; at < len(b); {
		end := min((at/sectorSize+1)*sectorSize, len(b))
		if len(bytes.Trim(b[at:end], "\x00")) == 0 {
			return true
		}
		at = end
	}
	return false
}
