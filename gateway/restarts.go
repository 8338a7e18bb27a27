// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines restarts, which finds the streams whose version is in doubt because their
// server has restarted under its name with another version.
//
// A restarted server receives requests before the gateway learns of the restart, if it listens at
// its earlier address. What it streams until then looks like the earlier version's.

const (
	// restartNotice is the longest time from a server's restart until the gateway lists its new
	// version, if the server's first announcement arrives.
	restartNotice = 2 * time.Second
	// maxBegunStreams bounds the recent streams of one server at this gateway.
	maxBegunStreams = 256
)

// begunStream is a stream that began at a server.
type begunStream struct {
	id streamversion.ID
	at time.Duration
}

// doubtfulStreams are streams that either of two versions of a pool may have begun.
type doubtfulStreams struct {
	pool     string
	versions [2]string
	ids      []streamversion.ID
}

// restarts holds what is needed to find streams in doubt. The zero value is empty.
type restarts struct {
	removed  map[string]removedServer // by the name of the server
	doubtful []doubtfulStreams        // not yet taken
}

// removedServer is a server that was removed from the table.
type removedServer struct {
	server *knownServer
	at     time.Duration
}

// addRemoved records that a server was removed.
func (r *restarts) addRemoved(now time.Duration, k *knownServer) {
	maps.DeleteFunc(r.removed, func(_ string, s removedServer) bool { return now-s.at > restartNotice })
	if len(k.begun) == 0 {
		return
	}
	if r.removed == nil {
		r.removed = map[string]removedServer{}
	}
	name, _ := protocol.SplitLife(k.ID)
	r.removed[name] = removedServer{k, now}
}

// removedLife returns the recently removed server with the name of another one, or nil.
func (r *restarts) removedLife(id string) *knownServer {
	name, _ := protocol.SplitLife(id)
	return r.removed[name].server
}

// recordBegun records that a stream began at the server of an attempt.
func (t *table) recordBegun(a *assignment, id streamversion.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, k := t.now(), a.entry
	for len(k.begun) > 0 && (now-k.begun[0].at > restartNotice || len(k.begun) >= maxBegunStreams) {
		k.begun = k.begun[1:]
	}
	k.begun = append(k.begun, begunStream{id, now})
}

// recordRestart records that a server is listed with a version, which puts recent streams in doubt
// if it is another one. The caller holds mu.
func (t *table) recordRestart(k *knownServer, version string) {
	if k.Version == version {
		return
	}
	d := doubtfulStreams{pool: k.Pool, versions: [2]string{k.Version, version}}
	for _, s := range k.begun {
		if t.now()-s.at <= restartNotice {
			d.ids = append(d.ids, s.id)
		}
	}
	k.begun = nil
	if len(d.ids) > 0 {
		t.restarts.doubtful = append(t.restarts.doubtful, d)
	}
}

// takeDoubtful returns the streams in doubt since the last call.
func (t *table) takeDoubtful() []doubtfulStreams {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.restarts.doubtful
	t.restarts.doubtful = nil
	return taken
}
