// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests the state of a relay: the leader's list and the reports of its gateways.

func loadOf(handle, requests uint32) protocol.ServerLoad {
	return protocol.ServerLoad{Handle: handle, Requests: requests, Tokens: 10 * requests}
}

// TestReportsAreCountedOnce: a gateway's demand is reported to the leader once, and of the first
// report of its session only the loads count. The number of a merged report that the leader has
// counted is mapped to the number of a report of each gateway.
func TestReportsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	var s ReportAggregator
	s.Restart(1)
	s.Open("g1", true)
	s.Open("g2", true)
	s.Add("g1", protocol.Usage{Seq: 1, Loads: []protocol.ServerLoad{loadOf(7, 2)}, Started: 1000, AppliedRollouts: 4, Demands: []protocol.Demand{{Account: "a", Tokens: 1000}}})
	m := s.Next()
	is.Equal(m.Loads, []protocol.ServerLoad{loadOf(7, 2)})
	is.Equal(m.Started, uint64(0)) // the first report covers an unknown time
	is.Equal(len(m.Demands), 0)

	s.Add("g1", protocol.Usage{
		Seq: 2, Loads: []protocol.ServerLoad{loadOf(7, 2)}, Started: 5, Missed: 6, DocumentNumber: 3, AppliedRollouts: 4,
		Demands: []protocol.Demand{{Account: "a", Tokens: 7}}, Served: []protocol.Demand{{Account: "a", Tokens: 8}}, Late: []protocol.Demand{{Account: "a", Tokens: 9}}, Unread: []protocol.Demand{{Account: "a", Tokens: 10}},
	})
	s.Add("g2", protocol.Usage{Seq: 1, Loads: []protocol.ServerLoad{loadOf(7, 1), loadOf(8, 1)}, DocumentNumber: 2, AppliedRollouts: 5})
	s.Add("g2", protocol.Usage{
		Seq: 2, Loads: []protocol.ServerLoad{loadOf(7, 1)}, Started: 10, DocumentNumber: 2, AppliedRollouts: 5,
		Demands: []protocol.Demand{{Account: "b", Tokens: 1}, {Account: "a", Tokens: 100}},
	})
	m = s.Next()
	is.Equal(m, protocol.Usage{
		Seq: 2, Incremental: true, Loads: []protocol.ServerLoad{loadOf(7, 3)}, Started: 15, Missed: 6, DocumentNumber: 2, AppliedRollouts: 4,
		Demands: []protocol.Demand{{Account: "a", Tokens: 107}, {Account: "b", Tokens: 1}},
		Served:  []protocol.Demand{{Account: "a", Tokens: 8}}, Late: []protocol.Demand{{Account: "a", Tokens: 9}},
		Unread: []protocol.Demand{{Account: "a", Tokens: 10}},
	})
	is.Equal(s.Next(), protocol.Usage{Seq: 3, Incremental: true, DocumentNumber: 2, AppliedRollouts: 4}) // reported once

	s.RecordCounted(1)
	is.Equal([]uint64{s.CountedReport("g1"), s.CountedReport("g2")}, []uint64{1, 0})
	s.RecordCounted(2)
	is.Equal([]uint64{s.CountedReport("g1"), s.CountedReport("g2")}, []uint64{2, 2})
	s.RecordCounted(9) // no such report
	is.Equal(s.CountedReport("g1"), uint64(2))

	s.Open("g1", false) // a new session: its reports are numbered again, and it does not apply rollouts
	is.Equal(s.CountedReport("g1"), uint64(0))
	s.RecordCounted(3)
	is.Equal(s.CountedReport("g1"), uint64(0))
	s.Close("g2")
	m = s.Next()
	is.Equal(m.Loads, []protocol.ServerLoad{{Handle: 7}}) // the requests of g2 are no longer counted
	s.Add("g2", protocol.Usage{Seq: 3, Loads: []protocol.ServerLoad{loadOf(7, 3)}})
	is.Equal(len(s.Next().Loads), 0) // the session has ended

	s.Add("g1", protocol.Usage{Seq: 1, Loads: []protocol.ServerLoad{loadOf(9, 1)}})
	s.Next()
	s.Restart(1)
	m = s.Next()
	is.Equal(m.Seq, uint64(1))
	is.Equal(m.Loads, []protocol.ServerLoad{loadOf(9, 1)}) // all loads, since the leader may be another one
}

