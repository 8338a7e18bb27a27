// SPDX-License-Identifier: Apache-2.0

//go:build review

package fleet

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// This file defines Record: what was sent, answered and run.

// Record writes one line for each event. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates a record at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add writes an event of a party.
func (r *Record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// Print writes an event and shows it.
func (r *Record) Print(format string, args ...any) {
	r.Add("result", format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close flushes the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
