// SPDX-License-Identifier: Apache-2.0

package registry

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
