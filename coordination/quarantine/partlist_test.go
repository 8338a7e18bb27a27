// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests the list of parts that gateways hold, and what they remember of answers.

// TestPartListFollowsChanges applies random crashes, answers and releases, and checks that a list which gets
// only the changes decides like the leader's, and so does one that gets the whole list.
func TestPartListFollowsChanges(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s := newPartScenario()
		name := func() string { return fmt.Sprint("part", rng.IntN(6)) }
		var sent, held PartList
		for range 300 {
			s.now += time.Duration(rng.IntN(300)) * time.Millisecond
			switch rng.IntN(12) {
			case 0:
				s.v.Clear(partKey(name()))
			case 1:
				for _, set := range s.v.Sets() {
					s.v.Release(set.Key())
				}
			case 2:
				s.v.Evaluate(s.now, nineServers)
			default:
				s.crash(fmt.Sprint(s.now), shortRun, []string{name(), name()})
			}
			var changes, whole protocol.Quarantine
			current := s.v.List(s.now)
			sent.AppendChanges(s.now, current, &changes)
			sent, held = current, held.Apply(s.now, changes)
			whole.Whole = true
			current.AppendTo(s.now, &whole)
			fresh := PartList{}.Apply(s.now, whole)
			for range 8 {
				parts := []Key{partKey(name()), partKey(name()), partKey(name())}
				_, want := current.Condemned(parts)
				_, byChanges := held.Condemned(parts)
				_, byWhole := fresh.Condemned(parts)
				is.Equal(byChanges, want)
				is.Equal(byWhole, want)
				wantSuspect, listed := current.Suspect(parts[0])
				got, found := held.Suspect(parts[0])
				is.True(!listed || found && got.Crashes == wantSuspect.Crashes)
				is.Equal(fresh.suspects[parts[0]].Crashes, wantSuspect.Crashes)
			}
		}
	}
}

// TestMalformedPartList checks that malformed keys change nothing.
func TestMalformedPartList(t *testing.T) {
	is := is.New(t)
	k := partKey("bad")
	l := PartList{}.Apply(time.Second, protocol.Quarantine{
		SuspectParts:   []protocol.SuspectPart{{Key: []byte("short"), Crashes: 3}},
		CondemnedParts: []protocol.CondemnedParts{{Parts: [][]byte{k[:], []byte("short")}}, {}},
		RemovedParts:   [][]byte{[]byte("short")},
	})
	is.True(l.Empty())
}

// TestListedPartsAreBounded checks that parts at one crash are not listed, and how many are listed at most.
func TestListedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newPartScenario()
	for i := range 2 * maxListedParts {
		s.crash("a", shortRun, []string{fmt.Sprint(i)})
	}
	is.True(s.v.List(s.now).Empty())
	s.now += 2 * time.Second
	for i := range 2 * maxListedParts {
		s.crash("b", shortRun, []string{fmt.Sprint(i)})
	}
	is.Equal(len(s.v.List(s.now).Suspects()), maxListedParts)
}

// TestBegun checks how long parts with answers are remembered, and how many.
func TestBegun(t *testing.T) {
	is := is.New(t)
	var b Begun
	a, other := partKey("a"), partKey("b")
	is.True(!b.Since(a, 0))
	b.Record(time.Second, []Key{a})
	is.True(b.Since(a, time.Second-1))
	is.True(!b.Since(a, time.Second))
	b.Record(time.Second+begunPeriod, []Key{other})
	is.True(b.Since(a, 0))
	b.Record(time.Second+2*begunPeriod, []Key{other})
	is.True(!b.Since(a, 0))
	for i := range 5 * maxBegun {
		b.Record(time.Hour, []Key{partKey(fmt.Sprint(i))})
	}
	is.True(len(b.current)+len(b.older) <= 2*maxBegun)
}

// TestPartListBytes bounds the bytes a second that each gateway gets of the list, and that all of them report,
// while servers crash all the time and parts are cleared.
func TestPartListBytes(t *testing.T) {
	const (
		length         = time.Minute
		crashPeriod    = 50 * time.Millisecond
		crashesPerTick = 2      // of the leader, which sends changes then
		requests       = 30     // waiting at a crash
		maxListRate    = 10_000 // bytes a second: what a node may spend on control
		maxReportRate  = 60_000 // bytes a second of all gateways together, at the leader
	)
	size := func(m protocol.Message) int {
		b, err := protocol.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	rng := rand.New(rand.NewPCG(8, 8))
	s := newPartScenario()
	var sent PartList
	listed, reported := 0, 0
	for at := time.Duration(0); at < length; at += crashPeriod {
		s.now += crashPeriod
		var u protocol.Usage
		server := fmt.Sprint("server", rng.IntN(2000))
		for i := range requests {
			parts := []string{fmt.Sprint("account", rng.IntN(30)), fmt.Sprint("part", int(rng.ExpFloat64()*300))}
			s.crash(server, shortRun, parts)
			u.LostParts = append(u.LostParts, protocol.LostParts{Loss: uint32(i), Model: "m", Names: parts})
		}
		for k := range sent.Suspects() {
			if rng.IntN(3) == 0 { // an answer begins
				s.v.Clear(k)
				u.BegunParts = append(u.BegunParts, k[:])
			}
		}
		reported += size(u)
		s.v.Evaluate(s.now, nineServers)
		var m protocol.Quarantine
		next := s.v.List(s.now)
		if sent.AppendChanges(s.now, next, &m) {
			listed += size(m)
		}
		sent = next
	}
	seconds := int(length / time.Second)
	t.Logf("list %d B a second to each gateway, reports %d B a second in all", listed/seconds, reported/seconds)
	if listed/seconds > maxListRate || reported/seconds > maxReportRate {
		t.Errorf("want at most %d and %d", maxListRate, maxReportRate)
	}
}
