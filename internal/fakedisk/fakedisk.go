// SPDX-License-Identifier: Apache-2.0

// Package fakedisk implements [wal.Dir] in memory for tests, with crashes, failing syncs, a full disk
// and corrupted files.
//
// File contents become durable when the file is synced, and file names when the folder is synced.
// [Disk.Crash] restores the durable state plus a random subset of the unsynced sectors, as a real
// disk may leave it.
package fakedisk

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/state/wal"
)

// This file defines Disk and its faults.

// sector is the size in bytes that a disk writes atomically.
const sector = 512

// Errors of injected faults.
var (
	ErrSync = errors.New("fakedisk: sync failed")
	ErrFull = errors.New("fakedisk: no space left")
)

// Disk is a simulated folder. It is safe for concurrent use.
type Disk struct {
	mu        sync.Mutex
	rng       *rand.Rand
	files     map[string]*file // current files by name
	durable   map[string]*file // files by the names that survive a crash
	freeSpace int              // bytes that can still be written; -1 means unlimited
	failSync  bool
	syncTime  time.Duration
	syncs     int
	epoch     int // number of crashes; a handle is valid in the epoch in which it was opened
}

// file is the content of a file, current and as of its last sync.
type file struct {
	content []byte
	synced  []byte
}

var _ wal.Dir = (*Disk)(nil)

// New returns an empty disk whose random choices derive from seed.
func New(seed uint64) *Disk {
	return &Disk{
		rng: rand.New(rand.NewPCG(seed, 7)), files: map[string]*file{}, durable: map[string]*file{}, freeSpace: -1,
	}
}

// Crash discards unsynced data except for random sectors. Writes and syncs of files that were opened
// before it fail.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.failSync = false
	d.files = map[string]*file{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) { // sorted, so that a seed determines the outcome
		content := d.contentAfterCrash(d.durable[name])
		nf := &file{content: content, synced: slices.Clone(content)}
		d.files[name] = nf
		d.durable[name] = nf
	}
}

// contentAfterCrash returns the content of a file after a crash: the synced part, followed by a
// random number of unsynced bytes in which each sector is randomly kept or zeroed.
func (d *Disk) contentAfterCrash(f *file) []byte {
	content := slices.Clone(f.synced)
	if len(f.content) <= len(content) {
		return content
	}
	length := len(content) + d.rng.IntN(len(f.content)-len(content)+1)
	for at := len(content); at < length; {
		end := min((at/sector+1)*sector, length)
		if d.rng.IntN(2) == 0 {
			content = append(content, f.content[at:end]...)
		} else {
			content = append(content, make([]byte, end-at)...)
		}
		at = end
	}
	return content
}

// FailSync makes every sync fail until the next crash.
func (d *Disk) FailSync() { d.mu.Lock(); d.failSync = true; d.mu.Unlock() }

// SetSyncTime sets the duration of every sync of a file.
func (d *Disk) SetSyncTime(t time.Duration) { d.mu.Lock(); d.syncTime = t; d.mu.Unlock() }

// SetFreeSpace sets the number of bytes that can still be written; -1 means unlimited.
func (d *Disk) SetFreeSpace(bytes int) { d.mu.Lock(); d.freeSpace = bytes; d.mu.Unlock() }

// FlipBit inverts one bit of the byte at an offset of a file, durably.
func (d *Disk) FlipBit(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.content[at] ^= 1 << (at % 8)
	f.synced = slices.Clone(f.content)
}

// Truncate shortens a file to size bytes, durably.
func (d *Disk) Truncate(name string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.content = f.content[:size]
	f.synced = slices.Clone(f.content)
}

// Size returns the length of a file in bytes.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files[name].content)
}

// Syncs returns the number of successful syncs of files.
func (d *Disk) Syncs() int { d.mu.Lock(); defer d.mu.Unlock(); return d.syncs }

// ReadFile implements [wal.Dir].
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

// OpenAppend implements [wal.Dir].
func (d *Disk) OpenAppend(name string, size int64) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	f.content = f.content[:min(int(size), len(f.content))]
	if len(f.synced) > len(f.content) {
		f.synced = f.synced[:len(f.content)]
	}
	return &handle{d: d, f: f, epoch: d.epoch}, nil
}

// Rename implements [wal.Dir].
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = f
	return nil
}

// Remove implements [wal.Dir].
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

// List implements [wal.Dir].
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Sync implements [wal.Dir].
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSync {
		return ErrSync
	}
	d.durable = maps.Clone(d.files)
	return nil
}

// handle is an open file. After a crash, its writes and syncs fail.
type handle struct {
	d     *Disk
	f     *file
	epoch int
}

func (h *handle) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.epoch != h.d.epoch {
		return 0, fs.ErrClosed
	}
	n := len(b)
	if h.d.freeSpace >= 0 {
		n = min(n, h.d.freeSpace)
		h.d.freeSpace -= n
	}
	h.f.content = append(h.f.content, b[:n]...)
	if n < len(b) {
		return n, ErrFull
	}
	return n, nil
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	delay := h.d.syncTime
	h.d.mu.Unlock()
	time.Sleep(delay)
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.epoch != h.d.epoch {
		return fs.ErrClosed
	}
	if h.d.failSync {
		return ErrSync
	}
	h.d.syncs++
	h.f.synced = slices.Clone(h.f.content)
	return nil
}

func (h *handle) Close() error { return nil }
