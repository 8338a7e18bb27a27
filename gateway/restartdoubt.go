// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

// This file defines restartDoubt, which says that a server may have restarted with another version than the listed one.
//
// A restarted server listens before its first announcement has reached the gateway. A stream that goes on there would go
// on at another version, if the server has a new one. What the gateway notices earlier is that the process has ended.

const (
	// maxRestartDoubt bounds the doubt about a server from which nothing comes: the longest ejection, and more.
	maxRestartDoubt = 15 * time.Second
	// minPause is the shortest time without a tick after which the gateway counts as paused: it may have missed that
	// a server refused connections.
	minPause = 300 * time.Millisecond
)

// restartDoubt is guarded by table.mu, but for exists.
type restartDoubt struct {
	exists atomic.Bool
	since  time.Duration // last sign that the process has ended
	backAt time.Duration // first answer after that, 0 before
}

// holds reports whether the server may have another version than listed. listeningSince is when the gateway's session
// with the directory began, 0 without one.
func (d *restartDoubt) holds(now, listeningSince time.Duration) bool {
	switch {
	case !d.exists.Load():
		return false
	case d.backAt == 0:
		return now-d.since <= maxRestartDoubt
	}
	return listeningSince == 0 || now-max(d.backAt, listeningSince) <= restartNotice
}

// clear ends the doubt: the server was listed anew.
func (d *restartDoubt) clear() {
	d.exists.Store(false)
	d.since, d.backAt = 0, 0
}

// doubtRestart records a sign that the process of a server has ended.
func (t *table) doubtRestart(serverID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.servers[serverID]; k != nil {
		k.doubt.exists.Store(true)
		k.doubt.since, k.doubt.backAt = t.now(), 0
	}
}

// recordBack records an answer of a server, which is back if its process had ended.
func (t *table) recordBack(k *knownServer) {
	if !k.doubt.exists.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.doubt.backAt == 0 {
		k.doubt.backAt = t.now()
	}
}

// setListening records that the gateway has a session with the directory, or none.
func (t *table) setListening(listening bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeningSince = 0
	if listening {
		t.listeningSince = t.now()
	}
}

// isRefusedConnection reports whether a send failed because nothing listens at the address.
func isRefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// pauses detects that the whole process has stood still.
type pauses struct {
	tickedAt, endedAt atomic.Int64 // of the last tick and the last pause, by the gateway's clock
}

// tick is called periodically.
func (p *pauses) tick(now time.Duration) {
	if last := time.Duration(p.tickedAt.Swap(int64(now))); last > 0 && now-last > minPause {
		p.endedAt.Store(int64(now))
	}
}

// wereRecent reports whether the process stood still within the last restartNotice.
func (p *pauses) wereRecent(now time.Duration) bool {
	last, ended := time.Duration(p.tickedAt.Load()), time.Duration(p.endedAt.Load())
	return last > 0 && now-last > minPause || ended > 0 && now-ended <= restartNotice
}
