// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"runtime/metrics"
	"slices"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines tokenCounters, which counts what became of each account's tokens at this
// gateway: demanded, begun, or refused for a cause, each by class. Log lines of single requests are
// dropped first during a flood; these totals are complete.

// Values of the label "end" for requests that are not refused. For a refused request it is the
// [Cause].
const (
	tokensDemanded = "demanded" // every request to an engine, on arrival
	tokensBegun    = "begun"    // requests that were assigned a backend server
)

// tokenKey identifies one counter.
type tokenKey struct {
	account string
	class   entitlement.Class
	end     string
}

// tokenCounters counts tokens by account, class and end. Its methods may be called concurrently.
type tokenCounters struct {
	set *vm.Set

	mu          sync.Mutex // leaf lock; guards the fields below
	counters    map[tokenKey]*vm.Counter
	sinceLogged map[tokenKey]int // since the last log line
}

func newTokenCounters(set *vm.Set) *tokenCounters {
	return &tokenCounters{set: set, counters: map[tokenKey]*vm.Counter{}, sinceLogged: map[tokenKey]int{}}
}

// add counts the tokens of one request.
func (t *tokenCounters) add(account string, class entitlement.Class, end string, n float64) {
	key := tokenKey{account, class, end}
	t.mu.Lock()
	c := t.counters[key]
	if c == nil {
		c = t.set.GetOrCreateCounter(fmt.Sprintf("badgerspoke_gateway_tokens_total{tenant=%q,standing=%q,end=%q}",
			account, class, end))
		t.counters[key] = c
	}
	t.sinceLogged[key] += int(n)
	t.mu.Unlock()
	c.Add(int(n))
}

// takeSums returns the totals since the last call and resets them.
func (t *tokenCounters) takeSums() map[tokenKey]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := t.sinceLogged
	t.sinceLogged = make(map[tokenKey]int, len(sums))
	return sums
}

// accountTokens holds the totals of one account over one log period.
type accountTokens struct {
	account         string
	demanded, begun int
	withinShare     int            // refused although covered or entitled
	refused         map[string]int // by cause
}

// byAccount adds up the totals per account. Accounts with the most tokens refused within their
// share come first, then those with the largest demand.
func byAccount(sums map[tokenKey]int) []accountTokens {
	accounts := map[string]*accountTokens{}
	for key, n := range sums {
		a := accounts[key.account]
		if a == nil {
			a = &accountTokens{account: key.account, refused: map[string]int{}}
			accounts[key.account] = a
		}
		switch key.end {
		case tokensDemanded:
			a.demanded += n
		case tokensBegun:
			a.begun += n
		default:
			a.refused[key.end] += n
			if key.class <= entitlement.Entitled {
				a.withinShare += n
			}
		}
	}
	sorted := make([]accountTokens, 0, len(accounts))
	for _, a := range accounts {
		sorted = append(sorted, *a)
	}
	slices.SortFunc(sorted, func(a, b accountTokens) int {
		return cmp.Or(cmp.Compare(b.withinShare, a.withinShare), cmp.Compare(b.demanded, a.demanded), cmp.Compare(a.account, b.account))
	})
	return sorted
}

// Limits on logging.
const (
	tokensPeriod   = time.Second
	loggedAccounts = 2 // per period; a flood at one gateway comes from one or two accounts
)

// logTokens logs once a second the accounts with refused tokens, followed by the resource usage of
// the process. It logs nothing if no account was refused.
func (g *Gateway) logTokens() {
	for range sleep.Every(g.ctx, tokensPeriod) {
		logged := 0
		for _, a := range byAccount(g.tokenCounters.takeSums()) {
			if len(a.refused) == 0 || logged == loggedAccounts {
				continue
			}
			logged++
			g.logAccount(a)
		}
		if logged > 0 {
			g.logProcess()
		}
	}
}

func (g *Gateway) logAccount(a accountTokens) {
	e, age := g.accounts.entitlement(a.account)
	attrs := []slog.Attr{
		slog.String("tenant", a.account), slog.Int("demanded", a.demanded), slog.Int("begun", a.begun),
		slog.Int("missed", a.withinShare), slog.Float64("part", float64(e.Part)),
		slog.Float64("extra_part", float64(e.Extra)), milliseconds("told_ms_ago", age),
	}
	for _, cause := range slices.Sorted(maps.Keys(a.refused)) {
		attrs = append(attrs, slog.Int("refused_"+cause, a.refused[cause]))
	}
	g.cfg.Log.StateChange("tokens refused", attrs...)
}

// Runtime metrics, in the order in which logProcess reads them.
const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	goroutines     = "/sched/goroutines:goroutines"
	collections    = "/gc/cycles/total:gc-cycles"
)

// logProcess logs the resource usage of this process.
func (g *Gateway) logProcess() {
	samples := []metrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: goroutines}, {Name: collections}}
	metrics.Read(samples)
	value := func(i int) uint64 { return samples[i].Value.Uint64() }
	g.cfg.Log.StateChange("process load", milliseconds("delay_ms", g.overload.Load().Delay),
		slog.Int64("requests", g.admission.count()), slog.Int64("bodies_bytes", g.bodies.inUse()),
		slog.Uint64("memory_bytes", value(0)-value(1)), slog.Uint64("goroutines", value(2)), slog.Uint64("collections", value(3)))
}
