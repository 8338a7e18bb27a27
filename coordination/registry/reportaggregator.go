// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines ReportAggregator, which merges the reports of several gateways into one, and
// the pace of the merged reports.

// Limits of a relay's reports to the leader.
const (
	// relayReportBytesPerSecond bounds one relay's reports. Together with linkBytesPerSecond in the
	// other direction, two relays of a region take two thirds of the 50 KB/s allowed for the
	// fleet's own messages between two regions (docs/CAPACITY.md).
	relayReportBytesPerSecond = 8 << 10
	// maxRelayReportPeriod is the longest time between two reports: a third of RelayTimeout.
	maxRelayReportPeriod = 300 * time.Millisecond
	// maxSentReports is the number of latest reports that are kept to identify the one that the
	// leader has counted. They cover at least 3.2 s, longer than any silence that a session
	// survives.
	maxSentReports = 32
)

// MaxRelayReportLoads is the largest number of changed loads in a report, at ten bytes each. They
// take half of the bytes allowed in maxRelayReportPeriod, since accounts need the rest.
const MaxRelayReportLoads = int(relayReportBytesPerSecond*maxRelayReportPeriod/time.Second) / 2 / loadBytes

// RelayReportPause returns how long a relay waits after a report of a size in bytes. Half a period
// is subtracted because the caller checks once per period.
func RelayReportPause(size int) time.Duration {
	byBudget := time.Duration(size) * time.Second / relayReportBytesPerSecond
	return min(max(byBudget, ReportPeriod), maxRelayReportPeriod) - ReportPeriod/2
}

// RelayTimeout is how long the leader waits for a relay's report before it ends the session. It
// equals LeaderTimeout: a relay's reports count for a whole region, and by then its gateways have
// left it and report elsewhere.
const RelayTimeout = LeaderTimeout

// ReportAggregator merges the reports of a relay's gateways. The zero value has no gateways. It is
// not safe for concurrent use.
type ReportAggregator struct {
	term          uint64 // of the leader
	gateways      map[string]gatewayReport
	pendingCounts pendingCounts
	totals        map[outcomeKey]protocol.Outcomes // as last sent
	feed          LoadFeed
	seq           uint64
	sent          []sentReport // in this session with the leader, newest last
	counted       sentReport
	rolloutsSeq   uint64 // Seq of the newest list of rollouts in this session with the leader
}

// gatewayReport is the latest report of one gateway.
type gatewayReport struct {
	appliesRollouts bool // whether it applies the leader's list of rollouts
	reported        bool
	seq             uint64
	loads           []protocol.ServerLoad
	outcomes        map[outcomeKey]protocol.Outcomes
	documentNumber  uint64 // number of the document in force there
	lastApplied     uint64 // Seq of the newest list of rollouts applied, by the latest report
	previousApplied uint64 // the same by the report before: the requests of a report may have begun under an older list
	barred          []protocol.BarredTarget
}

// pendingCounts holds the counts since the last report to the leader.
type pendingCounts struct {
	demands, served, late, unread map[string]uint64 // in tokens by account
	started, missed               uint64
}

func newPendingCounts() pendingCounts {
	return pendingCounts{demands: map[string]uint64{}, served: map[string]uint64{}, late: map[string]uint64{}, unread: map[string]uint64{}}
}

// sentReport records which report of each gateway is included in a report to the leader.
type sentReport struct {
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

// Restart begins a session with the leader of a term. The first report contains the loads of all
// running requests, but no earlier demand, which an earlier leader may have counted.
func (s *ReportAggregator) Restart(term uint64) {
	for name, g := range s.gateways {
		if s.term != term { // the numbers belong to lists of the earlier leader
			g.previousApplied, g.lastApplied = 0, 0
			s.gateways[name] = g
		}
	}
	*s = ReportAggregator{gateways: s.gateways, pendingCounts: newPendingCounts(), term: term}
}

// Open begins the session of a gateway, whose reports are numbered from 1 again. appliesRollouts is
// whether the gateway applies the leader's list of rollouts.
func (s *ReportAggregator) Open(gateway string, appliesRollouts bool) {
	if s.gateways == nil {
		s.gateways, s.pendingCounts = map[string]gatewayReport{}, newPendingCounts()
	}
	s.gateways[gateway] = gatewayReport{appliesRollouts: appliesRollouts}
	delete(s.counted.gateways, gateway)
	for _, sent := range s.sent {
		delete(sent.gateways, gateway)
	}
}

// Close ends the session of a gateway and drops its reports.
func (s *ReportAggregator) Close(gateway string) { delete(s.gateways, gateway) }

// Add adds a gateway's report. Since the first one of a session may cover any time, only its loads
// and totals count.
func (s *ReportAggregator) Add(gateway string, m protocol.Usage) {
	g, open := s.gateways[gateway]
	if !open {
		return
	}
	if g.reported {
		s.pendingCounts.add(m)
	}
	g.reported, g.seq, g.loads, g.documentNumber, g.barred = true, m.Seq, m.Loads, m.DocumentNumber, m.Barred
	if m.Term != 0 && m.Term != s.term {
		m.AppliedRollouts = 0
	}
	g.previousApplied, g.lastApplied = g.lastApplied, m.AppliedRollouts
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

func (p *pendingCounts) add(m protocol.Usage) {
	p.started += m.Started
	p.missed += m.Missed
	for _, d := range m.Demands {
		p.demands[d.Account] += d.Tokens
	}
	for _, d := range m.Served {
		p.served[d.Account] += d.Tokens
	}
	for _, d := range m.Late {
		p.late[d.Account] += d.Tokens
	}
	for _, d := range m.Unread {
		p.unread[d.Account] += d.Tokens
	}
}

// byAccount returns the counts ordered by account.
func byAccount(counts map[string]uint64) []protocol.Demand {
	var all []protocol.Demand
	for _, account := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, protocol.Demand{Account: account, Tokens: counts[account]})
	}
	return all
}

