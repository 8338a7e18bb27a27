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

func nineServers(string) int { return 9 }

// scenario records losses over time and evaluates the evidence.
type scenario struct {
	v   *Evidence
	now time.Duration
}

func newScenario() *scenario { return &scenario{v: NewEvidence(SettleTime), now: time.Minute} }

// fail makes a server fail while running requests for a time.
func (s *scenario) fail(server string, ran time.Duration, names ...string) {
	for _, name := range names {
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{
			Key: keyNamed(name), Account: "a", Pool: "p", Server: server, Address: "at " + server, RunTime: ran, PoolAnswering: true,
		}})
	}
}

// condemned advances the clock and returns whether each of the requests is condemned then.
func (s *scenario) condemned(after time.Duration, names ...string) (all []bool) {
	s.now += after
	s.v.Evaluate(s.now, nineServers)
	for _, name := range names {
		e, _ := s.v.Find(keyNamed(name))
		all = append(all, e.Condemned)
	}
	return all
}

// TestThreeConsecutiveFailuresCondemn: a request is condemned once the third failure has settled,
// and not before.
func TestThreeConsecutiveFailuresCondemn(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 3 {
		is.Equal(s.condemned(time.Second, "poison"), []bool{false})
		s.fail(fmt.Sprint("s", i), 100*time.Millisecond, "poison", fmt.Sprint("other ", i))
	}
	is.Equal(s.condemned(SettleTime-1, "poison"), []bool{false})
	is.Equal(s.condemned(1, "poison", "other 0", "other 1", "other 2"), []bool{true, false, false, false})
	e, _ := s.v.Find(keyNamed("other 0"))
	is.Equal(e.Failures, 0) // the failure is explained
}

// TestRepeatsBeforeFailuresSettle: a request that is repeated before its failures settle is
// condemned for the settled ones.
func TestRepeatsBeforeFailuresSettle(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 5 {
		s.fail(fmt.Sprint("s", i), 100*time.Millisecond, "poison")
		is.Equal(s.condemned(SettleTime*4/5, "poison"), []bool{i >= 3})
	}
}

// TestAnswerClearsKey: after a complete answer the count starts again, even for a condemned
// request.
func TestAnswerClearsKey(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 9 {
		s.fail(fmt.Sprint("s", i), 100*time.Millisecond, "hot")
		is.Equal(s.condemned(time.Second, "hot"), []bool{i%3 == 2})
		if i%3 == 2 {
			s.v.Clear(keyNamed("hot"))
			is.True(s.v.Empty())
		}
	}
}

// TestOverlappingRunsCountOnce: the losses of overlapping runs of a request count as one, however
// many servers fail.
func TestOverlappingRunsCountOnce(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 20 {
		s.fail(fmt.Sprint("s", i), 300*time.Millisecond, "hot")
		s.now += 2 * time.Millisecond
	}
	is.Equal(s.condemned(time.Second, "hot"), []bool{false})
	e, _ := s.v.Find(keyNamed("hot"))
	is.Equal(e.Failures, 1)
}

// TestRetryCountsHoweverSoon: the loss of a retry counts however soon it follows the loss before.
func TestRetryCountsHoweverSoon(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 3 {
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{
			Key: keyNamed("poison"), Pool: "p", Server: fmt.Sprint("s", i), RunTime: 2 * time.Millisecond, Retry: true, PoolAnswering: true,
		}})
		s.now += 3 * time.Millisecond
	}
	is.Equal(s.condemned(time.Second, "poison"), []bool{true})
}

// TestNextFailureSeparatesSuspects: while two requests were running at the same failures, neither
// is condemned. The next failure, at which only one of them was running, condemns that one, and the
// failures no longer count against the other.
func TestNextFailureSeparatesSuspects(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 4 {
		is.Equal(s.condemned(time.Second, "poison", "innocent"), []bool{false, false})
		s.fail(fmt.Sprint("s", i), 100*time.Millisecond, []string{"poison", "innocent"}[:min(4-i, 2)]...)
	}
	is.Equal(s.condemned(time.Second, "poison", "innocent"), []bool{true, false})
	e, _ := s.v.Find(keyNamed("innocent"))
	is.Equal(e.Failures, 0)
}

// TestInseparableSuspectsAreBothCondemned: two requests that were running at the same
// decisiveFailures failures are both condemned.
func TestInseparableSuspectsAreBothCondemned(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range decisiveFailures {
		is.Equal(s.condemned(time.Second, "one", "two"), []bool{false, false})
		s.fail(fmt.Sprint("s", i), 100*time.Millisecond, "one", "two")
	}
	is.Equal(s.condemned(time.Second, "one", "two"), []bool{true, true})
}

