// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Sums, the reports of several gateways as one, and its pace.

// Pace of a relay's reports to the leader.
const (
	// sumBudget is the bytes a second of one relay's reports: with fleetBudget down, two relays
	// of a region take two thirds of the 50 KB/s to which the fleet's own messages between two
	// regions are to keep (docs/CAPACITY.md).
	sumBudget = 8 << 10
	// sumLongest is the longest time between two reports: a third of RelaySilence.
	sumLongest = 300 * time.Millisecond
	// sumsKept is how many of the last reports are kept, to know which the leader has counted:
	// 3.2 s of them at the least, above every silence that a session survives.
	sumsKept = 32
)

// MaxSumLoads is how many changed loads one report has at most, ten bytes each: half of what the
// budget allows in the longest pause, since accounts need the rest.
const MaxSumLoads = int(sumBudget*sumLongest/time.Second) / 2 / loadBytes

// SumPause returns how long a relay waits after a report of a size in bytes. It is less by half
// a period because the caller looks once a period.
func SumPause(size int) time.Duration {
	byBudget := time.Duration(size) * time.Second / sumBudget
	return min(max(byBudget, ReportPeriod), sumLongest) - ReportPeriod/2
}

// RelaySilence is the silence of a relay after which the leader ends its session. It is as long
// as for a leader: what a relay reported counts for a whole region, and its gateways have left
// it by then and report elsewhere.
const RelaySilence = SilenceLimit

// Sums adds up what the gateways behind one relay report. The zero value has no gateways. It is
// used by one goroutine.
type Sums struct {
	term     uint64 // of the leader
	gateways map[string]behind
	gathered gathered
	totals   map[outcomeKey]protocol.Outcomes // as last sent
	feed     Feed
	seq      uint64
	sent     []sentSum // of this session with the leader, newest last
	counted  sentSum
	listed   uint64 // Seq of the newest rollouts of this session with the leader
}

// behind is what one gateway last reported.
type behind struct {
	obeys    bool // it obeys rollouts
	reported bool
	seq      uint64
	loads    []protocol.ServerLoad
	outcomes map[outcomeKey]protocol.Outcomes
	number   uint64 // of its document
	obeyed   uint64 // the newest rollouts that the last report obeyed
	before   uint64 // and the report before it, whose list is older than the last one's loads
	barred   []protocol.Barred
}

// gathered is what was demanded and given since the last report to the leader.
type gathered struct {
	demands, served, late, unread map[string]uint64 // tokens by account
	started, missed               uint64
}

func newGathered() gathered {
	return gathered{demands: map[string]uint64{}, served: map[string]uint64{}, late: map[string]uint64{}, unread: map[string]uint64{}}
}

// sentSum is which report of each gateway is in a report to the leader.
type sentSum struct {
	seq      uint64
	gateways map[string]uint64
}

type outcomeKey struct {
	pool, version, route string
	attempt              uint64
}

func keyOf(o protocol.Outcomes) outcomeKey {
	return outcomeKey{pool: o.Pool, version: o.Version, route: o.Route, attempt: o.Attempt}
}

// Restart begins a session with the leader of a term: the first report has all that runs, and nothing that
// was demanded before, which an earlier leader may have counted.
func (s *Sums) Restart(term uint64) {
	for name, g := range s.gateways {
		if s.term != term { // what was obeyed is of the lists of the leader before
			g.before, g.obeyed = 0, 0
			s.gateways[name] = g
		}
	}
	*s = Sums{gateways: s.gateways, gathered: newGathered(), term: term}
}

// Open begins the session of a gateway, whose reports are numbered anew. obeys is whether it
// obeys rollouts.
func (s *Sums) Open(gateway string, obeys bool) {
	if s.gateways == nil {
		s.gateways, s.gathered = map[string]behind{}, newGathered()
	}
	s.gateways[gateway] = behind{obeys: obeys}
	delete(s.counted.gateways, gateway)
	for _, sent := range s.sent {
		delete(sent.gateways, gateway)
	}
}

