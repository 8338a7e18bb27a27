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

func keyNamed(name string) Key { return KeyOf("a", "POST", "h", name, nil) }

func nine(string) int { return 9 }

// script is evidence that is given losses and answers at times.
type script struct {
	v   *Evidence
	now time.Duration
}

func newScript() *script { return &script{v: NewEvidence(SettleTime), now: time.Minute} }

// end ends a server under requests that ran for a time.
func (s *script) end(server string, ran time.Duration, names ...string) {
	for _, name := range names {
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{
			Key: keyNamed(name), Account: "a", Pool: "p", Server: server, Address: "at " + server, RunTime: ran, PoolAnswering: true,
		}})
	}
}

// condemned lets a time pass and returns whether some requests are condemned then.
func (s *script) condemned(after time.Duration, names ...string) (all []bool) {
	s.now += after
	s.v.Evaluate(s.now, nine)
	for _, name := range names {
		e, _ := s.v.Find(keyNamed(name))
		all = append(all, e.Condemned)
	}
	return all
}

// TestThreeEndsInARow: condemns once the third end has settled, and not before.
func TestThreeEndsInARow(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 3 {
		is.Equal(s.condemned(time.Second, "deadly"), []bool{false})
		s.end(fmt.Sprint("s", i), 100*time.Millisecond, "deadly", fmt.Sprint("other ", i))
	}
	is.Equal(s.condemned(SettleTime-1, "deadly"), []bool{false})
	is.Equal(s.condemned(1, "deadly", "other 0", "other 1", "other 2"), []bool{true, false, false, false})
	e, _ := s.v.Find(keyNamed("other 0"))
	is.Equal(e.Ends, 0) // the end is explained
}

// TestEndlessRepeats: a request that comes again faster than its ends settle is condemned for those
// that have.
func TestEndlessRepeats(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 5 {
		s.end(fmt.Sprint("s", i), 100*time.Millisecond, "deadly")
		is.Equal(s.condemned(SettleTime*4/5, "deadly"), []bool{i >= 3})
	}
}

// TestAnswerClears: what was answered begins anew, also when it was condemned.
func TestAnswerClears(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 9 {
		s.end(fmt.Sprint("s", i), 100*time.Millisecond, "hot")
		is.Equal(s.condemned(time.Second, "hot"), []bool{i%3 == 2})
		if i%3 == 2 {
			s.v.Clear(keyNamed("hot"))
			is.True(s.v.Empty())
		}
	}
}

// TestSideBySide: runs that went on side by side count once, however many servers end.
func TestSideBySide(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 20 {
		s.end(fmt.Sprint("s", i), 300*time.Millisecond, "hot")
		s.now += 2 * time.Millisecond
	}
	is.Equal(s.condemned(time.Second, "hot"), []bool{false})
	e, _ := s.v.Find(keyNamed("hot"))
	is.Equal(e.Ends, 1)
}

// TestSecondAttempt: one that was lost after the first of its arrival counts, however soon.
func TestSecondAttempt(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 3 {
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{
			Key: keyNamed("deadly"), Pool: "p", Server: fmt.Sprint("s", i), RunTime: 2 * time.Millisecond, Retry: true, PoolAnswering: true,
		}})
		s.now += 3 * time.Millisecond
	}
	is.Equal(s.condemned(time.Second, "deadly"), []bool{true})
}

// TestTwoAtAllEnds: which of two requests is the cause shows at the next end; the other one is
// cleared of all of them.
func TestTwoAtAllEnds(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 4 {
		is.Equal(s.condemned(time.Second, "deadly", "unlucky"), []bool{false, false})
		s.end(fmt.Sprint("s", i), 100*time.Millisecond, []string{"deadly", "unlucky"}[:min(4-i, 2)]...)
	}
	is.Equal(s.condemned(time.Second, "deadly", "unlucky"), []bool{true, false})
	e, _ := s.v.Find(keyNamed("unlucky"))
	is.Equal(e.Ends, 0)
}

// TestTwoThatNeverPart: both are stopped after six ends.
func TestTwoThatNeverPart(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range mostEnds {
		is.Equal(s.condemned(time.Second, "one", "two"), []bool{false, false})
		s.end(fmt.Sprint("s", i), 100*time.Millisecond, "one", "two")
	}
	is.Equal(s.condemned(time.Second, "one", "two"), []bool{true, true})
}

