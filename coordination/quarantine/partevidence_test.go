// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests which parts of prompts are condemned, and that harmless ones are not.

// partScenario applies crashes to an evidence.
type partScenario struct {
	v        *PartEvidence
	now      time.Duration
	requests int
}

func newPartScenario() *partScenario {
	return &partScenario{v: NewPartEvidence(SettleTime), now: time.Hour}
}

func partKey(name string) Key { return Part{Pool: "p", Model: "m", Name: name}.Key() }

// crash records a crash of a server at which one new request with each of the given lists of parts was
// waiting.
func (s *partScenario) crash(server string, run time.Duration, requests ...[]string) {
	for _, parts := range requests {
		s.requests++
		s.loss(server, run, fmt.Sprint("request ", s.requests), parts)
	}
}

func (s *partScenario) loss(server string, run time.Duration, request string, parts []string) {
	s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{
		Key: keyNamed(request), Pool: "p", Server: server, Address: server, RunTime: run, PoolAnswering: true, Parts: parts, Model: "m",
	}})
}

// condemned returns the names of the condemned sets after a time.
func (s *partScenario) condemned(after time.Duration) (names [][]string) {
	s.now += after
	s.v.Evaluate(s.now, nineServers)
	for _, set := range s.v.Sets() {
		names = append(names, set.Names)
	}
	return names
}

const shortRun = 100 * time.Millisecond

// TestPartIsCondemned checks how many crashes condemn a part, and which others keep it from being condemned.
func TestPartIsCondemned(t *testing.T) {
	const gap = 150 * time.Millisecond
	for _, tt := range []struct {
		name  string
		crash func(s *partScenario)
		want  [][]string
	}{
		{"two crashes", func(s *partScenario) {
			for i := range 2 {
				s.crash(fmt.Sprint(i), shortRun, []string{"bad"})
				s.now += gap
			}
		}, nil},
		{"three crashes, other parts in some of the requests", func(s *partScenario) {
			for i := range 3 {
				s.crash(fmt.Sprint(i), shortRun, []string{fmt.Sprint("account", i%2), "bad"}, []string{"bystander" + fmt.Sprint(i)})
				s.now += gap
			}
		}, [][]string{{"bad"}}},
		{"one request, again and again", func(s *partScenario) {
			for i := range 8 {
				s.loss(fmt.Sprint(i), shortRun, "the same", []string{"rare"})
				s.now += gap
			}
		}, nil},
		{"a part that is always beside it", func(s *partScenario) {
			for i := range 3 {
				s.crash(fmt.Sprint(i), shortRun, []string{"beside", "bad"})
				s.now += gap
			}
		}, [][]string{{"bad", "beside"}}},
		{"a part in other requests at all crashes", func(s *partScenario) {
			for i := range 3 {
				s.crash(fmt.Sprint(i), shortRun, []string{"bad"}, []string{"other"})
				s.now += gap
			}
		}, nil},
		{"the next crash tells them apart", func(s *partScenario) {
			for i := range 3 {
				s.crash(fmt.Sprint(i), shortRun, []string{"bad"}, []string{"other"})
				s.now += gap
			}
			s.crash("4", shortRun, []string{"bad"})
		}, [][]string{{"bad"}}},
		{"servers that crash together", func(s *partScenario) {
			for i := range 4 {
				s.crash(fmt.Sprint(i), shortRun, []string{"popular"})
				s.now += 5 * time.Millisecond
			}
		}, nil},
		{"five crashes whose runs overlap", func(s *partScenario) {
			for i := range 5 {
				s.crash(fmt.Sprint(i), 2*time.Second, []string{"bad"})
				s.now += 60 * time.Millisecond
			}
		}, [][]string{{"bad"}}},
		{"crashes without it in between", func(s *partScenario) {
			for i := range 4 {
				s.crash(fmt.Sprint(i), time.Second, []string{"unlucky"})
				for n := range 3 {
					s.now += gap
					s.crash(fmt.Sprint("x", i, n), shortRun, []string{fmt.Sprint("rare", i, n)})
				}
				s.now += time.Second
			}
		}, nil},
		{"a rack that goes down within half a second", func(s *partScenario) {
			for i := range 12 {
				parts := []string{"unlucky"}
				if i%2 == 1 || i == 0 {
					parts = []string{fmt.Sprint("rare", i)}
				}
				s.crash(fmt.Sprint(i), 300*time.Millisecond, parts)
				s.now += 40 * time.Millisecond
			}
		}, nil},
		{"two parts", func(s *partScenario) {
			for i := range 6 {
				s.crash(fmt.Sprint("a", i), shortRun, []string{"common", "bad a"})
				s.now += gap
				s.crash(fmt.Sprint("b", i), shortRun, []string{"bad b"})
				s.now += gap
			}
		}, [][]string{{"bad a", "common"}, {"bad b"}}},
		{"an answer begins in between", func(s *partScenario) {
			for i := range 6 {
				s.crash(fmt.Sprint(i), shortRun, []string{"harmless"})
				s.now += gap
				if i%2 == 1 {
					s.v.Clear(partKey("harmless"))
				}
			}
		}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPartScenario()
			tt.crash(s)
			is.New(t).Equal(s.condemned(SettleTime), tt.want)
		})
	}
}

