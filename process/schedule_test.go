// SPDX-License-Identifier: Apache-2.0

package process

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSchedulingDelay checks that goroutines that wait for one busy processor raise the measured
// delay, and that the delay of an idle process is low.
func TestSchedulingDelay(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newSchedulingDelay()
	done := make(chan struct{})
	for range 200 {
		go func() {
			for began := time.Now(); time.Since(began) < time.Millisecond; {
			}
			done <- struct{}{}
		}()
	}
	for range 200 {
		<-done
	}
	is.True(s.Mean() > 10*time.Millisecond)
	quiet := false
	for range 20 { // the machine may be briefly busy with other work
		time.Sleep(50 * time.Millisecond)
		quiet = quiet || s.Mean() < 5*time.Millisecond
	}
	is.True(quiet)
}

func BenchmarkSchedulingDelay(b *testing.B) {
	s := newSchedulingDelay()
	for b.Loop() {
		s.Mean()
	}
}
