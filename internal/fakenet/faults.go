// SPDX-License-Identifier: Apache-2.0

package fakenet

// This file defines network faults: partitions between boxes and silent connections.

// Cut drops all traffic from and to a box, without an error on either side, until Restore.
func (n *Network) Cut(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = true
}

// Restore reverts Cut.
func (n *Network) Restore(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, ip)
	n.wakeWaiters()
}

// Isolate drops the traffic among the given boxes, but not between them and others.
func (n *Network) Isolate(ips ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		n.isolated[ip] = true
	}
}

// Partition drops the traffic between a box and the given others, but not between it and the rest.
func (n *Network) Partition(ip string, from ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range from {
		n.partitioned[[2]string{ip, other}], n.partitioned[[2]string{other, ip}] = true, true
	}
}

// HealPartitions reverts all calls of Isolate and Partition.
func (n *Network) HealPartitions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.isolated)
	clear(n.partitioned)
	n.wakeWaiters()
}

// SilenceConnections makes every open connection silent permanently: both sides may continue to write, but
// neither data nor the close arrives. Connections opened later work.
func (n *Network) SilenceConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.in.update(func() { c.in.silent = true })
		c.out.update(func() { c.out.silent = true })
	}
}
