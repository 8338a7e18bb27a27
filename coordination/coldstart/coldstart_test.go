// SPDX-License-Identifier: Apache-2.0

package coldstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250)
	}
	return out
}

func TestDivide(t *testing.T) {
	is := is.New(t)
	sum := func(shares []protocol.ColdShare) (n int) {
		for _, s := range shares {
			is.True(s.PerSecond >= 1)
			n += s.PerSecond
		}
		return n
	}
	is.Equal(len(Divide("a", names(62), 18)), MaxHolders)
	is.Equal(sum(Divide("a", names(62), 18)), 18)
	is.Equal(sum(Divide("a", names(3), 18)), 18)
	is.Equal(sum(Divide("a", names(1), 18.9)), 18)
	is.Equal(len(Divide("a", names(62), 2)), 2) // shares are whole requests
	is.Equal(len(Divide("a", names(62), 0.9)), 0)
	is.Equal(len(Divide("a", nil, 18)), 0)
	is.Equal(Divide("a", names(62), 18), Divide("a", names(62), 18))
	// The order differs between servers, so all gateways take part when a data hall returns.
	holders := map[string]bool{}
	for i := range 60 {
		for _, s := range Divide(fmt.Sprint("server-", i), names(62), 18) {
			holders[s.Gateway] = true
		}
	}
	is.True(len(holders) > 55)
}

func TestAllowance(t *testing.T) {
	is := is.New(t)
	shares := []protocol.ColdShare{{Gateway: "g", PerSecond: 2}}
	var a Allowance
	is.True(a.Admits(0, false)) // not cold
	a = a.WithCold(0, 3*time.Second, "s", "g", shares)
	is.True(!a.Admits(0, false)) // no lease
	is.True(a.Admits(0, true))
	a = a.WithBegun(0).WithBegun(900 * time.Millisecond)
	is.True(!a.Admits(time.Second, true))
	is.True(a.Admits(time.Second+1, true))
	is.True(!a.WithoutShare().Admits(2*time.Second, true))
	is.True(!a.Admits(3*time.Second-1, false))
	is.True(a.Admits(3*time.Second+WarmSpread, false)) // open to all gateways, since it is no longer cold

	other := Allowance{}.WithCold(0, 3*time.Second, "s", "another", shares)
	is.True(!other.Admits(0, true))
	is.True(other.Admits(3*time.Second+WarmSpread, false))
}

// TestWarmServerIsOpenedGradually checks that the gateways begin to use a server at evenly spread times once it is no
// longer cold.
func TestWarmServerIsOpenedGradually(t *testing.T) {
	is := is.New(t)
	for tenth := range 10 {
		open := 0
		for _, g := range names(300) {
			if (Allowance{}).WithCold(0, time.Second, "s", g, nil).Admits(time.Second+time.Duration(tenth+1)*WarmSpread/10, false) {
				open++
			}
		}
		is.True(open > 30*tenth-20 && open < 30*(tenth+2))
	}
}

// strategy is a way to divide a cold server's rate. It reports whether a gateway may begin a request now.
type strategy func(gateway int, now time.Duration) bool

// partsOfRequests gives each gateway an equal fraction of the rate, starting at a random time.
func partsOfRequests(gateways int, rate float64, rng *rand.Rand) strategy {
	spacing := time.Duration(float64(gateways) / rate * float64(time.Second))
	next := make([]time.Duration, gateways)
	for i := range next {
		next[i] = time.Duration(rng.Int64N(int64(spacing)))
	}
	return func(g int, now time.Duration) bool {
		if g >= gateways || now < next[g] {
			return false
		}
		next[g] = now + spacing
		return true
	}
}

// wholeShares divides the rate with Divide, and each gateway applies its Allowance.
func wholeShares(gateways int, rate float64) strategy {
	all := names(gateways)
	shares := Divide("server", all, rate)
	allowances := make([]Allowance, gateways)
	for i, g := range all {
		allowances[i] = Allowance{}.WithCold(0, 3*time.Second, "server", g, shares)
	}
	return func(g int, now time.Duration) bool {
		if !allowances[g].Admits(now, true) {
			return false
		}
		allowances[g] = allowances[g].WithBegun(now)
		return true
	}
}

// play lets the gateways from (inclusive) to (exclusive) send all requests they are allowed to, every 10 ms of a
// cold period of 3 s. It returns the number of requests and the maximum in one second.
func play(w strategy, from, to int) (sent, most int) {
	var times []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		for g := from; g < to; g++ {
			for w(g, now) {
				times = append(times, now)
			}
		}
	}
	first := 0
	for last := range times {
		for times[last]-times[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return len(times), most
}

// TestDivisionStrategies compares strategies for a rate of 18 a second: with constant demand on all gateways,
// and with all traffic on two of them.
func TestDivisionStrategies(t *testing.T) {
	is := is.New(t)
	const rate = 18.0
	for _, n := range []int{62, 300, 1600} {
		var partsSum, partsMost, twoSum int
		const rounds = 200
		for seed := range uint64(rounds) {
			sent, most := play(partsOfRequests(n, rate, rand.New(rand.NewPCG(seed, 1))), 0, n)
			partsSum, partsMost = partsSum+sent, max(partsMost, most)
			sent, _ = play(partsOfRequests(n, rate, rand.New(rand.NewPCG(seed, 1))), 0, 2)
			twoSum += sent
		}
		sent, most := play(wholeShares(n, rate), 0, n)
		t.Logf("%4d gateways: parts of requests %.1f, most in a second %d, two gateways %.1f; whole shares %d, most in a second %d",
			n, float64(partsSum)/rounds, partsMost, float64(twoSum)/rounds, sent, most)
		is.Equal(sent, 3*int(rate))
		is.Equal(most, int(rate))
		is.True(partsMost > int(rate))
	}
}
