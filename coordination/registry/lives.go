// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which life of a backend server is listed, where one starts again under the
// name that it had.
//
// A life is later than another one if it began later by the server's own clock. That clock may
// step back between two lives, so an earlier start counts as late only while the later life is
// alive, or once it has been succeeded here.

// succeededKept is the number of earlier lives that are remembered: a late announcement of one changes
// nothing, also when the later life has gone. All servers of a data hall that start again.
const succeededKept = 4096

// sameName reports whether two identifiers are of lives of one server.
func sameName(a, b string) bool {
	nameA, _ := protocol.SplitLife(a)
	nameB, _ := protocol.SplitLife(b)
	return nameA == nameB
}

// NewestLife returns the listed life of a server by its name, "" if there is none.
func (r *Registry) NewestLife(name string) string { return r.byName[name] }

// IsListed reports whether a life of a server is listed.
func (r *Registry) IsListed(name string) bool { return r.byName[name] != "" }

// earlierLife reports whether an unlisted identifier is of a life that another one has succeeded.
func (r *Registry) earlierLife(now time.Duration, id string) bool {
	name, born := protocol.SplitLife(id)
	present := r.servers[r.byName[name]]
	if present == nil {
		return r.succeeded[id]
	}
	_, presentBorn := protocol.SplitLife(present.ID)
	return r.succeeded[id] || (born < presentBorn && now-present.lastSeen <= aliveFor*r.interval)
}

// succeed removes the listed life of a server of which another life has announced itself, and
// returns its identifier, if there is one.
func (r *Registry) succeed(id string) (gone []string) {
	name, _ := protocol.SplitLife(id)
	before := r.byName[name]
	if before == "" {
		return nil
	}
	r.Remove(before)
	if len(r.oldest) == succeededKept {
		delete(r.succeeded, r.oldest[0])
		r.oldest = r.oldest[1:]
	}
	r.succeeded[before], r.oldest = true, append(r.oldest, before)
	return []string{before}
}
