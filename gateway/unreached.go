// SPDX-License-Identifier: Apache-2.0

package gateway

import "time"

// This file defines unreached, which keeps attempts at a single stopped server from being counted
// as failures of its version. Such an attempt got no connection and is retried elsewhere, so it
// costs the caller nothing.

const (
	// unreachedExpiry is how long a server counts as unreachable after the last failed attempt. An
	// ejected server is tried again within that time (outlier.maxGatewayEjection).
	unreachedExpiry = 12 * time.Second
	// minRestartTime is less than a stopped server takes to start again. If a server answers sooner
	// after a failed attempt, it had not stopped but refuses some connections.
	minRestartTime = time.Second
	// maxUnreachedAttempts bounds the uncounted attempts at one server; it is ejected after a few.
	maxUnreachedAttempts = 16
)

// unreached holds the servers of a rollout's target that could not be reached, by identifier, with
// the attempts at them that are not counted as failed. It is guarded by table.mu.
type unreached map[string]*unreachedAttempts

// unreachedAttempts holds the uncounted attempts at one server that could not be reached.
type unreachedAttempts struct {
	lastAttempt time.Duration // time of the newest attempt
	tallies     []*tally      // tallies in which the attempts belong
}

// add records an attempt at a server that could not be reached. If more than one server is
// unreachable, the version itself may be at fault, and all recorded attempts are counted as failed.
func (u unreached) add(now time.Duration, server string, c *tally) {
	a := u[server]
	if a == nil {
		a = &unreachedAttempts{}
		u[server] = a
	}
	a.lastAttempt = now
	if len(a.tallies) < maxUnreachedAttempts {
		a.tallies = append(a.tallies, c)
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

// recordAnswer records an answer of a server and reports whether the server was unreachable before.
func (u unreached) recordAnswer(now time.Duration, server string) bool {
	a := u[server]
	if a == nil {
		return false
	}
	if now-a.lastAttempt < minRestartTime {
		a.count()
	}
	delete(u, server)
	return true
}

// reachable returns the servers that are not known to be unreachable, or all if there are none: a
// trial goes on with other servers.
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

// count counts the recorded attempts as failed.
func (a *unreachedAttempts) count() {
	for _, c := range a.tallies {
		c.failed++
		c.changed = true
	}
	a.tallies = nil
}
