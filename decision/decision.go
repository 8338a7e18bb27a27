// SPDX-License-Identifier: Apache-2.0

// Package decision writes the log that explains what a process decided: one
// JSON line for each decision about a request and each change of state. [Explain]
// finds one request's life in the logs of many processes.
//
// The model: lines go to a bounded queue that one goroutine writes out, so a
// slow reader of the log never delays a request. Lines have a class. Routine
// outcomes ([Log.Routine]) get a small part of the line budget of a second,
// failures and refusals ([Log.Failure]) a large one; changes of state
// ([Log.StateChange]), of which there are few, are dropped only when the queue
// is full. Dropped lines are counted, and their number is logged once a second.
//
// It owns the queue and the counts; it relies on a writer, usually standard
// output. It has no lock: counts are atomic, and a line at the border of two
// seconds may be counted in either.
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

// Budget bounds the lines of one second by class.
type Budget struct {
	Routine int
	Failure int
}

// DefaultBudget is for a box with a small part of a core: at most about 30 KB a second.
var DefaultBudget = Budget{Routine: 20, Failure: 80}

// Bounds of the memory and of the writes.
const (
	queueDepth = 1024        // lines: ten seconds of the default budget
	maxLine    = 4096        // bytes; a longer line is dropped
	maxWrite   = 4 * maxLine // bytes, about, written with one call
)

// Log is a bounded log. It is safe for concurrent use.
type Log struct {
	slog    *slog.Logger
	budget  Budget
	queue   chan []byte
	dropped *metrics.Counter
	lines   *metrics.Counter

	// Of the present second.
	second          atomic.Int64 // Unix time
	routines        atomic.Int64 // lines, dropped ones included
	failures        atomic.Int64
	droppedInSecond atomic.Int64 // lines dropped, whatever their class

	closing sync.Once
	closed  chan struct{} // by Close
	written chan struct{} // closed when the queue is empty and the writer has ended
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

// StateChange logs a change of the process's state: its start, its stop, a
// dependency lost or regained, another document, leader or backend server.
func (l *Log) StateChange(event string, attrs ...slog.Attr) {
	l.slog.LogAttrs(context.Background(), slog.LevelInfo, event, attrs...)
}

// Failure logs a decision after which a request was refused, failed or sent
// again.
func (l *Log) Failure(event string, attrs ...slog.Attr) {
	l.FailureFunc(event, func() []slog.Attr { return attrs })
}

// FailureFunc is Failure with attributes that are made only if the line is
// written: under a flood of refusals most lines are not.
func (l *Log) FailureFunc(event string, attrs func() []slog.Attr) {
	if l.allow(&l.failures, l.budget.Failure) {
		l.slog.LogAttrs(context.Background(), slog.LevelWarn, event, attrs()...)
	}
}

// Routine logs a decision of a request that went well.
func (l *Log) Routine(event string, attrs ...slog.Attr) {
	l.RoutineFunc(event, func() []slog.Attr { return attrs })
}

// RoutineFunc is Routine with attributes that are made only if the line is
// written.
func (l *Log) RoutineFunc(event string, attrs func() []slog.Attr) {
	if l.allow(&l.routines, l.budget.Routine) {
		l.slog.LogAttrs(context.Background(), slog.LevelInfo, event, attrs()...)
	}
}

// Slog returns the log for packages that take a slog.Logger. Its lines count as
// changes of state.
func (l *Log) Slog() *slog.Logger { return l.slog }

// Close writes out what is queued and ends the log. It waits for the writer.
func (l *Log) Close() {
	l.closing.Do(func() { close(l.closed) })
	<-l.written
}

// allow reports whether the second's budget has room for one more line, and
// counts it.
func (l *Log) allow(count *atomic.Int64, budget int) bool {
	l.startSecond()
	if count.Add(1) > int64(budget) {
		l.countDropped()
		return false
	}
	return true
}

// startSecond begins a new second's budget.
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

// queueWriter takes whole lines from the JSON handler.
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

// write writes queued lines, several with one call when they are there. Errors
// are dropped: there is nowhere else to log, and a process serves without its log.
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

// appendQueued appends lines that are queued already.
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