// TestSettlingPart checks that a part is not condemned before its crashes have settled, and that crashes
// with a condemned part are no evidence against others.
func TestSettlingPart(t *testing.T) {
	is := is.New(t)
	s := newPartScenario()
	for i := range 3 {
		s.now += 150 * time.Millisecond
		s.crash(fmt.Sprint(i), shortRun, []string{"bad"})
	}
	is.Equal(len(s.condemned(SettleTime-1)), 0)
	is.Equal(len(s.condemned(1)), 1)
	for i := range 5 {
		s.now += 150 * time.Millisecond
		s.crash(fmt.Sprint("later", i), shortRun, []string{"bad", "beside"}, []string{"bystander"})
	}
	is.Equal(s.condemned(SettleTime), [][]string{{"bad"}})
	is.Equal(s.v.Crashes(partKey("bystander")), 0)
}

// TestAnswerReducesCondemnedSet checks that an answer to one part of a condemned set releases that part
// alone, and that requests with a part of the set but not all are not condemned.
func TestAnswerReducesCondemnedSet(t *testing.T) {
	is := is.New(t)
	s := newPartScenario()
	for i := range 3 {
		s.crash(fmt.Sprint(i), shortRun, []string{"beside", "bad"})
		s.now += 150 * time.Millisecond
	}
	is.Equal(s.condemned(SettleTime), [][]string{{"bad", "beside"}})
	condemned := func(names ...string) bool {
		var keys []Key
		for _, name := range names {
			keys = append(keys, partKey(name))
		}
		_, condemned := s.v.List(s.now).Condemned(keys)
		return condemned
	}
	is.True(condemned("first", "bad", "beside"))
	is.True(!condemned("first", "beside"))
	is.True(!condemned("bad"))
	s.v.Clear(partKey("beside"))
	is.Equal(s.condemned(0), [][]string{{"bad"}})
	is.True(condemned("first", "bad"))
	is.True(!condemned("first", "beside"))
	s.v.Clear(partKey("bad"))
	is.Equal(len(s.v.Sets()), 0)
	is.True(!condemned("bad"))
}

// TestReleasedPart checks that a released part is condemned again only after more crashes.
func TestReleasedPart(t *testing.T) {
	is := is.New(t)
	s := newPartScenario()
	crash := func() {
		for range 3 {
			s.now += 150 * time.Millisecond
			s.crash(fmt.Sprint(s.now), shortRun, []string{"bad"})
		}
	}
	crash()
	is.Equal(len(s.condemned(SettleTime)), 1)
	s.v.Release(partKey("bad"))
	is.Equal(len(s.condemned(time.Second)), 0)
	crash()
	is.Equal(len(s.condemned(SettleTime)), 1)
}

// TestPartLimits checks that the memory for parts is bounded and that those with more crashes are kept.
func TestPartLimits(t *testing.T) {
	is := is.New(t)
	s := newPartScenario()
	s.crash("a", shortRun, []string{"twice"})
	s.now += time.Second
	s.crash("b", shortRun, []string{"twice"})
	for i := range 2 * maxPartSuspects {
		s.crash("c", shortRun, []string{fmt.Sprint("once", i)})
	}
	is.Equal(len(s.v.suspects), maxPartSuspects)
	is.Equal(s.v.Crashes(partKey("twice")), 2)
	is.Equal(len(s.v.crashes["c"][0].parts), maxPartSuspects-1)
	for i := range 2 * maxPartSets {
		s.v.AddCondemned(PartSet{Pool: "p", Model: "m", Names: []string{fmt.Sprint(i)}})
	}
	is.Equal(len(s.v.Sets()), maxPartSets)
	s.now += retention + time.Second
	s.v.Evaluate(s.now, nineServers)
	is.Equal(len(s.v.suspects), 0)
	is.Equal(len(s.v.crashes), 0)
}

