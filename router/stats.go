// SPDX-License-Identifier: Apache-2.0

package router

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// This file defines the router's metrics. Labels come from the configuration or from fixed sets,
// never from what a caller sends.

// stats holds the metrics of one router.
type stats struct {
	set           *metrics.Set
	seriesByKey   sync.Map // seriesKey → *series
	waitedTooLong *metrics.Counter
	ejected       *metrics.Counter
	backoffs      *metrics.Counter
	retried       *metrics.Counter
	resumed       *metrics.Counter // resumptions of broken answers
	budgetEmpty   *metrics.Counter // retries that the retry budget did not allow
	leaseExpired  *metrics.Counter
	secondHeads   *metrics.Counter // heads that were refused because the response had begun; a fault of this program
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:           set,
		waitedTooLong: set.GetOrCreateCounter("badgerspoke_waited_too_long_total"),
		ejected:       set.GetOrCreateCounter("badgerspoke_ejections_total"),
		backoffs:      set.GetOrCreateCounter("badgerspoke_backoffs_total"),
		retried:       set.GetOrCreateCounter("badgerspoke_retries_total"),
		resumed:       set.GetOrCreateCounter("badgerspoke_resumed_total"),
		budgetEmpty:   set.GetOrCreateCounter("badgerspoke_retries_refused_total"),
		leaseExpired:  set.GetOrCreateCounter("badgerspoke_lease_expired_total"),
		secondHeads:   set.GetOrCreateCounter("badgerspoke_second_heads_total"),
	}
}

// countFailure counts a failure by code and outcome.
func (s *stats) countFailure(f *Failure) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`badgerspoke_failures_total{code=%q,outcome=%q}`, f.Code, f.Outcome)).Inc()
}

// seriesKey identifies the series of one account, class and pool. All three come from the
// configuration, so their number is bounded.
type seriesKey struct{ account, class, pool string }

// series holds the metrics that every request updates.
type series struct {
	wait     *metrics.Histogram // time in the queue
	first    *metrics.Histogram // time to the first byte of the answer
	total    *metrics.Histogram // time to the end
	requests *metrics.Counter
	service  *metrics.FloatCounter
}

// seriesOf returns the series of a call. They are looked up by name once and cached, because
// formatting the names for each request was more than a tenth of its allocations.
func (s *stats) seriesOf(c *call) *series {
	k := seriesKey{c.account.Name, c.class, c.pool}
	if got, ok := s.seriesByKey.Load(k); ok {
		return got.(*series)
	}
	labels := fmt.Sprintf(`account=%q,class=%q,pool=%q`, k.account, k.class, k.pool)
	got, _ := s.seriesByKey.LoadOrStore(k, &series{
		wait:     s.set.GetOrCreateHistogram("badgerspoke_wait_seconds{" + labels + "}"),
		first:    s.set.GetOrCreateHistogram("badgerspoke_first_seconds{" + labels + "}"),
		total:    s.set.GetOrCreateHistogram("badgerspoke_whole_seconds{" + labels + "}"),
		requests: s.set.GetOrCreateCounter("badgerspoke_requests_total{" + labels + "}"),
		service:  s.set.GetOrCreateFloatCounter("badgerspoke_service_total{" + labels + "}"),
	})
	return got.(*series)
}
