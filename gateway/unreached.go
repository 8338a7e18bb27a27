// SPDX-License-Identifier: Apache-2.0

package gateway

import "time"

// This file defines unreached, which keeps attempts at one server that has stopped from being
// counted as failures of its version. An attempt that got no connection costs no caller anything:
// it goes elsewhere.

const (
	// unreachedExpiry is for how long a server that could not be reached counts as such. An ejected
	// one is tried again within that (outlier.longestWait).
	unreachedExpiry = 12 * time.Second
	// minRestartTime is how soon after that an answer of the server shows that it has not
	// stopped, but refuses some. One that has stopped needs longer to start again.
	minRestartTime = time.Second
	// maxUnreachedAttempts bounds the attempts at one server that wait to be counted; it is ejected after
	// a few.
	maxUnreachedAttempts = 16
)

// unreached is, by the servers of a target that could not be reached, the attempts at them that
// are not counted as failed. The zero value has none. It is guarded by table.mu.
type unreached map[string]*unreachedAttempts

// unreachedAttempts is the attempts at one server that could not be reached.
type unreachedAttempts struct {
	lastAttempt time.Duration // of the newest
	tallies     []*tally      // that they are counted in, once they are
}

// add takes an attempt at a server that could not be reached. Once it is not the only one, all
// that waited are counted.
func (u unreached) add(now time.Duration, server string, c *tally) {
	g := u[server]
	if g == nil {
		g = &unreachedAttempts{}
		u[server] = g
	}
	g.lastAttempt = now
	if len(g.tallies) < maxUnreachedAttempts {
		g.tallies = append(g.tallies, c)
	}
	fresh := 0
	for id, other := range u {
		if now-other.lastAttempt >= unreachedExpiry {
			delete(u, id)
			continue
		}
		fresh++
	}
	if fresh < 2 {
		return
	}
	for _, other := range u {
		other.count()
	}
}

// recordAnswer takes an answer of a server and reports whether it could not be reached before.
func (u unreached) recordAnswer(now time.Duration, server string) bool {
	g := u[server]
	if g == nil {
		return false
	}
	if now-g.lastAttempt < minRestartTime {
		g.count()
	}
	delete(u, server)
	return true
}

// reachable returns the servers that could be reached, or all if there is none: a trial goes on with
// another server.
func (u unreached) reachable(servers []*knownServer) []*knownServer {
	if len(u) == 0 {
		return servers
	}
	var reached []*knownServer
	for _, k := range servers {
		if u[k.ID] == nil {
			reached = append(reached, k)
		}
	}
	if len(reached) == 0 {
		return servers
	}
	return reached
}

// count counts the attempts as failed.
func (g *unreachedAttempts) count() {
	for _, c := range g.tallies {
		c.failed++
		c.changed = true
	}
	g.tallies = nil
}
