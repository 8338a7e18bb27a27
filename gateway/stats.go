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
	metricSet          *metrics.Set
	connectionsUntaken *metrics.Counter // connections, estimated

	mu         sync.Mutex // a leaf; guards the caches
	counters   map[counterKey]*metrics.Counter
	histograms map[histogramKey]*metrics.Histogram
}

// counterKey is a counter's name and its one label, or its pool and version.
type counterKey struct{ name, label, value string }

// otherVersion is the label of all versions but a rollout's target: servers may announce any.
const otherVersion = "other"

// countVersion counts an attempt in a pool that has a rollout under way, by its version. The
// names of targets come from operators.
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

// histogramKey is a histogram's name and the values of its labels.
type histogramKey struct{ name, account, route string }

func newStats(set *metrics.Set) *stats {
	return &stats{
		metricSet: set, connectionsUntaken: set.GetOrCreateCounter("badgerspoke_gateway_connections_untaken_total"),
		counters: map[counterKey]*metrics.Counter{}, histograms: map[histogramKey]*metrics.Histogram{},
	}
}

// count adds one to a counter with one label.
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

// Histograms: the time to the first part of a stream, and to a whole answer.
const (
	firstSeconds  = "first_seconds"
	answerSeconds = "answer_seconds"
)

// observe adds a time to a histogram.
func (s *stats) observe(name, account, route string, took time.Duration) {
	key := histogramKey{name, account, route}
	s.mu.Lock()
	h := s.histograms[key]
	if h == nil {
		h = s.metricSet.GetOrCreateHistogram(fmt.Sprintf("badgerspoke_gateway_%s{tenant=%q,route=%q}", name, account, route))
		s.histograms[key] = h
	}
	s.mu.Unlock()
	h.Update(took.Seconds())
}