// Close ends the session of a gateway, with all that it reported.
func (s *Sums) Close(gateway string) { delete(s.gateways, gateway) }

// Add takes a gateway's report. Its first one may cover any time, so only what runs there and
// the totals count.
func (s *Sums) Add(gateway string, m protocol.Usage) {
	g, open := s.gateways[gateway]
	if !open {
		return
	}
	if g.reported {
		s.gathered.add(m)
	}
	g.reported, g.seq, g.loads, g.number, g.barred = true, m.Seq, m.Loads, m.Number, m.Barred
	if m.Term != 0 && m.Term != s.term {
		m.Obeyed = 0
	}
	g.before, g.obeyed = g.obeyed, m.Obeyed
	if len(m.Outcomes) > 0 {
		g.outcomes = maps.Clone(g.outcomes)
		if g.outcomes == nil {
			g.outcomes = map[outcomeKey]protocol.Outcomes{}
		}
		for _, o := range m.Outcomes {
			g.outcomes[keyOf(o)] = o
		}
	}
	s.gateways[gateway] = g
}

func (g *gathered) add(m protocol.Usage) {
	g.started += m.Started
	g.missed += m.Missed
	for _, d := range m.Demands {
		g.demands[d.Account] += d.Tokens
	}
	for _, d := range m.Served {
		g.served[d.Account] += d.Tokens
	}
	for _, d := range m.Late {
		g.late[d.Account] += d.Tokens
	}
	for _, d := range m.Unread {
		g.unread[d.Account] += d.Tokens
	}
}

// byAccount returns counts in the order of the accounts.
func byAccount(counts map[string]uint64) []protocol.Demand {
	var all []protocol.Demand
	for _, account := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, protocol.Demand{Account: account, Tokens: counts[account]})
	}
	return all
}

// Next returns the next report to the leader. It costs O(n log n) for all that the gateways
// reported.
func (s *Sums) Next() protocol.Usage {
	s.seq++
	sent := sentSum{seq: s.seq, gateways: make(map[string]uint64, len(s.gateways))}
	loads := map[uint32]protocol.ServerLoad{}
	m := protocol.Usage{Seq: s.seq, Changes: true}
	for name, g := range s.gateways {
		if g.reported {
			sent.gateways[name] = g.seq
			AddLoads(loads, g.loads)
		}
	}
	m.Number, m.Obeyed = s.least()
	m.Barred = s.barred()
	m.Loads = s.feed.Next(SortedLoads(loads), MaxSumLoads)
	m.Outcomes = s.changedOutcomes()
	m.Demands, m.Served, m.Late = byAccount(s.gathered.demands), byAccount(s.gathered.served), byAccount(s.gathered.late)
	m.Unread = byAccount(s.gathered.unread)
	m.Started, m.Missed = s.gathered.started, s.gathered.missed
	s.gathered = newGathered()
	s.sent = append(s.sent, sent)
	s.sent = s.sent[max(len(s.sent)-sumsKept, 0):]
	return m
}

// barred returns what any gateway has barred, each once.
func (s *Sums) barred() []protocol.Barred {
	var all []protocol.Barred
	for _, g := range s.gateways {
		all = append(all, g.barred...)
	}
	slices.SortFunc(all, func(a, b protocol.Barred) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Attempt, b.Attempt))
	})
	return slices.Compact(all)
}

// least returns the smallest number of a document in force at a gateway, and of the rollouts
// under which what runs at one was begun; without a gateway that obeys any, of those that are
// known here.
func (s *Sums) least() (number, obeyed uint64) {
	var numbers, obeys []uint64
	for _, g := range s.gateways {
		numbers = append(numbers, g.number)
		if g.obeys {
			obeys = append(obeys, g.before)
		}
	}
	if len(numbers) > 0 {
		number = slices.Min(numbers)
	}
	if len(obeys) == 0 {
		return number, s.listed
	}
	return number, slices.Min(obeys)
}

