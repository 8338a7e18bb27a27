// SPDX-License-Identifier: Apache-2.0

package streamversion

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecords measures the time to record a stream, and the memory of each record of a full table.
func BenchmarkRecords(b *testing.B) {
	const max = 1 << 19
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := Records{Max: max}
	n := 0
	for b.Loop() {
		n++
		r.Add(0, time.Minute, Record{v1, ID(n) * 0x9e3779b97f4a7c15})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := len(r.newer) + len(r.older); held > 0 {
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "B/record")
		b.ReportMetric(float64(held), "records")
	}
	runtime.KeepAlive(&r)
}
