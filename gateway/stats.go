// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// This file defines stats, the counters and histograms of a gateway. Labels are names from the
// document only, never values that callers send.

type stats struct {
	metricSet             *metrics.Set
	connectionsUnaccepted *metrics.Counter // estimate of connections that were not accepted
	secondHeads           *metrics.Counter // heads that were refused because the response had begun; a fault of this program

	mu         sync.Mutex // leaf lock; guards the caches below
	counters   map[counterKey]*metrics.Counter
	histograms map[histogramKey]*metrics.Histogram
}

// counterKey identifies a counter: its name and one label with its value, or version_requests with
// pool and version.
type counterKey struct{ name, label, value string }

// otherVersion is the label of all versions but a rollout's target. Servers may announce any
// version, which would make the label's values unbounded.
const otherVersion = "other"

// countVersion counts an attempt by version, in a pool that has a rollout under way. The target's
// name comes from an operator and is a label value; all other versions share one.
func (s *stats) countVersion(pool string, t *versionAttempt) {
	if t.tally == nil {
		return
	}
	version := otherVersion
	if t.isTarget {
		version = t.version
	}
	key := counterKey{"version_requests", pool, version}
	s.mu.Lock()
	c := s.counters[key]
	if c == nil {
		c = s.metricSet.GetOrCreateCounter(fmt.Sprintf("badgerspoke_gateway_version_requests_total{pool=%q,version=%q}", pool, version))
		s.counters[key] = c
	}
	s.mu.Unlock()
	c.Inc()
}

// histogramKey identifies a histogram by its name and label values.
type histogramKey struct{ name, account, route string }

func newStats(set *metrics.Set) *stats {
	return &stats{
		metricSet: set, connectionsUnaccepted: set.GetOrCreateCounter("badgerspoke_gateway_connections_untaken_total"),
		secondHeads: set.GetOrCreateCounter("badgerspoke_gateway_second_heads_total"),
		counters:    map[counterKey]*metrics.Counter{}, histograms: map[histogramKey]*metrics.Histogram{},
	}
}

// count increments a counter with one label.
func (s *stats) count(name, label, value string) {
	key := counterKey{name, label, value}
	s.mu.Lock()
	c := s.counters[key]
	if c == nil {
		c = s.metricSet.GetOrCreateCounter(fmt.Sprintf("badgerspoke_gateway_%s_total{%s=%q}", name, label, value))
		s.counters[key] = c
	}
	s.mu.Unlock()
	c.Inc()
}

// Names of histograms: the time to the first part of a stream, and to a whole answer.
const (
	firstSeconds  = "first_seconds"
	answerSeconds = "answer_seconds"
)

// observe adds a duration to a histogram.
func (s *stats) observe(name, account, route string, d time.Duration) {
	key := histogramKey{name, account, route}
	s.mu.Lock()
	h := s.histograms[key]
	if h == nil {
		h = s.metricSet.GetOrCreateHistogram(fmt.Sprintf("badgerspoke_gateway_%s{tenant=%q,route=%q}", name, account, route))
		s.histograms[key] = h
	}
	s.mu.Unlock()
	h.Update(d.Seconds())
}
