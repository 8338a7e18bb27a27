// SPDX-License-Identifier: Apache-2.0

package registry

import "github.com/badgerspoke/badgerspoke/protocol"

// This file defines the number of backend servers by location, and the share of them that is busy.

// location is a pool and a data hall whose servers are counted together.
type location struct{ pool, hall string }

// adjustCount adds n to the number of servers at the location of s.
func (r *Registry) adjustCount(s protocol.Registration, n int) {
	at := location{s.Pool, s.Hall}
	if r.counts[at] += n; r.counts[at] == 0 {
		delete(r.counts, at)
	}
	r.versions[poolVersion{s.Pool, s.Version}] += n
}

// PoolSize returns the number of backend servers of a pool.
func (r *Registry) PoolSize(pool string) (n int) {
	for at, servers := range r.counts {
		if at.pool == pool {
			n += servers
		}
	}
	return n
}

// MaxBusyShare returns the share of busy servers in the group where it is largest, or 1 without any
// group. loads are the sums over all gateways. group returns the group of a pool's servers in a
// data hall, or "" for none. The cost is linear in the number of loads, not in that of servers.
func (r *Registry) MaxBusyShare(loads []protocol.ServerLoad, group func(pool, hall string) string) (share float64) {
	total, busy := map[string]int{}, map[string]int{}
	for at, servers := range r.counts {
		total[group(at.pool, at.hall)] += servers
	}
	for _, l := range loads {
		if e := r.servers[r.byHandle[l.Handle]]; e != nil && l.Requests > 0 {
			busy[group(e.Pool, e.Hall)]++
		}
	}
	delete(total, "")
	if len(total) == 0 {
		return 1
	}
	for name, servers := range total {
		share = max(share, float64(busy[name])/float64(servers))
	}
	return share
}
