// SPDX-License-Identifier: Apache-2.0

package decision

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// sink collects the written lines.
type sink struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *sink) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.b.String()), "\n")
}

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestLinesAreJSON(t *testing.T) {
	is := is.New(t)
	var s sink
	l := New(&s, slog.LevelInfo, DefaultBudget, metrics.NewSet())
	l.StateChange("started", slog.String("node", "n"))
	l.Routine("answered", slog.String("request", "r1"), slog.Int("sends", 2))
	l.Close()
	is.Equal(len(s.lines()), 2)
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(s.lines()[1]), &line))
	is.Equal(line["msg"], "answered")
	is.Equal(line["request"], "r1")
}

// TestBudget floods the log for three seconds. Routine lines must be dropped first and changes of
// state never, and dropped lines must be logged and counted.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s sink
		set := metrics.NewSet()
		l := New(&s, slog.LevelInfo, Budget{Routine: 5, Failure: 20}, set)
		for range 3 {
			for range 100 {
				l.Routine("answered")
				l.Failure("refused")
			}
			l.StateChange("leading")
			time.Sleep(time.Second)
		}
		l.Failure("refused") // begins a new second
		l.Close()
		counts := map[string]int{}
		for _, line := range s.lines() {
			var v map[string]any
			is.NoErr(json.Unmarshal([]byte(line), &v))
			counts[v["msg"].(string)]++
		}
		is.Equal(counts["answered"], 15)
		is.Equal(counts["refused"], 61)
		is.Equal(counts["leading"], 3)
		is.Equal(counts["log lines dropped"], 3)
		is.Equal(set.GetOrCreateCounter("badgerspoke_log_lines_dropped_total").Get(), uint64(3*(95+80)))
	})
}

// TestBlockedWriterDoesNotBlockLogging fills the queue several times over while the writer is
// blocked. Logging must not block.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := blockedWriter{release: make(chan struct{})}
		set := metrics.NewSet()
		l := New(w, slog.LevelInfo, DefaultBudget, set)
		before := time.Now()
		for range 3 * queueDepth {
			l.StateChange("leading")
		}
		is.Equal(time.Since(before), time.Duration(0)) // no call blocked
		is.True(set.GetOrCreateCounter("badgerspoke_log_lines_dropped_total").Get() > queueDepth)
		close(w.release)
		l.Close()
	})
}

func TestTooLongLineIsDropped(t *testing.T) {
	is := is.New(t)
	var s sink
	set := metrics.NewSet()
	l := New(&s, slog.LevelInfo, DefaultBudget, set)
	l.StateChange("long", slog.String("what", strings.Repeat("x", maxLine)))
	l.StateChange("short")
	l.Close()
	is.Equal(len(s.lines()), 1)
	is.Equal(set.GetOrCreateCounter("badgerspoke_log_lines_dropped_total").Get(), uint64(1))
}

// TestAttrsOfDroppedLinesAreNotComputed checks that attributes of dropped lines are not computed.
func TestAttrsOfDroppedLinesAreNotComputed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(io.Discard, slog.LevelInfo, Budget{Routine: 2, Failure: 3}, metrics.NewSet())
		defer l.Close()
		calls := 0
		attrs := func() []slog.Attr { calls++; return nil }
		for range 10 {
			l.RoutineFunc("answered", attrs)
		}
		is.Equal(calls, 2)
		for range 10 {
			l.FailureFunc("refused", attrs)
		}
		is.Equal(calls, 5)
	})
}
