// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines rollouts that meet something else: servers with halls, cold servers, other
// loads.

// scene is what a rollout runs in.
type scene struct {
	document document.Held
	load     func(gateway string) // starts it, and its requests
	announce func()               // of the servers, once in each interval
	without  bool                 // no rollout is ordered
}

// rollingIn does what rolling does, in a scene.
func (x *fleet) rollingIn(v *versioned, s scene, f func()) {
	is := is.New(x.t)
	is.NoErr(x.mustLead().d.Put(x.t.Context(), s.document))
	stop := x.keeping(s.announce)
	defer stop()
	for i := range 3 {
		s.load(rolloutGateway(i))
	}
	time.Sleep(3 * time.Second)
	v.mu.Lock()
	v.rng, v.room = rand.New(rand.NewPCG(1, 2)), exposure.Slack
	v.mu.Unlock()
	if !s.without {
		is.NoErr(x.orderRollout(rollout.Order{Pool: "p", Target: "v2", Duration: rolloutTime}))
	}
	v.mu.Lock()
	v.ordered = time.Now()
	v.mu.Unlock()
	f()
}

// evenly starts gateways with a request in each period.
func (x *fleet) evenly(server gateway.Transport, period time.Duration) func(ip string) {
	return func(ip string) { x.loaded(ip, server, period) }
}

// leastRoom returns the least that the bound left, at any moment.
func leastRoom(v *versioned) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.room
}

// keeping calls announce in each interval, until stop.
func (x *fleet) keeping(announce func()) (stop func()) {
	ctx, cancel := context.WithCancel(x.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for range sleep.Every(ctx, interval) {
			announce()
		}
	})
	return func() { cancel(); running.Wait() }
}

// versionedServer is server b1 to b3 of the old version, or one of the target.
func versionedServer(n int) protocol.Registration {
	id := fmt.Sprint("b", n)
	version := "v1"
	if n > 3 {
		version = "v2"
	}
	return protocol.Registration{ID: id, Pool: "p", Address: address(id), Slots: 40, Version: version}
}

// announceAs announces a server of the target only once a rollout is under way: without one it
// would get its part of the requests.
func (x *fleet) announceAs(a registry.Announcement) {
	d := x.leading()
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
	defer cancel()
	if _, err := d.Rollout(ctx, "p"); err != nil && a.Version == "v2" {
		return
	}
	x.beats[a.ID]++
	a.Seq = x.beats[a.ID]
	_ = d.Announce(ctx, a) // whoever does not lead any more refuses it
}

// counted counts what reaches each server of a versioned.
type counted struct {
	*versioned
	reached *arrivals
}

func newCounted(v *versioned) counted {
	return counted{versioned: v, reached: &arrivals{at: map[string][]time.Time{}}}
}

func (c counted) Send(ctx context.Context, at string, call forward.Call) (*forward.Answer, error) {
	c.reached.note(at)
	return c.versioned.Send(ctx, at, call)
}

// sinceAll returns how many requests came to some servers, by their numbers, after a time.
func (c counted) sinceAll(from time.Time, servers ...int) (n int) {
	for _, i := range servers {
		all, _ := c.reached.since(address(fmt.Sprint("b", i)), from)
		n += all
	}
	return n
}
