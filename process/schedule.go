// SPDX-License-Identifier: Apache-2.0

package process

import (
	"math"
	"runtime/metrics"
	"time"
)

// This file defines scheduling, which measures how long what is ready to run in this
// process waits for the processor.

// latencies is the runtime's histogram of the time that goroutines were ready before they
// ran.
const latencies = "/sched/latencies:seconds"

// scheduling is what the runtime had counted at the last look.
type scheduling struct {
	sample []metrics.Sample
	before []uint64
}

func newScheduling() *scheduling {
	s := &scheduling{sample: []metrics.Sample{{Name: latencies}}}
	s.Wait()
	return s
}

// Wait returns the mean time that goroutines were ready before they ran, of those that ran
// since the last call; 0 where none was counted. Only one goroutine may call it. It costs
// 0.35 us (BenchmarkWait, one run).
func (s *scheduling) Wait() time.Duration {
	metrics.Read(s.sample)
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // not this runtime's
	}
	h := s.sample[0].Value.Float64Histogram()
	if len(s.before) != len(h.Counts) {
		s.before = make([]uint64, len(h.Counts))
	}
	var n, sum float64
	for i, count := range h.Counts {
		if more := count - s.before[i]; more > 0 {
			n += float64(more)
			sum += float64(more) * middle(h.Buckets[i], h.Buckets[i+1])
		}
		s.before[i] = count
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n * float64(time.Second))
}

// middle is a time, in seconds, that stands for a bucket.
func middle(low, high float64) float64 {
	if math.IsInf(low, -1) || math.IsInf(high, 1) {
		return max(low, 0)
	}
	return (low + high) / 2
}