// TestUnrelatedFailuresRaiseThreshold: the more often servers fail by themselves and the longer a
// request runs, the more failures it takes to condemn it.
func TestUnrelatedFailuresRaiseThreshold(t *testing.T) {
	for _, tt := range []struct {
		unrelated int // in the last seconds, one per second
		runTime   time.Duration
		failures  int
	}{{0, 100 * time.Millisecond, 3}, {0, 4 * time.Second, 5}, {4, 100 * time.Millisecond, 4}, {4, time.Second, 6}, {18, 100 * time.Millisecond, 5}, {18, time.Second, 10}} {
		s := newScenario()
		for i := range tt.unrelated {
			s.fail(fmt.Sprint("by itself ", i), 100*time.Millisecond, fmt.Sprint("other ", i))
			s.now += time.Second
		}
		failures := 0
		for condemned := false; !condemned && failures < 20; failures++ {
			s.now += tt.runTime
			s.fail(fmt.Sprint("s", failures), tt.runTime, "poison")
			condemned = s.condemned(time.Second, "poison")[0]
		}
		if failures != tt.failures {
			t.Errorf("%+v: condemned after %d failures", tt, failures)
		}
	}
}

// TestNoSuspectsDuringPoolOutage: while no server of the pool answers, no request is suspected.
func TestNoSuspectsDuringPoolOutage(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 20 {
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{Key: keyNamed("hot"), Pool: "p", Server: fmt.Sprint("s", i), RunTime: time.Second}})
		is.Equal(s.condemned(time.Second, "hot"), []bool{false})
	}
}

// TestLossWithoutPoolAnswersIsIgnored: requests lost at a gateway that saw no answers of the pool
// are not suspected, and do not keep others from being condemned.
func TestLossWithoutPoolAnswersIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for i := range 3 {
		server := fmt.Sprint("s", i)
		s.v.Add(s.now, TimedLoss{At: s.now, Loss: Loss{Key: keyNamed("unserved"), Pool: "p", Server: server, RunTime: time.Second}})
		s.fail(server, 100*time.Millisecond, "poison")
		s.now += time.Second
	}
	is.Equal(s.condemned(time.Second, "poison", "unserved"), []bool{true, false})
}

// TestLateAndDuplicateLosses: each loss counts once and in the order of the failures, whatever the
// order of the reports. Losses older than the retention do not count.
func TestLateAndDuplicateLosses(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	var all []TimedLoss
	for i := range 3 {
		all = append(all, TimedLoss{At: time.Duration(i) * time.Second, Loss: Loss{
			Key: keyNamed("poison"), Pool: "p", Server: fmt.Sprint("s", i), RunTime: 100 * time.Millisecond, PoolAnswering: true,
		}})
	}
	slices.Reverse(all)
	for _, loss := range append(all, all...) {
		s.v.Add(s.now, loss)
	}
	e, _ := s.v.Find(keyNamed("poison"))
	is.Equal(e.Failures, 3)
	is.Equal(len(s.v.Losses()), 3)
	is.Equal(s.condemned(time.Second, "poison"), []bool{true})
	s.v.Clear(keyNamed("poison"))
	s.now += retention
	s.v.Add(s.now, all[0])
	is.True(s.v.Empty())
}

// TestRepeatedFailuresOfOneServer: each failure of a server counts, even if the server keeps its
// identifier.
func TestRepeatedFailuresOfOneServer(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	for range 3 {
		s.fail("s", 100*time.Millisecond, "poison")
		s.now += 2 * time.Second
	}
	is.Equal(s.condemned(time.Second, "poison"), []bool{true})
}