// TestInnocentPartsAreNotCondemned checks that no part is condemned in pools whose servers crash by
// themselves, one at a time or a rack at once. Parts are requested with very different rates.
func TestInnocentPartsAreNotCondemned(t *testing.T) {
	for _, tt := range []struct {
		servers, rack int
		meanInterval  time.Duration // mean time between two crashes of a rack
		run           time.Duration // mean time until an answer begins
	}{
		{9, 1, 10 * time.Second, 200 * time.Millisecond}, {9, 1, 10 * time.Second, 2 * time.Second}, {3, 1, 10 * time.Second, time.Second},
		{60, 1, 30 * time.Second, time.Second}, {60, 20, 10 * time.Second, time.Second}, {60, 20, 10 * time.Second, 5 * time.Second},
		{9, 3, 5 * time.Second, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d servers, racks of %d, %v, %v", tt.servers, tt.rack, tt.meanInterval, tt.run), func(t *testing.T) {
			t.Parallel()
			lost, requests, sets := simulateInnocentParts(tt.servers, tt.rack, tt.meanInterval, tt.run)
			t.Logf("%d requests, %d lost, condemned %v", requests, lost, sets)
			is.New(t).Equal(len(sets), 0)
		})
	}
}

// simulateInnocentParts returns the numbers of lost requests and of requests, and the condemned sets.
func simulateInnocentParts(servers, rack int, meanInterval, run time.Duration) (lost, requests int, sets []PartSet) {
	const length = 20 * time.Minute
	rng := rand.New(rand.NewPCG(3, uint64(servers*rack)))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	crashes := make([][]time.Duration, servers)
	for first := 0; first < servers; first += rack {
		for at := exponential(meanInterval); at < length+time.Minute; at += exponential(meanInterval) {
			for server := first; server < first+rack; server++ {
				crashes[server] = append(crashes[server], at+time.Duration(rng.IntN(300))*time.Millisecond)
			}
		}
	}
	for _, times := range crashes {
		slices.Sort(times)
	}
	var all []partOccurrence
	for at := time.Duration(0); at < length; at += exponential(time.Second / 50) {
		requests++
		parts := []string{"common", fmt.Sprint("account", rng.IntN(20)), fmt.Sprint("rare", int(rng.ExpFloat64()*300))}
		server, ran := rng.IntN(servers), exponential(run)
		next, _ := slices.BinarySearch(crashes[server], at)
		if next == len(crashes[server]) || crashes[server][next] > at+ran {
			all = append(all, partOccurrence{at: at + ran, parts: parts})
			continue
		}
		lost++
		end := crashes[server][next]
		all = append(all, partOccurrence{at: end, parts: parts, loss: &TimedLoss{At: end, Loss: Loss{
			Key: keyNamed(fmt.Sprint(requests)), Pool: "p", Server: fmt.Sprint(server), Address: fmt.Sprint(server),
			RunTime: end - at, PoolAnswering: true, Parts: parts, Model: "m",
		}}})
	}
	slices.SortFunc(all, func(a, b partOccurrence) int { return cmp.Compare(a.at, b.at) })
	v, evaluatedAt := NewPartEvidence(SettleTime), time.Duration(0)
	for _, o := range all {
		if o.loss != nil {
			v.Add(o.at, *o.loss)
		} else {
			for _, name := range o.parts {
				v.Clear(partKey(name))
			}
		}
		if o.at-evaluatedAt >= 100*time.Millisecond {
			evaluatedAt = o.at
			v.Evaluate(o.at, func(string) int { return servers })
		}
	}
	return lost, requests, v.Sets()
}

// partOccurrence is a loss, or the beginning of an answer if loss is nil.
type partOccurrence struct {
	at    time.Duration
	parts []string
	loss  *TimedLoss
}
