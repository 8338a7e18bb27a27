// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file injects random faults, which may overlap and recur, into complete
// fleets under load, and checks the invariants of the service.

const (
	chaosDuration    = 60 * time.Second
	maxFaultInterval = 1500 * time.Millisecond
)

// TestChaos runs a fleet with random faults for each seed.
func TestChaos(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { chaos(t, seed) })
		})
	}
}

// chaos runs one fleet with random faults for chaosDuration, and checks that it recovers.
func chaos(t *testing.T, seed uint64) {
	is := is.New(t)
	f := standardFleet(t, 3)
	c := &workload{f: f, keys: map[string]bool{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for caller := range 6 {
		running.Go(func() { c.run(caller, stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	for began := time.Now(); time.Since(began) < chaosDuration; {
		f.randomFault(rng)
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultInterval))))
	}
	f.repairAll()
	close(stop)
	running.Wait()
	f.settle()
	is.True(c.complete > 0) // the number depends on how long there was no majority
	for key := range c.keys {
		is.True(f.services["s1"].Runs(key) <= 1) // at most once
	}
	for _, router := range []string{"r1", "r2", "r3"} { // everything works again
		is.Equal(f.do(completion(router, "hotel", 2, true)).status, 200)
		is.Equal(f.do(order(router, "hotel", "after "+router, "after "+router)).status, 200)
	}
	f.createAccount("after", 1) // and changes are accepted
}

// workload holds the callers of a fleet and the results of their requests.
type workload struct {
	f  *testFleet
	mu sync.Mutex

	complete int
	keys     map[string]bool // bodies of keyed orders
}

// run sends requests one by one until stop is closed: streams, and keyed
// orders, each of which is sent again to another router.
func (c *workload) run(caller int, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		router := fmt.Sprintf("r%d", (caller+i)%3+1)
		if i%3 == 0 {
			body := fmt.Sprintf("order %d-%d", caller, i)
			c.order(router, body)
			c.order(fmt.Sprintf("r%d", (caller+i+1)%3+1), body)
		} else {
			c.stream(router)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// callerTimeout is the time limit of a caller for a response.
const callerTimeout = 5 * time.Second

func (c *workload) do(r request) response {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r.ctx = ctx
	return c.f.do(r)
}

func (c *workload) order(router, body string) {
	a := c.do(order(router, "hotel", body, body))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[body] = true
	if a.err == nil && a.status == 200 {
		c.complete++
	}
	if a.err == nil && a.status != 200 && a.outcome == "" {
		c.f.t.Errorf("order failed with status %d and without an outcome", a.status)
	}
}

func (c *workload) stream(router string) {
	a := c.do(completion(router, "notary", 5, true))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.err != nil: // the router was killed: the connection broke
	case a.status != 200:
		if a.outcome == "" {
			c.f.t.Errorf("completion failed with status %d and without an outcome", a.status)
		}
	case strings.HasSuffix(a.body, "[DONE]\n\n"):
		c.complete++
		if n := strings.Count(a.body, "data: "); n != 7 {
			c.f.t.Errorf("a complete stream has %d events, want 7", n)
		}
	case !strings.Contains(a.body, "event: error"):
		c.f.t.Errorf("a stream ended early without an error event: %q", a.body)
	}
}

// randomFault injects or repairs one random fault: it kills or restarts a box,
// cuts a box off or reconnects it, separates the control boxes from each other or
// reconnects them, or empties one disk of a complete group.
func (f *testFleet) randomFault(rng *rand.Rand) {
	names := []string{"c1", "c2", "c3", "r1", "r2", "r3"}
	name := names[rng.IntN(len(names))]
	b := f.boxes[name]
	switch p := rng.IntN(100); {
	case b.box == nil:
		f.start(name)
	case p < 25:
		f.crash(name)
	case p < 38:
		f.net.Cut(b.ip)
	case p < 80:
		f.net.Restore(b.ip)
	case p < 88:
		f.net.Isolate("10.0.1.1", "10.0.1.2", "10.0.1.3")
	case p < 96:
		f.net.HealPartitions()
	default:
		f.loseDiskOfCompleteGroup(b)
	}
}

// loseDiskOfCompleteGroup empties a control box's disks once the groups are
// complete, since no system survives the loss of a majority of its disks.
func (f *testFleet) loseDiskOfCompleteGroup(b *testBox) {
	if !b.control {
		return
	}
	f.repairAll()
	f.awaitVoters(3)
	time.Sleep(3 * time.Second) // the claims group is complete too
	f.loseDisk(b.name)
	time.Sleep(3 * time.Second)
}

// repairAll reconnects all boxes and restarts those that are down.
func (f *testFleet) repairAll() {
	f.net.HealPartitions()
	for _, name := range slices.Sorted(maps.Keys(f.boxes)) {
		b := f.boxes[name]
		f.net.Restore(b.ip)
		if b.box == nil {
			f.start(name)
		}
	}
}
