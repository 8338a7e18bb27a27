// SPDX-License-Identifier: Apache-2.0

// Package decision writes the decision log: one JSON line for each decision about a request and each
// change of state of the process. [Explain] collects the lines about one request from the logs of
// many processes.
//
// Lines pass through a bounded queue that one goroutine writes out, so that a slow reader of the log
// never delays a request. Each line has a class. Routine outcomes ([Log.Routine]) get a small part of
// the line budget per second, failures and refusals ([Log.Failure]) a large one. Changes of state
// ([Log.StateChange]) are rare and dropped only if the queue is full. Dropped lines are counted, and
// their number is logged once a second.
//
// The package owns the queue and the counts; lines go to an [io.Writer], usually standard output.
// There is no lock: counts are atomic, and a line at the boundary of two seconds may count toward
// either.
package decision

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Budget limits the lines per second in each class.
type Budget struct {
	Routine int
	Failure int
}

// DefaultBudget suits a box with a small part of a core: at most about 30 KB per second.
var DefaultBudget = Budget{Routine: 20, Failure: 80}

// Limits on memory and writes.
const (
	queueDepth = 1024        // lines; ten seconds of the default budget
	maxLine    = 4096        // bytes; longer lines are dropped
	maxWrite   = 4 * maxLine // approximate bytes per write
)

// Log is a decision log with bounded memory and output. It is safe for concurrent use.
type Log struct {
	slog    *slog.Logger
	budget  Budget
	queue   chan []byte
	dropped *metrics.Counter
	lines   *metrics.Counter

	// State of the current second.
	second          atomic.Int64 // Unix time
	routines        atomic.Int64 // lines, including dropped ones
	failures        atomic.Int64
	droppedInSecond atomic.Int64 // lines dropped in any class

	closing sync.Once
	closed  chan struct{} // closed by Close
	written chan struct{} // closed when the queue is empty and the writer goroutine has ended
}

// New returns a log that writes to w until Close.
func New(w io.Writer, level slog.Level, budget Budget, set *metrics.Set) *Log {
	l := &Log{
		budget: budget, queue: make(chan []byte, queueDepth), closed: make(chan struct{}), written: make(chan struct{}),
		dropped: set.GetOrCreateCounter("badgerspoke_log_lines_dropped_total"),
		lines:   set.GetOrCreateCounter("badgerspoke_log_lines_total"),
	}
	l.slog = slog.New(slog.NewJSONHandler((*queueWriter)(l), &slog.HandlerOptions{Level: level}))
	go l.write(w)
	return l
}

// StateChange logs a change of the process's state, such as its start or stop, a dependency lost or
// regained, or a new document, leader or backend server.
func (l *Log) StateChange(event string, attrs ...slog.Attr) {
	l.slog.LogAttrs(context.Background(), slog.LevelInfo, event, attrs...)
}

// Failure logs a decision by which a request was refused, failed or retried.
func (l *Log) Failure(event string, attrs ...slog.Attr) {
	l.FailureFunc(event, func() []slog.Attr { return attrs })
}

// FailureFunc is like Failure, but calls attrs only if the line is written. Most lines are dropped
// under a flood of refusals.
func (l *Log) FailureFunc(event string, attrs func() []slog.Attr) {
	if l.allow(&l.failures, l.budget.Failure) {
		l.slog.LogAttrs(context.Background(), slog.LevelWarn, event, attrs()...)
	}
}

// Routine logs a decision of a successful request.
func (l *Log) Routine(event string, attrs ...slog.Attr) {
	l.RoutineFunc(event, func() []slog.Attr { return attrs })
}

// RoutineFunc is like Routine, but calls attrs only if the line is written.
func (l *Log) RoutineFunc(event string, attrs func() []slog.Attr) {
	if l.allow(&l.routines, l.budget.Routine) {
		l.slog.LogAttrs(context.Background(), slog.LevelInfo, event, attrs()...)
	}
}

// Slog returns the log as a slog.Logger. Its lines are treated as changes of state.
func (l *Log) Slog() *slog.Logger { return l.slog }

// Close writes out the queue and ends the log. It waits for the writer.
func (l *Log) Close() {
	l.closing.Do(func() { close(l.closed) })
	<-l.written
}

// allow reports whether the current second's budget has room for another line, and counts the line.
func (l *Log) allow(count *atomic.Int64, budget int) bool {
	l.startSecond()
	if count.Add(1) > int64(budget) {
		l.countDropped()
		return false
	}
	return true
}

// startSecond resets the budget if a new second has begun.
func (l *Log) startSecond() {
	now := time.Now().Unix()
	before := l.second.Load()
	if before == now || !l.second.CompareAndSwap(before, now) {
		return
	}
	l.routines.Store(0)
	l.failures.Store(0)
	if missed := l.droppedInSecond.Swap(0); missed > 0 {
		l.slog.Warn("log lines dropped", "lines", missed)
	}
}

func (l *Log) countDropped() {
	l.droppedInSecond.Add(1)
	l.dropped.Inc()
}

// queueWriter receives complete lines from the JSON handler and queues them.
type queueWriter Log

// Write implements [io.Writer].
func (q *queueWriter) Write(line []byte) (int, error) {
	l := (*Log)(q)
	if len(line) > maxLine {
		l.countDropped()
		return len(line), nil
	}
	select {
	case l.queue <- bytes.Clone(line):
		l.lines.Inc()
	default:
		l.countDropped()
	}
	return len(line), nil
}

// write writes out queued lines, several per call if available. Write errors are ignored: there is
// nowhere else to log them, and the process continues without its log.
func (l *Log) write(w io.Writer) {
	defer close(l.written)
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(l.appendQueued(line)) // see above
		case <-l.closed:
			for len(l.queue) > 0 {
				_, _ = w.Write(l.appendQueued(<-l.queue)) // see above
			}
			return
		}
	}
}

// appendQueued appends lines that are already in the queue.
func (l *Log) appendQueued(lines []byte) []byte {
	for len(lines) < maxWrite {
		select {
		case next := <-l.queue:
			lines = append(lines, next...)
		default:
			return lines
		}
	}
	return lines
}
