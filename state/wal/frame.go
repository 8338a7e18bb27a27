// SPDX-License-Identifier: Apache-2.0

package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// This file defines the frame, the unit that reaches the disk whole or not at
// all, and how a damaged frame differs from a torn one.

// The format of a frame, as it is on disk: a header of four little-endian
// uint32 (magic, payload length, CRC-32C of the payload, CRC-32C of the header
// before it), then the payload, which is records, each behind its length.
const (
	frameMagic  = 0x62737031 // "bsp1"
	headerSize  = 16         // bytes
	lengthBytes = 4          // bytes of a record's length, a little-endian uint32
	// sectorSize, in bytes, is the smallest unit that a disk writes at once.
	sectorSize = 512
	// maxFrame is the largest payload, in bytes, that is taken for one when a log is read.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns one frame that holds all records.
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

// frameVerdict is what decodeFrame found at the start of some bytes.
type frameVerdict uint8

const (
	frameWhole   frameVerdict = iota // records are valid, size is the frame's
	frameShort                       // the bytes end inside the frame
	frameDamaged                     // a checksum fails
)

// decodeFrame reads the frame at the start of b. The records alias b.
func decodeFrame(b []byte) (records [][]byte, size int, v frameVerdict) {
	if len(b) < headerSize {
		return nil, 0, frameShort
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
		return nil, 0, frameShort
	}
	payload := b[headerSize : headerSize+n]
	if binary.LittleEndian.Uint32(b[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, headerSize + n, frameDamaged
	}
	records, ok := splitRecords(payload)
	if !ok {
		return nil, headerSize + n, frameDamaged
	}
	return records, headerSize + n, frameWhole
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

// tornTail reports whether the bytes of a log from offset to its end can be
// what a crash left of one unacknowledged frame. The offset matters because
// sectors are counted from the start of the file.
func tornTail(b []byte, offset int) bool {
	tail := b[offset:]
	if validFrameBehind(tail) {
		return false
	}
	_, _, v := decodeFrame(tail)
	return v == frameShort || unwrittenSector(b, offset)
}

// validFrameBehind looks for a frame that was written after the one at the
// start of b. Its existence proves that the first one had been synced.
func validFrameBehind(b []byte) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for at := 1; at < len(b); at++ {
		i := bytes.Index(b[at:], magic[:])
		if i < 0 {
			return false
		}
		at += i
		if _, _, v := decodeFrame(b[at:]); v == frameWhole {
			return true
		}
	}
	return false
}

// unwrittenSector reports whether some sector that b touches from offset on
// is all zero in the part behind offset.
func unwrittenSector(b []byte, offset int) bool {
	for at := offset; at < len(b); {
		end := min((at/sectorSize+1)*sectorSize, len(b))
		if len(bytes.Trim(b[at:end], "\x00")) == 0 {
			return true
		}
		at = end
	}
	return false
}
