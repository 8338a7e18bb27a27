// SPDX-License-Identifier: Apache-2.0

package fakenet

import "time"

// This file defines regions, each pair of which is connected by a link that all their boxes share, and
// boxes with a limited uplink rate.

// direction is an ordered pair of regions.
type direction struct{ from, to string }

// regionLinks holds the regions, the links between them and the uplinks of boxes.
type regionLinks struct {
	latency time.Duration
	rate    int                     // bytes per second in each direction; zero means unlimited
	regions map[string]string       // region by box
	idleAt  map[direction]time.Time // time at which all bytes written so far have been transmitted
	written map[direction]uint64    // bytes written in a direction
	cut     map[string]bool         // regions that are cut off
	uplinks map[string]*uplink      // limited uplinks by box
}

// uplink is the rate-limited link from a box to the network. It transmits bytes in the order in which
// they were written.
type uplink struct {
	rate   int       // bytes per second
	idleAt time.Time // time at which all bytes written so far have been transmitted
	sent   uint64    // bytes written
}

// SetUplinkRate limits the rate at which a box sends, over all its connections together.
func (n *Network) SetUplinkRate(ip string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regionLinks.uplinks[ip] = &uplink{rate: bytesPerSecond}
}

// BytesSent returns the number of bytes that a box with a limited uplink has sent.
func (n *Network) BytesSent(ip string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.regionLinks.uplinks[ip]; l != nil {
		return l.sent
	}
	return 0
}

// transmit queues more bytes and returns the time at which they will have been transmitted.
func (l *uplink) transmit(now time.Time, bytes int) time.Time {
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	l.sent += uint64(bytes)
	return l.idleAt
}

// SetRegionLink sets the latency between boxes of different regions, and the rate limit in each
// direction that all connections between two regions share. A rate of zero means unlimited.
func (n *Network) SetRegionLink(latency time.Duration, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regionLinks.latency, n.regionLinks.rate = latency, bytesPerSecond
}

// SetRegion assigns a box to a region.
func (n *Network) SetRegion(ip, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regionLinks.regions[ip] = region
}

// CutRegion drops all traffic between a region and the others, until RestoreRegion.
func (n *Network) CutRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regionLinks.cut[region] = true
}

// RestoreRegion reverts CutRegion.
func (n *Network) RestoreRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.regionLinks.cut, region)
	n.wakeWaiters()
}

// BytesBetweenRegions returns the number of bytes written from one region to another.
func (n *Network) BytesBetweenRegions(from, to string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.regionLinks.written[direction{from, to}]
}

func newRegionLinks() regionLinks {
	return regionLinks{regions: map[string]string{}, idleAt: map[direction]time.Time{}, written: map[direction]uint64{}, cut: map[string]bool{}, uplinks: map[string]*uplink{}}
}

// directionBetween returns the direction from one box to another and whether their regions differ.
func (r regionLinks) directionBetween(from, to string) (direction, bool) {
	d := direction{r.regions[from], r.regions[to]}
	return d, d.from != d.to
}

// severed reports whether the boxes are in different regions, one of which is cut off.
func (r regionLinks) severed(from, to string) bool {
	d, differ := r.directionBetween(from, to)
	return differ && (r.cut[d.from] || r.cut[d.to])
}

// arrival returns the time at which bytes written now arrive. It counts them against the rates of
// the sender's uplink and of the link between the regions.
func (n *Network) arrival(from, to string, bytes int) time.Time {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.regionLinks.uplinks[from]; l != nil && from != to {
		now = l.transmit(now, bytes)
	}
	d, differ := n.regionLinks.directionBetween(from, to)
	if !differ {
		return now.Add(n.latency)
	}
	n.regionLinks.written[d] += uint64(bytes)
	if n.regionLinks.rate == 0 {
		return now.Add(n.regionLinks.latency)
	}
	idleAt := n.regionLinks.idleAt[d]
	if idleAt.Before(now) {
		idleAt = now
	}
	idleAt = idleAt.Add(time.Duration(bytes) * time.Second / time.Duration(n.regionLinks.rate))
	n.regionLinks.idleAt[d] = idleAt
	return idleAt.Add(n.regionLinks.latency)
}
