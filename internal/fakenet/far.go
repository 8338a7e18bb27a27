// SPDX-License-Identifier: Apache-2.0

package fakenet

import "time"

// This file defines regions: boxes far from each other, and the link between them that all
// their connections share; and boxes whose own link has a rate.

// way is from one region to another.
type way struct{ from, to string }

// far is what lies between regions.
type far struct {
	latency time.Duration
	rate    int               // bytes a second on each way; 0 is no bound
	regions map[string]string // by box
	free    map[way]time.Time // when a way has carried all that was written to it
	crossed map[way]uint64    // bytes written to a way
	cut     map[string]bool   // regions that nothing reaches
	links   map[string]*boxLink
}

// boxLink is what carries all that a box sends, in the order in which it was written.
type boxLink struct {
	rate int       // bytes a second
	free time.Time // when it has carried all that was written
	sent uint64    // bytes
}

// SetUplinkRate bounds the bytes a second that a box sends, over all its connections.
func (n *Network) SetUplinkRate(ip string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.far.links[ip] = &boxLink{rate: bytesPerSecond}
}

// Sent returns the bytes that a box with a bounded link has sent.
func (n *Network) Sent(ip string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.far.links[ip]; l != nil {
		return l.sent
	}
	return 0
}

// carry returns when a link that other bytes wait for has carried some more.
func (l *boxLink) carry(now time.Time, bytes int) time.Time {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	l.sent += uint64(bytes)
	return l.free
}

// SetRegionLink puts a latency between boxes of different regions, and a bound on the bytes a second
// that all connections of a pair of regions carry one way; 0 is no bound.
func (n *Network) SetRegionLink(latency time.Duration, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.far.latency, n.far.rate = latency, bytesPerSecond
}

// Place puts a box into a region.
func (n *Network) Place(ip, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.far.regions[ip] = region
}

// CutRegion cuts a region off in silence, until JoinRegion.
func (n *Network) CutRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.far.cut[region] = true
}

// JoinRegion ends what CutRegion began.
func (n *Network) JoinRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.far.cut, region)
	n.wakeTravellers()
}

// Crossed returns the bytes that were written from one region to another.
func (n *Network) Crossed(from, to string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.far.crossed[way{from, to}]
}

func newFar() far {
	return far{regions: map[string]string{}, free: map[way]time.Time{}, crossed: map[way]uint64{}, cut: map[string]bool{}, links: map[string]*boxLink{}}
}

// between returns the way between two boxes and whether they stand in different regions.
func (f far) between(from, to string) (way, bool) {
	w := way{f.regions[from], f.regions[to]}
	return w, w.from != w.to
}

// severed reports whether nothing passes between two boxes.
func (f far) severed(from, to string) bool {
	w, apart := f.between(from, to)
	return apart && (f.cut[w.from] || f.cut[w.to])
}

// arrival returns when bytes that are written now arrive.
func (n *Network) arrival(from, to string, bytes int) time.Time {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.far.links[from]; l != nil && from != to {
		now = l.carry(now, bytes)
	}
	w, apart := n.far.between(from, to)
	if !apart {
		return now.Add(n.latency)
	}
	n.far.crossed[w] += uint64(bytes)
	if n.far.rate == 0 {
		return now.Add(n.far.latency)
	}
	free := n.far.free[w]
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(bytes) * time.Second / time.Duration(n.far.rate))
	n.far.free[w] = free
	return free.Add(n.far.latency)
}
