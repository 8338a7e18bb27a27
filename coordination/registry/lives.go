// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which life of a backend server is listed. A life is one run of its process; a
// server that restarts begins a new one under the same name.
//
// A life is later than another if it began later by the server's own clock. Since the clock may
// step back between two lives, an announcement of an earlier life is ignored only while the later
// life is alive, or if the later life has replaced it here.

// maxReplaced is the number of replaced lives that are kept. A late announcement of a replaced life
// changes nothing, even if the later life is gone. It allows for a restart of all servers of a data
// hall.
const maxReplaced = 4096

// sameServer reports whether two identifiers belong to lives of the same server.
func sameServer(a, b string) bool {
	nameA, _ := protocol.SplitLife(a)
	nameB, _ := protocol.SplitLife(b)
	return nameA == nameB
}

// NewestLife returns the identifier of the server's listed life, or "" if there is none.
func (r *Registry) NewestLife(name string) string { return r.byName[name] }

// IsListed reports whether a life of the server is listed.
func (r *Registry) IsListed(name string) bool { return r.byName[name] != "" }

// isEarlierLife reports whether an unlisted identifier belongs to a life that another one has
// replaced.
func (r *Registry) isEarlierLife(now time.Duration, id string) bool {
	name, born := protocol.SplitLife(id)
	present := r.servers[r.byName[name]]
	if present == nil {
		return r.replaced[id]
	}
	_, presentBorn := protocol.SplitLife(present.ID)
	return r.replaced[id] || (born < presentBorn && r.mayBeAlive(now, present))
}

// replaceEarlierLife removes the server's listed life when another one has announced itself, and
// returns its identifier, if there is one.
func (r *Registry) replaceEarlierLife(id string) (gone []string) {
	name, _ := protocol.SplitLife(id)
	before := r.byName[name]
	if before == "" {
		return nil
	}
	r.Remove(before)
	if len(r.replacedOrder) == maxReplaced {
		delete(r.replaced, r.replacedOrder[0])
		r.replacedOrder = r.replacedOrder[1:]
	}
	r.replaced[before], r.replacedOrder = true, append(r.replacedOrder, before)
	return []string{before}
}