// changedOutcomes returns the totals that differ from those sent, ordered by their keys.
func (s *Sums) changedOutcomes() []protocol.Outcomes {
	totals := map[outcomeKey]protocol.Outcomes{}
	for _, g := range s.gateways {
		for k, o := range g.outcomes {
			totals[k] = plus(totals[k], o)
		}
	}
	var changed []protocol.Outcomes
	for k, o := range totals {
		if sent, ok := s.totals[k]; !ok || !equalOutcomes(sent, o) {
			changed = append(changed, o)
		}
	}
	for k := range s.totals {
		if _, ok := totals[k]; !ok {
			changed = append(changed, protocol.Outcomes{Pool: k.pool, Attempt: k.attempt, Version: k.version, Route: k.route})
		}
	}
	s.totals = totals
	slices.SortFunc(changed, func(a, b protocol.Outcomes) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return changed
}

// plus returns the sum of two counts under the second's key.
func plus(a, b protocol.Outcomes) protocol.Outcomes {
	b.Sent, b.Answered, b.Failed = a.Sent+b.Sent, a.Answered+b.Answered, a.Failed+b.Failed
	paces := make([]uint32, max(len(a.Paces), len(b.Paces)))
	for i := range a.Paces {
		paces[i] += a.Paces[i]
	}
	for i := range b.Paces {
		paces[i] += b.Paces[i]
	}
	if len(paces) > 0 {
		b.Paces = paces
	}
	return b
}

func equalOutcomes(a, b protocol.Outcomes) bool {
	return a.Sent == b.Sent && a.Answered == b.Answered && a.Failed == b.Failed && slices.Equal(a.Paces, b.Paces)
}

// ApplyRollouts takes the leader's list of rollouts, and forgets the outcomes of others.
func (s *Sums) ApplyRollouts(m protocol.Rollouts) {
	s.listed = m.Seq
	attempts := map[string]uint64{}
	for _, r := range m.List {
		attempts[r.Pool] = r.Attempt
	}
	old := func(k outcomeKey, _ protocol.Outcomes) bool { return attempts[k.pool] != k.attempt }
	for _, g := range s.gateways {
		maps.DeleteFunc(g.outcomes, old)
	}
	maps.DeleteFunc(s.totals, old)
}

// Counted takes the number of the newest report that is in the leader's sums.
func (s *Sums) Counted(seq uint64) {
	for _, sent := range s.sent {
		if sent.seq == seq {
			s.counted = sent
		}
	}
	s.sent = slices.DeleteFunc(s.sent, func(sent sentSum) bool { return sent.seq <= seq })
}

// CountedReport returns the number of a gateway's newest report that is in the leader's sums, 0 for
// none of its session.
func (s *Sums) CountedReport(gateway string) uint64 { return s.counted.gateways[gateway] }

// AddLoads adds loads to sums by handle.
func AddLoads(sums map[uint32]protocol.ServerLoad, loads []protocol.ServerLoad) {
	for _, l := range loads {
		sum := sums[l.Handle]
		sums[l.Handle] = protocol.ServerLoad{
			Handle: l.Handle, Requests: sum.Requests + l.Requests, Tokens: sum.Tokens + l.Tokens,
		}
	}
}

// ApplyLoads puts changed sums in place of earlier ones; what runs nothing is dropped.
func ApplyLoads(sums map[uint32]protocol.ServerLoad, changed []protocol.ServerLoad) {
	for _, l := range changed {
		if l.Requests == 0 && l.Tokens == 0 {
			delete(sums, l.Handle)
			continue
		}
		sums[l.Handle] = l
	}
}

// SortedLoads returns sums in the order of their handles.
func SortedLoads(sums map[uint32]protocol.ServerLoad) []protocol.ServerLoad {
	return slices.SortedFunc(maps.Values(sums), func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
}
