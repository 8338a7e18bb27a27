// SPDX-License-Identifier: Apache-2.0

package wal

import (
	"fmt"
	"io/fs"
	"slices"

	"github.com/pkg/errors"
)

// This file defines Log, an open write-ahead log in one folder.

// Log appends records and rotates generations. It is not safe for concurrent
// use: one goroutine owns it and decides which records share a sync.
type Log struct {
	dir        Dir
	file       File
	generation uint64
	size       int64
	failure    error
}

// Recovered is the content of a folder at the time of opening.
type Recovered struct {
	Snapshot     []byte   // nil in generation 0
	Records      [][]byte // in the order in which they were appended
	DroppedBytes int      // bytes of a torn last frame
}

// Open reads a folder and returns its log, ready for appending, and its content. The
// error is [Damaged] if the content must not be used, otherwise it comes from the disk.
func Open(dir Dir) (*Log, Recovered, error) {
	names, err := dir.List()
	if err != nil {
		return nil, Recovered{}, errors.Wrap(err, "wal: list folder")
	}
	gen := newestGeneration(names)
	l := &Log{dir: dir, generation: gen}
	var rec Recovered
	if gen > 0 {
		if rec.Snapshot, err = readSnapshot(dir, gen); err != nil {
			return nil, rec, err
		}
	}
	if err := l.readLog(&rec); err != nil {
		return nil, rec, err
	}
	l.removeStale(names...)
	if l.file, err = dir.OpenAppend(logName(gen), l.size); err != nil {
		return nil, rec, errors.Wrap(err, "wal: open log")
	}
	if err := l.syncAll(); err != nil {
		l.file.Close()
		return nil, rec, err
	}
	return l, rec, nil
}

// Append makes the records durable with one write and one sync. After an error all
// further calls fail with [Failed].
func (l *Log) Append(records ...[]byte) error {
	if l.failure != nil {
		return l.failure
	}
	frame := encodeFrame(records)
	if _, err := l.file.Write(frame); err != nil {
		return l.setFailed("write", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.setFailed("sync", err)
	}
	l.size += int64(len(frame))
	return nil
}

// Rotate starts the next generation with a snapshot and the records that the snapshot
// does not cover.
func (l *Log) Rotate(snapshot []byte, tail ...[]byte) error {
	if l.failure != nil {
		return l.failure
	}
	next := l.generation + 1
	frame := encodeFrame(tail)
	if err := l.writeNew(logName(next), frame); err != nil {
		return l.setFailed("rotate log", err)
	}
	if err := l.writeNew(snapshotName(next), encodeFrame([][]byte{snapshot})); err != nil {
		return l.setFailed("rotate snapshot", err)
	}
	file, err := l.dir.OpenAppend(logName(next), int64(len(frame)))
	if err != nil {
		return l.setFailed("open rotated log", err)
	}
	l.file.Close()
	old := l.generation
	l.file, l.generation, l.size = file, next, int64(len(frame))
	l.removeStale(logName(old), snapshotName(old))
	return nil
}

// Size returns the size of the current log file, in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file. Appended records are already durable.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = Failed{Op: "append", Err: fs.ErrClosed}
	}
	return l.file.Close()
}

// writeNew writes a file under a temporary name, makes it durable and renames it to
// its final name.
func (l *Log) writeNew(name string, content []byte) error {
	tmp := name + tmpSuffix
	f, err := l.dir.OpenAppend(tmp, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(content); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.dir.Rename(tmp, name); err != nil {
		return err
	}
	return l.dir.Sync()
}

func (l *Log) setFailed(op string, err error) error {
	l.failure = Failed{Op: op, Err: err}
	return l.failure
}

func (l *Log) syncAll() error {
	if err := l.file.Sync(); err != nil {
		return l.setFailed("sync", err)
	}
	if err := l.dir.Sync(); err != nil {
		return l.setFailed("sync folder", err)
	}
	return nil
}

// readLog reads the records of the current log file and finds the end of its valid
// part.
func (l *Log) readLog(rec *Recovered) error {
	name := logName(l.generation)
	b, err := l.dir.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		if l.generation > 0 {
			return Damaged{File: name, Reason: "file is missing although its snapshot exists"}
		}
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "wal: read log")
	}
	at := 0
	for at < len(b) {
		records, size, status := decodeFrame(b[at:])
		if status == frameValid {
			rec.Records = append(rec.Records, records...)
			at += size
			continue
		}
		if !isTornTail(b, at) {
			return Damaged{File: name, Offset: int64(at), Reason: "frame checksum mismatch"}
		}
		rec.DroppedBytes = len(b) - at
		break
	}
	l.size = int64(at)
	return nil
}

func readSnapshot(dir Dir, gen uint64) ([]byte, error) {
	name := snapshotName(gen)
	b, err := dir.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "wal: read snapshot")
	}
	records, size, status := decodeFrame(b)
	if status != frameValid || size != len(b) || len(records) != 1 {
		return nil, Damaged{File: name, Reason: "snapshot checksum mismatch"}
	}
	return records[0], nil
}

// removeStale deletes the named files that are temporary or belong to another generation.
func (l *Log) removeStale(names ...string) {
	for _, name := range names {
		if name != logName(l.generation) && name != snapshotName(l.generation) && isLogFile(name) {
			// A failure is harmless: nothing reads the file, and the next Open retries.
			_ = l.dir.Remove(name)
		}
	}
}

// Parts of file names.
const (
	tmpSuffix        = ".tmp"
	generationDigits = 16 // hexadecimal digits of the generation in a file name
)

func logName(gen uint64) string      { return fmt.Sprintf("%016x.log", gen) }
func snapshotName(gen uint64) string { return fmt.Sprintf("%016x.snapshot", gen) }

// newestGeneration returns the highest generation that has a snapshot, or zero.
func newestGeneration(names []string) uint64 {
	var newest uint64
	for _, name := range names {
		var gen uint64
		if _, err := fmt.Sscanf(name, "%016x.snapshot", &gen); err == nil && name == snapshotName(gen) {
			newest = max(newest, gen)
		}
	}
	return newest
}

// isLogFile reports whether name is that of a log or snapshot file, final or temporary.
func isLogFile(name string) bool {
	suffixes := []string{".log", ".snapshot", ".log" + tmpSuffix, ".snapshot" + tmpSuffix}
	return len(name) > generationDigits && slices.Contains(suffixes, name[generationDigits:])
}