// TestSuspectLimits: many suspects of one account do not displace those of others, and suspects
// with more losses are kept.
func TestSuspectLimits(t *testing.T) {
	is := is.New(t)
	v := NewEvidence(SettleTime)
	add := func(account, name, server string, at time.Duration) {
		v.Add(at, TimedLoss{At: at, Loss: Loss{Key: keyNamed(account + name), Account: account, Server: server, RunTime: time.Millisecond, PoolAnswering: true}})
	}
	add("quiet", "one", "s1", 0)
	add("loud", "twice", "s1", 0)
	add("loud", "twice", "s2", time.Second)
	for i := range 3 * maxSuspectsPerAccount {
		add("loud", fmt.Sprint(i), "s3", 2*time.Second)
	}
	is.Equal(len(v.suspects), maxSuspectsPerAccount+1)
	_, found := v.Find(keyNamed("loudtwice"))
	is.True(found)
	for a := range 20 {
		for i := range maxSuspectsPerAccount {
			add(fmt.Sprint("account ", a), fmt.Sprint(i), "s4", 3*time.Second)
		}
	}
	is.Equal(len(v.suspects), maxSuspects)
	_, found = v.Find(keyNamed("quietone"))
	is.True(found)
	v = NewEvidence(SettleTime)
	for i := range maxSuspects { // condemned requests do not count towards the limit
		v.AddCondemned(Entry{Key: keyNamed(fmt.Sprint("condemned ", i)), Failures: 3, Condemned: true})
	}
	add("late", "one", "s5", 4*time.Second)
	add("late", "two", "s5", 4*time.Second)
	_, one := v.Find(keyNamed("lateone"))
	_, two := v.Find(keyNamed("latetwo"))
	is.True(one && two)
}

// TestInnocentRequestsAreNotCondemned: no request is condemned in pools whose servers fail by
// themselves, each up to every ten seconds.
func TestInnocentRequestsAreNotCondemned(t *testing.T) {
	for _, tt := range []struct {
		servers      int
		meanInterval time.Duration // mean time between two failures of a server
		run          time.Duration // mean run time
	}{
		{3, 10 * time.Second, time.Second}, {9, 10 * time.Second, time.Second}, {9, time.Minute, 3 * time.Second},
		{60, 30 * time.Second, time.Second}, {3, time.Minute, 100 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d servers, %v, %v", tt.servers, tt.meanInterval, tt.run), func(t *testing.T) {
			is := is.New(t)
			losses, requests, condemned := simulateInnocentRequests(tt.servers, tt.meanInterval, tt.run)
			t.Logf("%d requests, %d runs lost, %d condemned", requests, losses, condemned)
			is.Equal(condemned, 0)
		})
	}
}

// occurrence is a loss, or a complete answer if loss is nil.
type occurrence struct {
	at   time.Duration
	key  Key
	loss *TimedLoss
}

// simulateInnocentRequests simulates a pool whose servers fail by themselves, and returns the
// number of lost runs, of requests, and of condemned requests. Each request has two attempts, and
// its caller repeats it once.
func simulateInnocentRequests(servers int, meanInterval, run time.Duration) (lost, requests, condemned int) {
	const length = 20 * time.Minute
	rng := rand.New(rand.NewPCG(1, uint64(servers)))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	failureTimes := make([][]time.Duration, servers)
	for i := range failureTimes {
		for at := exponential(meanInterval); at < length+time.Minute; at += exponential(meanInterval) {
			failureTimes[i] = append(failureTimes[i], at)
		}
	}
	var all []occurrence
	for at := time.Duration(0); at < length; at += exponential(time.Second / 100) {
		requests++
		key, begin := keyNamed(fmt.Sprint(requests)), at
		for n := range 4 {
			server, ran := rng.IntN(servers), exponential(run)
			next, _ := slices.BinarySearch(failureTimes[server], begin)
			if next == len(failureTimes[server]) || failureTimes[server][next] > begin+ran {
				all = append(all, occurrence{at: begin + ran, key: key})
				break
			}
			lost++
			end := failureTimes[server][next]
			all = append(all, occurrence{at: end, key: key, loss: &TimedLoss{At: end, Loss: Loss{
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
	evaluatedAt := time.Duration(0)
	for _, o := range all {
		if o.loss == nil {
			v.Clear(o.key)
			continue
		}
		v.Add(o.at, *o.loss)
		if o.at-evaluatedAt >= 100*time.Millisecond {
			evaluatedAt = o.at
			condemned += len(v.Evaluate(o.at, func(string) int { return servers }))
		}
	}
	return lost, requests, condemned
}

// TestRandomEvidence applies losses, answers, known verdicts and evaluations in random order. The
// limits on losses and suspects hold, and no request is condemned for fewer than three failures.
func TestRandomEvidence(t *testing.T) {
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
				v.AddCondemned(Entry{Key: key, Failures: 3, Condemned: true})
			case 2, 3:
				for _, verdict := range v.Evaluate(now, nineServers) {
					if len(verdict.Servers) < minFailures || verdict.Probability > maxProbability {
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
			if len(v.Losses()) > 12*2*decisiveFailures || len(v.Suspects()) > 12 {
				t.Fatalf("seed %d: %d losses of %d suspects", seed, len(v.Losses()), len(v.Suspects()))
			}
		}
	}
}
