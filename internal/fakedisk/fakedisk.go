// SPDX-License-Identifier: Apache-2.0

// Package fakedisk is a folder in memory that loses what was not synced, and
// worse, when a test wants it. It implements [wal.Dir] for tests.
//
// The model: every file has content that is durable and content that was
// written since its last sync; every name is durable or waits for a sync of
// the folder. [Disk.Crash] goes back to what is durable, and by chance keeps
// some unsynced sectors, in any order, as a real disk may.
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

// sector is what a disk writes whole, in bytes: the usual size of a sector.
const sector = 512

// Errors of the faults of a Disk.
var (
	ErrSync = errors.New("fakedisk: sync failed")
	ErrFull = errors.New("fakedisk: no space left")
)

// Disk is a folder. It is safe for concurrent use.
type Disk struct {
	mu       sync.Mutex
	rng      *rand.Rand
	files    map[string]*file // as the process sees them
	durable  map[string]*file // names as a crash leaves them
	room     int              // bytes that may still be written, -1 for any
	failSync bool
	syncTime time.Duration
	syncs    int
	epoch    int // of crashes: files opened before are stale
}

type file struct {
	content []byte
	synced  []byte
}

var _ wal.Dir = (*Disk)(nil)

// New returns an empty disk whose chances come from seed.
func New(seed uint64) *Disk {
	return &Disk{
		rng: rand.New(rand.NewPCG(seed, 7)), files: map[string]*file{}, durable: map[string]*file{}, room: -1,
	}
}

// Crash loses what was not synced, but for some sectors by chance. Files open
// before are stale.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.failSync = false
	d.files = map[string]*file{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) { // the chances go by this order
		left := d.remains(d.durable[name])
		nf := &file{content: left, synced: slices.Clone(left)}
		d.files[name] = nf
		d.durable[name] = nf
	}
}

// remains returns what a crash leaves of a file: the synced content, then up
// to some length of sectors that were written or read as zero.
func (d *Disk) remains(f *file) []byte {
	left := slices.Clone(f.synced)
	if len(f.content) <= len(left) {
		return left
	}
	length := len(left) + d.rng.IntN(len(f.content)-len(left)+1)
	for at := len(left); at < length; {
		end := min((at/sector+1)*sector, length)
		if d.rng.IntN(2) == 0 {
			left = append(left, f.content[at:end]...)
		} else {
			left = append(left, make([]byte, end-at)...)
		}
		at = end
	}
	return left
}

// FailSync makes every sync fail until the next crash.
func (d *Disk) FailSync() { d.mu.Lock(); d.failSync = true; d.mu.Unlock() }

// SetSyncTime makes every sync of a file take that long.
func (d *Disk) SetSyncTime(t time.Duration) { d.mu.Lock(); d.syncTime = t; d.mu.Unlock() }

// SetFreeSpace sets how many more bytes fit on the disk; -1 is no bound.
func (d *Disk) SetFreeSpace(bytes int) { d.mu.Lock(); d.room = bytes; d.mu.Unlock() }

// Flip changes one bit of a file, durably.
func (d *Disk) Flip(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.content[at] ^= 1 << (at % 8)
	f.synced = slices.Clone(f.content)
}

// Truncate cuts a file, durably.
func (d *Disk) Truncate(name string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.content = f.content[:size]
	f.synced = slices.Clone(f.content)
}

// Size returns the length of a file.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files[name].content)
}

// Syncs returns how often a file was synced.
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

// handle is an open file.
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
	if h.d.room >= 0 {
		n = min(n, h.d.room)
		h.d.room -= n
	}
	h.f.content = append(h.f.content, b[:n]...)
	if n < len(b) {
		return n, ErrFull
	}
	return n, nil
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	takes := h.d.syncTime
	h.d.mu.Unlock()
	time.Sleep(takes)
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