// TestReportedRolloutList: a relay reports the oldest list of rollouts among those that its
// gateways named in their last report but one, because the requests of a report may have begun
// under an older list than the one it names. For a gateway that has just connected it reports 0.
// Without a gateway that applies rollouts, the relay reports the list that it received itself.
func TestReportedRolloutList(t *testing.T) {
	is := is.New(t)
	var s ReportAggregator
	s.Restart(1)
	s.ApplyRollouts(protocol.Rollouts{Seq: 3})
	is.Equal(s.Next().AppliedRollouts, uint64(3))
	s.Open("earlier version", false)
	is.Equal(s.Next().AppliedRollouts, uint64(3))
	s.Open("g", true)
	is.Equal(s.Next().AppliedRollouts, uint64(0))
	s.Add("g", protocol.Usage{Seq: 1, AppliedRollouts: 3})
	is.Equal(s.Next().AppliedRollouts, uint64(0)) // the loads may be older
	is.Equal(s.Next().AppliedRollouts, uint64(0))
	s.Add("g", protocol.Usage{Seq: 2, AppliedRollouts: 4})
	is.Equal(s.Next().AppliedRollouts, uint64(3))
	s.Close("g")
	s.Restart(1)
	is.Equal(s.Next().AppliedRollouts, uint64(0)) // the numbers belong to the earlier leader
}

// TestOutcomeTotals: a relay sends the totals over its gateways when they change.
func TestOutcomeTotals(t *testing.T) {
	is := is.New(t)
	var s ReportAggregator
	s.Restart(1)
	s.Open("g1", true)
	s.Open("g2", true)
	count := func(sent, failed uint64, paces ...uint32) protocol.Outcomes {
		return protocol.Outcomes{Pool: "p", Attempt: 2, Version: "v2", Route: "r", Sent: sent, Answered: sent - failed, Failed: failed, PaceCounts: paces}
	}
	s.Add("g1", protocol.Usage{Seq: 1, Outcomes: []protocol.Outcomes{count(5, 1, 1, 2)}})
	s.Add("g2", protocol.Usage{Seq: 1, Outcomes: []protocol.Outcomes{count(7, 0, 3)}})
	is.Equal(s.Next().Outcomes, []protocol.Outcomes{count(12, 1, 4, 2)})
	is.Equal(len(s.Next().Outcomes), 0)
	s.Add("g1", protocol.Usage{Seq: 2, Outcomes: []protocol.Outcomes{count(6, 1, 1, 2)}})
	is.Equal(s.Next().Outcomes, []protocol.Outcomes{count(13, 1, 4, 2)})
	s.Close("g1") // it reports all of it elsewhere
	is.Equal(s.Next().Outcomes, []protocol.Outcomes{count(7, 0, 3)})
	s.Close("g2")
	is.Equal(s.Next().Outcomes, []protocol.Outcomes{{Pool: "p", Attempt: 2, Version: "v2", Route: "r"}})
	s.Open("g2", true)
	s.Add("g2", protocol.Usage{Seq: 1, Outcomes: []protocol.Outcomes{count(7, 0, 3)}})
	s.ApplyRollouts(protocol.Rollouts{List: []protocol.Rollout{{Pool: "p", Attempt: 3}}})
	is.Equal(len(s.Next().Outcomes), 0)
}

