// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatience(t *testing.T) {
	is := is.New(t)
	var p Patience
	is.Equal(p.Spent(3*time.Second), time.Duration(0)) // no samples
	p.ObserveFirst(0, 0)                               // no wait stated
	for i := range minFirstSamples - 1 {
		p.ObserveFirst(0, 10*time.Second-time.Duration(i)*100*time.Millisecond)
	}
	is.Equal(p.Spent(3*time.Second), time.Duration(0)) // too few samples
	for i := range 10 {
		p.ObserveFirst(0, 10*time.Second-time.Duration(i)*150*time.Millisecond)
	}
	p.ObserveFirst(0, 8500*time.Millisecond)
	is.Equal(p.Spent(9*time.Second), time.Duration(0))
	is.Equal(p.Spent(11*time.Second), time.Duration(0)) // longer than any
	is.Equal(p.Spent(time.Hour), time.Duration(0))
	is.Equal(p.Spent(-time.Second), time.Duration(0))
	spent := p.Spent(7 * time.Second)
	is.True(spent > 800*time.Millisecond && spent <= 1500*time.Millisecond) // lower bound of its age
	for n := range 8 {                                                      // the callers' software changes
		for range 50 {
			p.ObserveFirst(time.Duration(n+1)*patienceHalfLife, 5*time.Second)
		}
	}
	is.Equal(p.Spent(7*time.Second), time.Duration(0))
	is.True(p.Spent(4*time.Second) > 700*time.Millisecond)
}

// longestWait is an alternative estimate that Patience is compared with: a request is taken for a retry if its
// remaining wait is shorter than the longest one seen by more than the allowed part.
type longestWait struct {
	longest time.Duration
	allowed float64
}

func (l *longestWait) spent(left time.Duration) time.Duration {
	l.longest = max(l.longest, left)
	if float64(left) >= (1-l.allowed)*float64(l.longest) {
		return 0
	}
	return l.longest - left
}

// waitDistribution draws a caller's total wait at a given second of the run.
type waitDistribution func(rng *rand.Rand, second int) time.Duration

// uniform draws waits that are shorter than 10 s by up to the given part.
func uniform(part float64) waitDistribution {
	return func(rng *rand.Rand, _ int) time.Duration {
		return time.Duration((1 - part*rng.Float64()) * float64(10*time.Second))
	}
}

// twoGroups draws half of the waits around 5 s and the other half around 10 s.
func twoGroups(rng *rand.Rand, _ int) time.Duration {
	wait := uniform(0.1)(rng, 0)
	if rng.IntN(2) == 0 {
		wait /= 2
	}
	return wait
}

// changing draws waits around 10 s, and around 7 s in the second half of the run.
func changing(rng *rand.Rand, second int) time.Duration {
	wait := uniform(0.1)(rng, second)
	if second >= 15 {
		wait = wait * 7 / 10
	}
	return wait
}

// TestPatienceOfMixedCallers runs one gateway for 30 s. It receives 30 requests a second from accounts
// within their shares, one in twenty of them a retry, and 30 or 300 from a flooding account, of which
// most are retried once. It compares estimates by how many first requests and how many retries of the
// flooding account they count as late.
func TestPatienceOfMixedCallers(t *testing.T) {
	const objective = 250 * time.Millisecond
	for _, tt := range []struct {
		name         string
		callers      waitDistribution
		flood        int
		mostFirst    float64 // maximum fraction of first requests counted as late
		fewestReturn float64 // minimum fraction of retries counted as late
	}{
		{"a sixth", uniform(0.15), 30, 0.01, 0.95},
		{"a sixth, nearly all come back", uniform(0.15), 300, 0.01, 0.95},
		{"a half", uniform(0.5), 30, 0.01, 0.1},
		{"two groups", twoGroups, 30, 0.01, 0.4},
		{"all alike", uniform(0.001), 30, 0.01, 0.9},
		{"software changes", changing, 30, 0.05, 0.3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var p Patience
			longest, sixth := longestWait{}, longestWait{allowed: 1.0 / 6}
			var firsts, returns float64
			var late [3][2]float64 // by estimate, for first requests and for retries
			observe := func(now, left time.Duration, kind int) {
				for estimate, spent := range []time.Duration{longest.spent(left), sixth.spent(left), p.Spent(left)} {
					if spent >= objective {
						late[estimate][kind]++
					}
				}
			}
			for second := range 30 {
				now := time.Duration(second) * time.Second
				for range 30 {
					wait := tt.callers(rng, second)
					if rng.IntN(20) == 0 { // some of them are retries
						wait -= UncoveredRequest{Left: wait}.After(rng.Float64())
					}
					p.ObserveFirst(now, wait)
					longest.spent(wait)
					sixth.spent(wait)
				}
				for range tt.flood {
					wait := tt.callers(rng, second)
					firsts++
					observe(now, wait, 0)
					returns++
					observe(now, wait-UncoveredRequest{Left: wait}.After(rng.Float64()), 1)
				}
			}
			for estimate, name := range []string{"longest", "less a sixth", "first waits"} {
				t.Logf("%-12s first requests counted late %.2f, returns %.2f", name, late[estimate][0]/firsts, late[estimate][1]/returns)
			}
			is := is.New(t)
			is.True(late[2][0]/firsts <= tt.mostFirst)
			is.True(late[2][1]/returns >= tt.fewestReturn)
		})
	}
}

// TestPatienceWithFewSamples checks that few first requests are counted as late if the estimate is based on
// samples from only eight callers.
func TestPatienceWithFewSamples(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		name         string
		callers      waitDistribution
		fewestReturn float64
	}{{"a sixth", uniform(0.15), 0.7}, {"a half", uniform(0.5), 0}, {"two groups", twoGroups, 0.4}, {"all alike", uniform(0.001), 0.95}} {
		rng := rand.New(rand.NewPCG(9, 9))
		first, returned := 0, 0
		const draws, each = 400, 20
		for range draws {
			var p Patience
			for range 8 {
				p.ObserveFirst(0, tt.callers(rng, 0))
			}
			for range each {
				wait := tt.callers(rng, 0)
				if p.Spent(wait) >= 250*time.Millisecond {
					first++
				}
				if p.Spent(wait-UncoveredRequest{Left: wait}.After(rng.Float64())) >= 250*time.Millisecond {
					returned++
				}
			}
		}
		t.Logf("%-10s first requests counted late %.3f, returns %.2f", tt.name, float64(first)/draws/each, float64(returned)/draws/each)
		is.True(float64(first)/draws/each < 0.02)
		is.True(float64(returned)/draws/each >= tt.fewestReturn)
	}
}
