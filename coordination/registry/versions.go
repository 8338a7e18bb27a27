// SPDX-License-Identifier: Apache-2.0

package registry

import "slices"

// This file defines what the registry knows of the versions of a pool's backend servers.

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

// Lists reports whether a backend server of a pool's version is listed outside some halls.
func (r *Registry) Lists(pool, version string, without []string) bool {
	for _, e := range r.servers {
		if e.Pool == pool && e.Version == version && !slices.Contains(without, e.Hall) {
			return true
		}
	}
	return false
}
