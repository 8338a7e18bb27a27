// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests replicas whose boxes are suspended: nothing runs there for a while, and Go's clock
// does not count that time.

// suspended is how long a box is suspended.
const suspended = 5 * time.Second

// boxClock is the clock of a box that can be suspended.
type boxClock struct {
	mu        sync.Mutex
	began     time.Time
	asleep    time.Time     // zero: it runs
	left      time.Duration // of the time asleep that it does not count
	goesAlong bool          // it counts the time in which it is suspended
}

func (c *boxClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	if !c.asleep.IsZero() {
		at = c.asleep
	}
	return at.Sub(c.began) - c.left
}

// sleep lets nothing happen on the box, as far as it can see: its clock stands still.
func (c *boxClock) sleep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asleep = time.Now()
}

func (c *boxClock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.goesAlong {
		c.left += time.Since(c.asleep)
	}
	c.asleep = time.Time{}
}

// TestSuspendedLeader: a leader that was suspended past its lease answers no read with a document
// that others have replaced. With a clock that stands still meanwhile it does.
func TestSuspendedLeader(t *testing.T) {
	for _, goesAlong := range []bool{true, false} {
		t.Run(fmt.Sprint("the clock goes along: ", goesAlong), func(t *testing.T) {
			clocks := map[string]*boxClock{}
			withPreparedFleet(t, 3, voters, func(x *fleet) {
				x.clocks = map[string]func() time.Duration{}
				for i := range 3 {
					ip := fmt.Sprintf("10.0.1.%d", i+1)
					clocks[ip] = &boxClock{began: time.Now(), goesAlong: goesAlong}
					x.clocks[ip] = clocks[ip].now
				}
			}, func(x *fleet) {
				is := is.New(t)
				x.putDocument(1)
				old := x.awaitLeader()
				clocks[old.ip].sleep()
				x.net.Cut(old.ip)
				began := time.Now()
				for number := uint64(0); number < 2 && time.Since(began) < suspended; time.Sleep(50 * time.Millisecond) {
					for ip, n := range x.nodes {
						if ip != old.ip && n.d.Leads() {
							is.NoErr(n.d.Put(x.t.Context(), testDocument(2)))
							number = 2
						}
					}
				}
				time.Sleep(suspended - time.Since(began))
				clocks[old.ip].wake()
				x.net.Join(old.ip)
				read, err := old.d.Read(x.t.Context())
				stale := err == nil && read.Document.Number < 2
				t.Logf("read %d, %v", read.Document.Number, err)
				is.Equal(stale, !goesAlong)
			})
		})
	}
}
