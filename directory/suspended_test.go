// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests replicas on boxes that are suspended: nothing runs meanwhile, and Go's monotonic
// clock does not count the time.

// suspendTime is how long a box is suspended.
const suspendTime = 5 * time.Second

// boxClock is the clock of a box that can be suspended.
type boxClock struct {
	mu               sync.Mutex
	began            time.Time
	suspendedAt      time.Time     // zero while the box runs
	uncounted        time.Duration // suspended time that the clock does not count
	countsSuspension bool          // whether the clock counts suspended time
}

func (c *boxClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	if !c.suspendedAt.IsZero() {
		at = c.suspendedAt
	}
	return at.Sub(c.began) - c.uncounted
}

// suspend stops the clock, as observed on the box.
func (c *boxClock) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedAt = time.Now()
}

func (c *boxClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.countsSuspension {
		c.uncounted += time.Since(c.suspendedAt)
	}
	c.suspendedAt = time.Time{}
}

// TestSuspendedLeaderServesNoStaleReads: a leader that was suspended past its lease must not serve a
// read with a document that others have replaced. With a clock that stops during the suspension it does
// serve it.
func TestSuspendedLeaderServesNoStaleReads(t *testing.T) {
	for _, countsSuspension := range []bool{true, false} {
		t.Run(fmt.Sprint("clock counts suspension: ", countsSuspension), func(t *testing.T) {
			clocks := map[string]*boxClock{}
			withPreparedFleet(t, 3, voters, func(x *fleet) {
				x.clocks = map[string]func() time.Duration{}
				for i := range 3 {
					ip := fmt.Sprintf("10.0.1.%d", i+1)
					clocks[ip] = &boxClock{began: time.Now(), countsSuspension: countsSuspension}
					x.clocks[ip] = clocks[ip].now
				}
			}, func(x *fleet) {
				is := is.New(t)
				x.putDocument(1)
				old := x.awaitLeader()
				clocks[old.ip].suspend()
				x.net.Cut(old.ip)
				began := time.Now()
				for number := uint64(0); number < 2 && time.Since(began) < suspendTime; time.Sleep(50 * time.Millisecond) {
					for ip, n := range x.nodes {
						if ip != old.ip && n.d.Leads() {
							is.NoErr(n.d.Put(x.t.Context(), testDocument(2)))
							number = 2
						}
					}
				}
				time.Sleep(suspendTime - time.Since(began))
				clocks[old.ip].resume()
				x.net.Restore(old.ip)
				read, err := old.d.Read(x.t.Context())
				stale := err == nil && read.Document.Number < 2
				t.Logf("read %d, %v", read.Document.Number, err)
				is.Equal(stale, !countsSuspension)
			})
		})
	}
}
