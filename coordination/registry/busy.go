// SPDX-License-Identifier: Apache-2.0

package registry

import "github.com/badgerspoke/badgerspoke/protocol"

// This file defines how many backend servers stand where, and how many of them run something.

// stand is where servers stand that count together.
type stand struct{ pool, hall string }

// count counts a server that comes, 1, or goes, -1.
func (r *Registry) count(s protocol.Registration, n int) {
	at := stand{s.Pool, s.Hall}
	if r.counts[at] += n; r.counts[at] == 0 {
		delete(r.counts, at)
	}
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

// MaxBusyShare returns the part of the servers of a group that run something by the sums over all gateways, of the group
// in which it is largest; 1 without any group. group names the one of a pool's servers in a data hall, "" is none.
// It costs O(loads), not O(servers).
func (r *Registry) MaxBusyShare(loads []protocol.ServerLoad, group func(pool, hall string) string) (part float64) {
	all, busy := map[string]int{}, map[string]int{}
	for at, servers := range r.counts {
		all[group(at.pool, at.hall)] += servers
	}
	for _, l := range loads {
		if e := r.servers[r.byHandle[l.Handle]]; e != nil && l.Requests > 0 {
			busy[group(e.Pool, e.Hall)]++
		}
	}
	delete(all, "")
	if len(all) == 0 {
		return 1
	}
	for name, servers := range all {
		part = max(part, float64(busy[name])/float64(servers))
	}
	return part
}
