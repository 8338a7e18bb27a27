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

// rolloutScenario is what a rollout runs in.
type rolloutScenario struct {
	document  document.Held
	load      func(gateway string) // starts it, and its requests
	announce  func()               // of the servers, once in each interval
	noRollout bool                 // no rollout is ordered
}

// runScenario does what rolling does, in a scene.
func (x *fleet) runScenario(v *versionedServers, s rolloutScenario, f func()) {
	is := is.New(x.t)
	is.NoErr(x.awaitLeader().d.Put(x.t.Context(), s.document))
	stop := x.announceRepeatedly(s.announce)
	defer stop()
	for i := range 3 {
		s.load(rolloutGateway(i))
	}
	time.Sleep(3 * time.Second)
	v.mu.Lock()
	v.rng, v.minHeadroom = rand.New(rand.NewPCG(1, 2)), rolloutBounds.Slack
	v.mu.Unlock()
	if !s.noRollout {
		is.NoErr(x.orderRollout(rollout.Order{Pool: "p", Target: "v2", Duration: rolloutTime}))
	}
	v.mu.Lock()
	v.orderedAt = time.Now()
	v.mu.Unlock()
	f()
}

// steadyLoad starts gateways with a request in each period.
func (x *fleet) steadyLoad(server gateway.Transport, period time.Duration) func(ip string) {
	return func(ip string) { x.startLoadedGateway(ip, server, period) }
}

// minHeadroom returns the least that the bound left, at any moment.
func minHeadroom(v *versionedServers) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.minHeadroom
}

// announceRepeatedly calls announce in each interval, until stop.
func (x *fleet) announceRepeatedly(announce func()) (stop func()) {
	ctx, cancel := context.WithCancel(x.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for range sleep.Every(ctx, announceInterval) {
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
	return protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 40, Version: version}
}

// announceVersioned announces a server of the target only once a rollout is under way: without one it
// would get its part of the requests.
func (x *fleet) announceVersioned(a registry.Announcement) {
	d := x.leaderDirectory()
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
	defer cancel()
	if _, err := d.Rollout(ctx, "p"); err != nil && a.Version == "v2" {
		return
	}
	x.announceSeqs[a.ID]++
	a.Seq = x.announceSeqs[a.ID]
	_ = d.Announce(ctx, a) // whoever does not lead any more refuses it
}

// countedServers counts what reaches each server of a versioned.
type countedServers struct {
	*versionedServers
	arrivalLog *arrivals
}

func newCountedServers(v *versionedServers) countedServers {
	return countedServers{versionedServers: v, arrivalLog: &arrivals{at: map[string][]time.Time{}}}
}

func (c countedServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Answer, error) {
	c.arrivalLog.record(at)
	return c.versionedServers.Send(ctx, at, call)
}

// requestsSince returns how many requests came to some servers, by their numbers, after a time.
func (c countedServers) requestsSince(from time.Time, servers ...int) (n int) {
	for _, i := range servers {
		all, _ := c.arrivalLog.countSince(serverAddress(fmt.Sprint("b", i)), from)
		n += all
	}
	return n
}