// TestServersThatEndByThemselves: the more of them do, and the longer a request ran, the more ends
// it takes.
func TestServersThatEndByThemselves(t *testing.T) {
	for _, tt := range []struct {
		byThemselves int // in the last seconds, one in each
		ran          time.Duration
		ends         int
	}{{0, 100 * time.Millisecond, 3}, {0, 4 * time.Second, 5}, {4, 100 * time.Millisecond, 4}, {4, time.Second, 6}, {18, 100 * time.Millisecond, 5}, {18, time.Second, 10}} {
		s := newScript()
		for i := range tt.byThemselves {
			s.end(fmt.Sprint("by itself ", i), 100*time.Millisecond, fmt.Sprint("other ", i))
			s.now += time.Second
		}
		ends := 0
		for condemned := false; !condemned && ends < 20; ends++ {
			s.now += tt.ran
			s.end(fmt.Sprint("s", ends), tt.ran, "deadly")
			condemned = s.condemned(time.Second, "deadly")[0]
		}
		if ends != tt.ends {
			t.Errorf("%+v: condemned after %d ends", tt, ends)
		}
	}
}

// TestOutage: while nothing is answered, nobody is suspected.
func TestOutage(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 20 {
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{Key: keyNamed("hot"), Pool: "p", Server: fmt.Sprint("s", i), RunTime: time.Second}})
		is.Equal(s.condemned(time.Second, "hot"), []bool{false})
	}
}

// TestSomeGatewaysAreServed: what a gateway lost that saw no answers is not suspected, and keeps
// nothing else from being condemned.
func TestSomeGatewaysAreServed(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for i := range 3 {
		server := fmt.Sprint("s", i)
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{Key: keyNamed("unserved"), Pool: "p", Server: server, RunTime: time.Second}})
		s.end(server, 100*time.Millisecond, "deadly")
		s.now += time.Second
	}
	is.Equal(s.condemned(time.Second, "deadly", "unserved"), []bool{true, false})
}

// TestLateAndTwice: losses count once, in the order of the ends, whatever the order in which they
// come, and not at all when they are old.
func TestLateAndTwice(t *testing.T) {
	is := is.New(t)
	s := newScript()
	var all []TimedLoss
	for i := range 3 {
		all = append(all, TimedLoss{At: time.Duration(i) * time.Second, Loss: Loss{
			Key: keyNamed("deadly"), Pool: "p", Server: fmt.Sprint("s", i), RunTime: 100 * time.Millisecond, PoolAnswering: true,
		}})
	}
	slices.Reverse(all)
	for _, h := range append(all, all...) {
		s.v.Add(s.now, h)
	}
	e, _ := s.v.Find(keyNamed("deadly"))
	is.Equal(e.Ends, 3)
	is.Equal(len(s.v.Losses()), 3)
	is.Equal(s.condemned(time.Second, "deadly"), []bool{true})
	s.v.Clear(keyNamed("deadly"))
	s.now += memory
	s.v.Add(s.now, all[0])
	is.True(s.v.Empty())
}

// TestOneServerAgain: each end of one server counts, also when it keeps its identifier.
func TestOneServerAgain(t *testing.T) {
	is := is.New(t)
	s := newScript()
	for range 3 {
		s.end("s", 100*time.Millisecond, "deadly")
		s.now += 2 * time.Second
	}
	is.Equal(s.condemned(time.Second, "deadly"), []bool{true})
}

// TestBounds: many suspects of one account do not push out those of others, and what was at more
// ends stays.
func TestBounds(t *testing.T) {
	is := is.New(t)
	v := NewEvidence(SettleTime)
	add := func(account, name, server string, at time.Duration) {
		v.Add(at, TimedLoss{At: at, Loss: Loss{Key: keyNamed(account + name), Account: account, Server: server, RunTime: time.Millisecond, PoolAnswering: true}})
	}
	add("quiet", "one", "s1", 0)
	add("loud", "twice", "s1", 0)
	add("loud", "twice", "s2", time.Second)
	for i := range 3 * mostOfAccount {
		add("loud", fmt.Sprint(i), "s3", 2*time.Second)
	}
	is.Equal(len(v.suspects), mostOfAccount+1)
	_, kept := v.Find(keyNamed("loudtwice"))
	is.True(kept)
	for a := range 20 {
		for i := range mostOfAccount {
			add(fmt.Sprint("account ", a), fmt.Sprint(i), "s4", 3*time.Second)
		}
	}
	is.Equal(len(v.suspects), mostSuspects)
	_, kept = v.Find(keyNamed("quietone"))
	is.True(kept)
	v = NewEvidence(SettleTime)
	for i := range mostSuspects { // what is condemned takes no room
		v.AddCondemned(Entry{Key: keyNamed(fmt.Sprint("condemned ", i)), Ends: 3, Condemned: true})
	}
	add("late", "one", "s5", 4*time.Second)
	add("late", "two", "s5", 4*time.Second)
	_, one := v.Find(keyNamed("lateone"))
	_, two := v.Find(keyNamed("latetwo"))
	is.True(one && two)
}

