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

// This file defines where the leader should stand, and how it hands the lead over.
//
// A majority of the voters in one region decides without the link to others, and only if the
// leader stands there. A leader writes to its disk before it sends, so that a slow disk of its
// own delays every decision, and one of a follower none.
//
// Weighed: votes only for candidates of that region (a fleet whose region is lost has no
// leader); elections that begin later elsewhere (every loss of a leader then costs that time
// when the region is lost); a handover once the leader has settled (kept).

const (
	// placeSettled is how long a leader leads before it hands over: a fleet that starts, or loses
	// leaders in turn, has other things to do.
	placeSettled = 3 * time.Second
	// placeAgain is the time between two handovers that one replica tries, also if it has led again in
	// between: a successor that was not elected may not be the next time.
	placeAgain = 10 * time.Second
	// placePeriod is the time between two looks.
	placePeriod = time.Second
	// slowSync is the average time of a sync below which no disk counts as slow. Four times the 5 ms
	// of a good one.
	slowSync = 20 * time.Millisecond
	// slowTimes is how many times the sync of a slow disk takes what another replica's takes. Below
	// it, a handover, during which nothing is decided, gains little.
	slowTimes = 4
)

// voter is one replica that votes, as the leader sees it.
type voter struct {
	name   string
	region string        // empty if it has not named one
	ready  bool          // it holds all of the log and answers
	sync   time.Duration // what it takes to make entries durable; 0 if it has not said
}

// speed orders voters by their disks, those that have not said how fast they are last.
func (v voter) speed() time.Duration { return cmp.Or(v.sync, math.MaxInt64) }

// majorityRegion returns the region in which a majority of the voters stands, "" if there is
// none.
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

// betterLeader returns the voter that should lead in place of self, whose syncs take a time, and
// why; "" if self should.
func betterLeader(self string, sync time.Duration, voters []voter) (name, why string) {
	own := voters[max(slices.IndexFunc(voters, func(v voter) bool { return v.name == self }), 0)]
	region := cmp.Or(majorityRegion(voters), own.region)
	candidates := slices.DeleteFunc(slices.Clone(voters), func(v voter) bool {
		return v.name == self || !v.ready || v.region != region
	})
	if len(candidates) == 0 {
		return "", ""
	}
	best := slices.MinFunc(candidates, func(a, b voter) int {
		return cmp.Or(cmp.Compare(a.speed(), b.speed()), cmp.Compare(a.name, b.name))
	})
	switch {
	case own.region != region:
		return best.name, "majority"
	case sync >= slowSync && best.sync > 0 && slowTimes*best.sync <= sync:
		return best.name, "disk"
	}
	return "", ""
}

// checkPlacement hands the lead over if another replica should have it.
func (h *hub) checkPlacement(now time.Duration) {
	if now < h.placeDue || now-h.termBegan < placeSettled {
		return
	}
	h.placeDue = now + placePeriod
	go h.d.handOver(func() { h.post(func() { h.placeDue = h.d.replica.Now() + placeAgain }) })
}

// voterRegion returns the region of a replica, "" if it has not named one: it does when it
// offers itself as a relay, in a fleet with several regions.
func (d *Directory) voterRegion(name string) string {
	if !d.hasMultipleRegions() { // they name none, so that this one's would differ from all
		return ""
	}
	if name == d.Address() {
		return d.cfg.Region
	}
	region, _ := d.nodeRegions.Load(name)
	known, _ := region.(string)
	return known
}

// handOver looks once who should lead, and calls tried if it is another replica.
func (d *Directory) handOver(tried func()) {
	ctx, cancel := context.WithTimeout(d.ctx, placePeriod)
	defer cancel()
	own := d.replica.SyncTime()
	var to, why string
	err := d.replica.Inspect(ctx, func(_ time.Duration, n *consensus.Replica) {
		if !n.Leads(d.replica.Now()) {
			return
		}
		var voters []voter
		for _, p := range n.Status().Members.Voters {
			ready, sync := n.FollowerProgress(p)
			voters = append(voters, voter{name: p.Name, region: d.voterRegion(p.Name), ready: ready, sync: sync})
		}
		if to, why = betterLeader(d.Address(), own, voters); to != "" {
			n.Transfer(to)
		}
	})
	if err == nil && to != "" {
		tried()
		d.cfg.Log.StateChange("lead handed over", slog.String("to", to), slog.String("why", why),
			slog.Duration("sync", own), slog.String("region", d.voterRegion(to)))
	}
}
