// SPDX-License-Identifier: Apache-2.0

package router

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines the router's metrics. Labels come from the configuration
// or from fixed sets, never from what a caller sends.

type stats struct {
	set     *metrics.Set
	expired *metrics.Counter
	ejected *metrics.Counter
	retried *metrics.Counter
	refused *metrics.Counter // retries that the budget did not allow
	expiry  *metrics.Counter // leases that ran out
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:     set,
		expired: set.GetOrCreateCounter("badgerspoke_waited_too_long_total"),
		ejected: set.GetOrCreateCounter("badgerspoke_ejections_total"),
		retried: set.GetOrCreateCounter("badgerspoke_retries_total"),
		refused: set.GetOrCreateCounter("badgerspoke_retries_refused_total"),
		expiry:  set.GetOrCreateCounter("badgerspoke_lease_expired_total"),
	}
}

func (s *stats) failure(f Failure) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`badgerspoke_failures_total{code=%q,outcome=%q}`, f.Code, f.Outcome)).Inc()
}

func (s *stats) observe(name string, c *call, d time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf(`badgerspoke_%s_seconds{account=%q,class=%q}`, name, c.account.Name, c.class)).
		Update(d.Seconds())
}

func (s *stats) served(c *call, cost float64) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`badgerspoke_requests_total{account=%q,pool=%q,class=%q}`, c.account.Name, c.pool, c.class)).Inc()
	s.set.GetOrCreateFloatCounter(fmt.Sprintf(`badgerspoke_service_total{account=%q,pool=%q}`, c.account.Name, c.pool)).Add(cost)
}

func newBudget() place.Budget { return place.Budget{Part: retryPart, Burst: retryBurst} }