// TestChanceOfInnocents plays requests that end nothing, in pools whose servers end by themselves
// up to every ten seconds each, and counts the condemned.
func TestChanceOfInnocents(t *testing.T) {
	for _, tt := range []struct {
		servers int
		between time.Duration // two ends of one server
		run     time.Duration // on average
	}{
		{3, 10 * time.Second, time.Second}, {9, 10 * time.Second, time.Second}, {9, time.Minute, 3 * time.Second},
		{60, 30 * time.Second, time.Second}, {3, time.Minute, 100 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d servers, %v, %v", tt.servers, tt.between, tt.run), func(t *testing.T) {
			is := is.New(t)
			losses, requests, condemned := playInnocents(tt.servers, tt.between, tt.run)
			t.Logf("%d requests, %d runs lost, %d condemned", requests, losses, condemned)
			is.Equal(condemned, 0)
		})
	}
}

// occurrence is a loss, or without one a whole answer.
type occurrence struct {
	at  time.Duration
	key Key
	h   *TimedLoss
}

// playInnocents returns how many runs were lost of how many requests, and how many of these were
// condemned. Each has two attempts, and its caller comes back once.
func playInnocents(servers int, between, run time.Duration) (lost, requests, condemned int) {
	const length = 20 * time.Minute
	rng := rand.New(rand.NewPCG(1, uint64(servers)))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	ends := make([][]time.Duration, servers)
	for i := range ends {
		for at := exponential(between); at < length+time.Minute; at += exponential(between) {
			ends[i] = append(ends[i], at)
		}
	}
	var all []occurrence
	for at := time.Duration(0); at < length; at += exponential(time.Second / 100) {
		requests++
		key, begin := keyNamed(fmt.Sprint(requests)), at
		for n := range 4 {
			server, ran := rng.IntN(servers), exponential(run)
			next, _ := slices.BinarySearch(ends[server], begin)
			if next == len(ends[server]) || ends[server][next] > begin+ran {
				all = append(all, occurrence{at: begin + ran, key: key})
				break
			}
			lost++
			end := ends[server][next]
			all = append(all, occurrence{at: end, key: key, h: &TimedLoss{At: end, Loss: Loss{
				Key: key, Account: "a", Pool: "p", Server: fmt.Sprint(server), Address: fmt.Sprint(server),
				RunTime: end - begin, Retry: n%2 == 1, PoolAnswering: true,
			}}})
			if begin = end + time.Millisecond; n == 1 {
				begin += 500 * time.Millisecond
			}
		}
	}
	slices.SortFunc(all, func(a, b occurrence) int { return cmp.Compare(a.at, b.at) })
	v := NewEvidence(SettleTime)
	judged := time.Duration(0)
	for _, o := range all {
		if o.h == nil {
			v.Clear(o.key)
			continue
		}
		v.Add(o.at, *o.h)
		if o.at-judged >= 100*time.Millisecond {
			judged = o.at
			condemned += len(v.Evaluate(o.at, func(string) int { return servers }))
		}
	}
	return lost, requests, condemned
}

// TestAnyEvidence plays losses, answers, known verdicts and judgements in any order: bounds hold,
// and nobody is condemned for fewer ends than three.
func TestAnyEvidence(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		v, now := NewEvidence(SettleTime), time.Hour
		for range 400 {
			now += time.Duration(rng.IntN(400)) * time.Millisecond
			key := keyNamed(fmt.Sprint(rng.IntN(12)))
			switch rng.IntN(10) {
			case 0:
				v.Clear(key)
			case 1:
				v.AddCondemned(Entry{Key: key, Ends: 3, Condemned: true})
			case 2, 3:
				for _, verdict := range v.Evaluate(now, nine) {
					if len(verdict.Servers) < fewestEnds || verdict.Probability > chanceAllowed {
						t.Fatalf("seed %d: %+v", seed, verdict)
					}
				}
			default:
				server := fmt.Sprint(rng.IntN(6))
				v.Add(now, TimedLoss{At: now - time.Duration(rng.IntN(900))*time.Second, Loss: Loss{
					Key: key, Account: fmt.Sprint(rng.IntN(3)), Pool: "p", Server: server, Address: server,
					RunTime: time.Duration(rng.IntN(3000)) * time.Millisecond, Retry: rng.IntN(4) == 0, PoolAnswering: rng.IntN(3) > 0,
				}})
			}
			if len(v.Losses()) > 12*2*mostEnds || len(v.Suspects()) > 12 {
				t.Fatalf("seed %d: %d losses of %d suspects", seed, len(v.Losses()), len(v.Suspects()))
			}
		}
	}
}