// TestCopyEqualsLeaderList: a copy equals the leader's list, and a cold server stays cold for the
// time that remained when the leader sent it.
func TestCopyEqualsLeaderList(t *testing.T) {
	is := is.New(t)
	server := func(id, address string, handle uint32, cold time.Duration) protocol.Server {
		s := protocol.Server{Registration: protocol.Registration{ID: id, Pool: "p", Address: address}, Handle: handle}
		if cold > 0 {
			s.Cold = &protocol.Cold{Remaining: cold, Shares: []protocol.ColdShare{{Gateway: "g", PerSecond: 1}}}
		}
		return s
	}
	handles := NewHandles(7)
	c, space := NewCopy(handles), handles.Space()
	c.Apply(0, protocol.Servers{Term: 3, Whole: true, Set: []protocol.Server{server("a", "1", 1, 0), server("b", "2", 2, 4*time.Second)}, Removed: []string{"x"}, HallsOut: []string{"h"}, HallChanges: 2})
	is.Equal(c.Term(), uint64(3))
	is.True(c.AnyCold(time.Second))
	is.Equal(c.WholeList(time.Second), protocol.Servers{
		Term: 3, HandleSpace: space, Whole: true, Set: []protocol.Server{server("a", "1", 1, 0), server("b", "2", 2, 3*time.Second)}, Removed: []string{"x"},
		HallsOut: []string{"h"}, HallChanges: 2,
	})
	_, ok := c.LeaderHandle(time.Second, server("b", "2", 2, 0).Registration)
	is.True(!ok) // it is cold
	handle, ok := c.LeaderHandle(5*time.Second, server("b", "2", 2, 0).Registration)
	is.True(ok)
	is.Equal(handle, uint32(2))
	_, ok = c.LeaderHandle(0, protocol.Registration{ID: "a", Pool: "q", Address: "1"})
	is.True(!ok) // it has changed

	c.Apply(5*time.Second, protocol.Servers{Term: 3, Complete: true, Set: []protocol.Server{server("c", "1", 3, 0)}, Removed: []string{"b"}, HallChanges: 1})
	is.True(!c.AnyCold(5 * time.Second))
	is.Equal(c.WholeList(5*time.Second), protocol.Servers{
		Term: 3, HandleSpace: space, Whole: true, Complete: true, Set: []protocol.Server{server("c", "1", 3, 0)}, Removed: []string{"x", "b"}, // c took the address of a
		HallsOut: []string{"h"}, HallChanges: 2,
	})
}

// TestCopySurvivesLeaderChange: when another leader, with other handles, sends its whole list,
// gateways are sent only the differences. Servers that it lacks stay until the list is complete,
// and are then reported as unlisted.
func TestCopySurvivesLeaderChange(t *testing.T) {
	is := is.New(t)
	server := func(id, address string, handle uint32) protocol.Server {
		return protocol.Server{Registration: protocol.Registration{ID: id, Pool: "p", Address: address}, Handle: handle}
	}
	handles := NewHandles(7)
	c := NewCopy(handles)
	first := c.Apply(0, protocol.Servers{Term: 3, Whole: true, Complete: true, Set: []protocol.Server{
		server("a", "1", 31), server("b", "2", 32), server("c", "3", 33), server("d", "4", 34),
	}})
	is.Equal(len(first.Set), 4)
	own := map[string]uint32{}
	for _, s := range first.Set {
		own[s.ID] = s.Handle
	}
	is.Equal(c.WithLeaderHandles([]protocol.ServerLoad{{Handle: own["b"], Requests: 1}, {Handle: 99, Requests: 1}}), []protocol.ServerLoad{{Handle: 32, Requests: 1}})

	next := c.Apply(time.Second, protocol.Servers{Term: 4, Whole: true, Removed: []string{"d"}, Set: []protocol.Server{
		server("a", "1", 43), server("b", "5", 42), server("e", "6", 41),
	}})
	is.Equal(next.Term, uint64(4))
	is.Equal(next.HandleSpace, first.HandleSpace)
	is.Equal(next.Removed, []string{"d"})
	is.True(!next.Whole && !next.Complete)
	is.Equal(next.Set, []protocol.Server{server("b", "5", own["b"]), server("e", "6", 5)}) // changed and new servers
	is.Equal(c.WithOwnHandles([]protocol.ServerLoad{{Handle: 43, Requests: 2}}), []protocol.ServerLoad{{Handle: own["a"], Requests: 2}})
	is.Equal(c.Len(), 4) // c may still announce itself
	handle, ok := c.LeaderHandle(time.Second, server("a", "1", 0).Registration)
	is.True(ok)
	is.Equal(handle, uint32(43))

	done := c.Apply(2*time.Second, protocol.Servers{Term: 4, Complete: true})
	is.Equal(done.Unlisted, []string{"c"})
	is.Equal(c.Len(), 3)
	again := c.Apply(3*time.Second, protocol.Servers{Term: 4, Set: []protocol.Server{server("c", "3", 44)}})
	is.True(again.Set[0].Handle > 5) // no handle is used twice
}

// TestRelayReportPause: reports are sent at most ten times a second and at least every 300 ms.
func TestRelayReportPause(t *testing.T) {
	is := is.New(t)
	is.Equal(RelayReportPause(10), ReportPeriod-ReportPeriod/2)
	is.Equal(RelayReportPause(1<<20), 300*time.Millisecond-ReportPeriod/2)
	is.Equal(RelayReportPause(1638).Round(10*time.Millisecond), 150*time.Millisecond)
}
