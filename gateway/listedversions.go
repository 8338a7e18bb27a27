// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which versions of a pool's servers this gateway lists or has listed, and so
// which may have begun a stream.

// countServer counts a server that is added (n is 1) or removed (n is -1) by its version. The caller
// holds mu.
func (p *pool) countServer(now time.Duration, version string, n int) {
	if p.versionCounts == nil {
		p.versionCounts = map[string]int{}
	}
	if p.versionCounts[version] += n; p.versionCounts[version] == 0 {
		delete(p.versionCounts, version)
	}
	p.versions.Observe(now, version)
}

// possibleVersions returns the versions of a pool's servers that may have begun a stream that can
// still be taken up, as far as this gateway has listed them.
func (t *table) possibleVersions(name string, retention time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(name).possibleVersions(t.now(), retention)
}

// possibleVersions is [table.possibleVersions] for this pool. The caller holds mu.
func (p *pool) possibleVersions(now, retention time.Duration) []string {
	for version := range p.versionCounts {
		p.versions.Observe(now, version)
	}
	return p.versions.Possible(now, retention)
}

// poolsWithVersions returns the pools with several possible versions.
func (t *table) poolsWithVersions(retention time.Duration) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := map[string]bool{}
	for name, p := range t.pools {
		if len(p.possibleVersions(t.now(), retention)) > 1 {
			pools[name] = true
		}
	}
	return pools
}

// keepsVersion reports whether the server of an attempt is still listed with the version that it
// had at the start of the attempt, or no longer listed at all.
func (t *table) keepsVersion(a *assignment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := a.entry
	if !k.removed {
		return k.Version == a.version
	}
	name, _ := protocol.SplitLife(k.ID)
	next := t.byAddress[k.Address]
	if next == nil {
		return true
	}
	nextName, _ := protocol.SplitLife(next.ID)
	return nextName != name || next.Version == a.version
}