// Next returns the next report to the leader. It costs O(n log n) in the size of the gateways'
// reports.
func (s *ReportAggregator) Next() protocol.Usage {
	s.seq++
	sent := sentReport{seq: s.seq, gateways: make(map[string]uint64, len(s.gateways))}
	loads := map[uint32]protocol.ServerLoad{}
	m := protocol.Usage{Seq: s.seq, Incremental: true}
	for name, g := range s.gateways {
		if g.reported {
			sent.gateways[name] = g.seq
			AddLoads(loads, g.loads)
		}
	}
	m.DocumentNumber, m.AppliedRollouts = s.minApplied()
	m.Barred = s.mergedBarred()
	m.Loads = s.feed.Next(SortedLoads(loads), MaxRelayReportLoads)
	m.Outcomes = s.changedOutcomes()
	m.Demands, m.Served, m.Late = byAccount(s.pendingCounts.demands), byAccount(s.pendingCounts.served), byAccount(s.pendingCounts.late)
	m.Unread = byAccount(s.pendingCounts.unread)
	m.Started, m.Missed = s.pendingCounts.started, s.pendingCounts.missed
	s.pendingCounts = newPendingCounts()
	s.sent = append(s.sent, sent)
	s.sent = s.sent[max(len(s.sent)-maxSentReports, 0):]
	return m
}

// mergedBarred returns the versions barred at any gateway, without duplicates.
func (s *ReportAggregator) mergedBarred() []protocol.BarredTarget {
	var all []protocol.BarredTarget
	for _, g := range s.gateways {
		all = append(all, g.barred...)
	}
	slices.SortFunc(all, func(a, b protocol.BarredTarget) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Attempt, b.Attempt))
	})
	return slices.Compact(all)
}

// minApplied returns the smallest number of a document in force at a gateway, and the smallest
// number of a list of rollouts under which running requests may have begun. Without a gateway that
// applies rollouts, the latter is the newest list received here.
func (s *ReportAggregator) minApplied() (document, rollouts uint64) {
	var numbers, applied []uint64
	for _, g := range s.gateways {
		numbers = append(numbers, g.documentNumber)
		if g.appliesRollouts {
			applied = append(applied, g.previousApplied)
		}
	}
	if len(numbers) > 0 {
		document = slices.Min(numbers)
	}
	if len(applied) == 0 {
		return document, s.rolloutsSeq
	}
	return document, slices.Min(applied)
}

// changedOutcomes returns the totals that differ from those sent, ordered by their keys.
func (s *ReportAggregator) changedOutcomes() []protocol.Outcomes {
	totals := map[outcomeKey]protocol.Outcomes{}
	for _, g := range s.gateways {
		for k, o := range g.outcomes {
			totals[k] = addOutcomes(totals[k], o)
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

// addOutcomes returns the sum of two counts under the second one's key.
func addOutcomes(a, b protocol.Outcomes) protocol.Outcomes {
	b.Sent, b.Answered, b.Failed = a.Sent+b.Sent, a.Answered+b.Answered, a.Failed+b.Failed
	paces := make([]uint32, max(len(a.PaceCounts), len(b.PaceCounts)))
	for i := range a.PaceCounts {
		paces[i] += a.PaceCounts[i]
	}
	for i := range b.PaceCounts {
		paces[i] += b.PaceCounts[i]
	}
	if len(paces) > 0 {
		b.PaceCounts = paces
	}
	return b
}

func equalOutcomes(a, b protocol.Outcomes) bool {
	return a.Sent == b.Sent && a.Answered == b.Answered && a.Failed == b.Failed && slices.Equal(a.PaceCounts, b.PaceCounts)
}

// ApplyRollouts records the leader's list of rollouts, and drops the outcomes of others.
func (s *ReportAggregator) ApplyRollouts(m protocol.Rollouts) {
	s.rolloutsSeq = m.Seq
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

// RecordCounted records the number of the newest merged report that the leader's sums include.
func (s *ReportAggregator) RecordCounted(seq uint64) {
	for _, sent := range s.sent {
		if sent.seq == seq {
			s.counted = sent
		}
	}
	s.sent = slices.DeleteFunc(s.sent, func(sent sentReport) bool { return sent.seq <= seq })
}

// CountedReport returns the number of a gateway's newest report that the leader's sums include, or
// 0 if they include none of the gateway's session.
func (s *ReportAggregator) CountedReport(gateway string) uint64 { return s.counted.gateways[gateway] }

// AddLoads adds loads to sums by handle.
func AddLoads(sums map[uint32]protocol.ServerLoad, loads []protocol.ServerLoad) {
	for _, l := range loads {
		sum := sums[l.Handle]
		sums[l.Handle] = protocol.ServerLoad{
			Handle: l.Handle, Requests: sum.Requests + l.Requests, Tokens: sum.Tokens + l.Tokens,
		}
	}
}

// ApplyLoads replaces sums by changed ones, and drops those of idle servers.
func ApplyLoads(sums map[uint32]protocol.ServerLoad, changed []protocol.ServerLoad) {
	for _, l := range changed {
		if l.Requests == 0 && l.Tokens == 0 {
			delete(sums, l.Handle)
			continue
		}
		sums[l.Handle] = l
	}
}

// SortedLoads returns the sums ordered by handle.
func SortedLoads(sums map[uint32]protocol.ServerLoad) []protocol.ServerLoad {
	return slices.SortedFunc(maps.Values(sums), func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
}
