// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// This file defines stats, the counters and histograms of a gateway. Labels
// are names of the document only, never what callers send.

type stats struct {
	set *metrics.Set

	mu     sync.Mutex // a leaf; guards the caches
	first  map[[2]string]*metrics.Histogram
	whole  map[[2]string]*metrics.Histogram
	counts map[counterKey]*metrics.Counter
}

// counterKey is a counter's name and its one label.
type counterKey struct{ name, label, value string }

func newStats(set *metrics.Set) *stats {
	return &stats{
		set: set, first: map[[2]string]*metrics.Histogram{}, whole: map[[2]string]*metrics.Histogram{},
		counts: map[counterKey]*metrics.Counter{},
	}
}

// count adds one to a counter with one label.
func (s *stats) count(name, label, value string) {
	key := counterKey{name, label, value}
	s.mu.Lock()
	c := s.counts[key]
	if c == nil {
		c = s.set.GetOrCreateCounter(fmt.Sprintf("badgerspoke_gateway_%s_total{%s=%q}", name, label, value))
		s.counts[key] = c
	}
	s.mu.Unlock()
	c.Inc()
}

func (s *stats) firstPart(account, route string, took time.Duration) {
	s.observe(s.first, "first_seconds", account, route, took)
}

func (s *stats) wholeAnswer(account, route string, took time.Duration) {
	s.observe(s.whole, "answer_seconds", account, route, took)
}

func (s *stats) observe(cache map[[2]string]*metrics.Histogram, name, account, route string, took time.Duration) {
	key := [2]string{account, route}
	s.mu.Lock()
	h := cache[key]
	if h == nil {
		h = s.set.GetOrCreateHistogram(fmt.Sprintf("badgerspoke_gateway_%s{tenant=%q,route=%q}", name, account, route))
		cache[key] = h
	}
	s.mu.Unlock()
	h.Update(took.Seconds())
}
