// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
)

// This file defines the placement of the leader and the handover to a better replica.
//
// A majority of the voters in one region can commit without the links between regions, but only
// under a leader in that region. A leader writes to its disk before it sends, so a slow disk of the
// leader delays every commit; a slow disk of one follower delays none.
//
// Alternatives considered: voting only for candidates of the majority region (if that region is
// lost, there is no leader); later election timeouts in the other regions (if that region is lost,
// every loss of a leader costs this time). Here the leader hands over once its term has settled.

const (
	// minTermBeforeHandover is the minimum age of a term before a handover. A fleet that is
	// starting, or losing leaders in succession, must not be disturbed further.
	minTermBeforeHandover = 3 * time.Second
	// handoverRetryDelay is the minimum time between two handover attempts of one replica, across
	// terms: a successor that was not elected may fail again.
	handoverRetryDelay = 10 * time.Second
	// placementPeriod is the time between two placement checks.
	placementPeriod = time.Second
	// minSlowSync is the average sync time from which a disk can count as slow. A fast disk
	// takes 5 ms.
	minSlowSync = 20 * time.Millisecond
	// slowSyncFactor is how many times longer than another replica's a sync must take for a disk to
	// count as slow. Below it, a handover gains less than it costs, because nothing is committed
	// meanwhile.
	slowSyncFactor = 4
)

// voter describes a voting replica, as observed by the leader.
type voter struct {
	name   string
	region string        // empty if unknown
	ready  bool          // its log is up to date and it responds
	sync   time.Duration // time to make entries durable; 0 if not reported
}

// sortableSyncTime returns the sync time for sorting, with unreported times last.
func (v voter) sortableSyncTime() time.Duration { return cmp.Or(v.sync, math.MaxInt64) }

// majorityRegion returns the region with a majority of the voters, or "" if there is none.
func majorityRegion(voters []voter) string {
	counts := map[string]int{}
	for _, v := range voters {
		counts[v.region]++
		if v.region != "" && counts[v.region] > len(voters)/2 {
			return v.region
		}
	}
	return ""
}

// betterLeader returns the voter that should lead in place of self, and the reason; "" if self
// should lead. sync is the sync time of self.
func betterLeader(self string, sync time.Duration, voters []voter) (name, reason string) {
	own := voters[max(slices.IndexFunc(voters, func(v voter) bool { return v.name == self }), 0)]
	region := cmp.Or(majorityRegion(voters), own.region)
	candidates := slices.DeleteFunc(slices.Clone(voters), func(v voter) bool {
		return v.name == self || !v.ready || v.region != region
	})
	if len(candidates) == 0 {
		return "", ""
	}
	best := slices.MinFunc(candidates, func(a, b voter) int {
		return cmp.Or(cmp.Compare(a.sortableSyncTime(), b.sortableSyncTime()), cmp.Compare(a.name, b.name))
	})
	switch {
	case own.region != region:
		return best.name, "majority"
	case sync >= minSlowSync && best.sync > 0 && slowSyncFactor*best.sync <= sync:
		return best.name, "disk"
	}
	return "", ""
}

// checkPlacement starts a handover if another replica should lead.
func (h *hub) checkPlacement(now time.Duration) {
	if now < h.nextPlacementAt || now-h.termBegan < minTermBeforeHandover {
		return
	}
	h.nextPlacementAt = now + placementPeriod
	go h.d.transferToBetterLeader(func() { h.post(func() { h.nextPlacementAt = h.d.replica.Now() + handoverRetryDelay }) })
}

// voterRegion returns the region of a replica, or "" if unknown. In a fleet with several regions, a
// replica names its region when it offers itself as a relay.
func (d *Directory) voterRegion(name string) string {
	if !d.hasMultipleRegions() { // the other replicas name none, so that this one's region would differ from all
		return ""
	}
	if name == d.Address() {
		return d.cfg.Region
	}
	region, _ := d.nodeRegions.Load(name)
	known, _ := region.(string)
	return known
}

// transferToBetterLeader checks once which voter should lead, transfers the leadership if it is another
// replica, and then calls attempted.
func (d *Directory) transferToBetterLeader(attempted func()) {
	ctx, cancel := context.WithTimeout(d.ctx, placementPeriod)
	defer cancel()
	own := d.replica.SyncTime()
	var to, reason string
	err := d.replica.Inspect(ctx, func(_ time.Duration, n *consensus.Replica) {
		if !n.Leads(d.replica.Now()) {
			return
		}
		var voters []voter
		for _, p := range n.Status().Members.Voters {
			ready, sync := n.FollowerProgress(p)
			voters = append(voters, voter{name: p.Name, region: d.voterRegion(p.Name), ready: ready, sync: sync})
		}
		if to, reason = betterLeader(d.Address(), own, voters); to != "" {
			n.Transfer(to)
		}
	})
	if err == nil && to != "" {
		attempted()
		d.cfg.Log.StateChange("transferring leadership", slog.String("to", to), slog.String("why", reason),
			slog.Duration("sync", own), slog.String("region", d.voterRegion(to)))
	}
}
