// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
)

// This file defines queries about the versions of a pool's backend servers.

// poolVersion is a version of a pool's servers.
type poolVersion struct{ pool, version string }

// ObserveVersions calls observe for each version of a pool of which servers are listed, or were
// since the last call.
func (r *Registry) ObserveVersions(observe func(pool, version string)) {
	for v, n := range r.versions {
		observe(v.pool, v.version)
		if n == 0 {
			delete(r.versions, v)
		}
	}
}

// Versions returns the versions of a pool's backend servers by handle.
func (r *Registry) Versions(pool string) map[uint32]string {
	versions := map[uint32]string{}
	for _, e := range r.servers {
		if e.Pool == pool {
			versions[e.Handle] = e.Version
		}
	}
	return versions
}

// HallsOf returns the data halls in which backend servers of a pool's version are listed.
func (r *Registry) HallsOf(pool, version string) []string {
	halls := map[string]bool{}
	for _, e := range r.servers {
		if e.Pool == pool && e.Version == version {
			halls[e.Hall] = true
		}
	}
	return slices.Sorted(maps.Keys(halls))
}
