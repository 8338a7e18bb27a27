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
			current := s.v.List()
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
	is.True(s.v.List().Empty())
	s.now += 2 * time.Second
	for i := range 2 * maxListedParts {
		s.crash("b", shortRun, []string{fmt.Sprint(i)})
	}
	is.Equal(len(s.v.List().Suspects()), maxListedParts)
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
