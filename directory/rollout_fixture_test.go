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

// This file defines rollouts under additional conditions: servers in halls, cold servers, other
// loads.

// rolloutScenario describes the environment of a rollout.
type rolloutScenario struct {
	document  document.StoredDocument
	load      func(gateway string) // starts the gateway and its requests
	announce  func()               // announces the servers; called once per interval
	noRollout bool                 // no rollout is ordered
}

// runScenario starts the servers, gateways and rollout of a scenario, and then runs f.
func (x *fleet) runScenario(v *versionedServers, s rolloutScenario, f func()) {
	is := is.New(x.t)
	is.NoErr(x.awaitLeader().d.Put(x.t.Context(), s.document))
	stop := x.announceRepeatedly(s.announce)
	defer stop()
	for i := range 3 {
		s.load(rolloutGatewayIP(i))
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

// steadyLoad returns a function that starts a gateway with one request per period.
func (x *fleet) steadyLoad(server gateway.Transport, period time.Duration) func(ip string) {
	return func(ip string) { x.startLoadedGateway(ip, server, period) }
}

// minHeadroom returns the smallest distance to the exposure bound that was observed.
func minHeadroom(v *versionedServers) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.minHeadroom
}

// announceRepeatedly calls announce once per interval until stop is called.
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

// versionedServer returns the registration of server n: of the old version for b1 to b3, else of
// the target.
func versionedServer(n int) protocol.Registration {
	id := fmt.Sprint("b", n)
	version := "v1"
	if n > 3 {
		version = "v2"
	}
	return protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 40, Version: version}
}

// announceVersioned sends an announcement to the leader. Servers of the target are announced only
// once a rollout is active; without one they would get their part of the requests.
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
	_ = d.Announce(ctx, a) // a replica that no longer leads refuses it
}

// countedServers counts the requests that reach each of some versioned servers.
type countedServers struct {
	*versionedServers
	arrivalLog *arrivals
}

func newCountedServers(v *versionedServers) countedServers {
	return countedServers{versionedServers: v, arrivalLog: &arrivals{at: map[string][]time.Time{}}}
}

func (c countedServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	c.arrivalLog.record(at)
	return c.versionedServers.Send(ctx, at, call)
}

// requestsSince returns how many requests reached the given servers since a time.
func (c countedServers) requestsSince(from time.Time, servers ...int) (n int) {
	for _, i := range servers {
		all, _ := c.arrivalLog.countSince(serverAddress(fmt.Sprint("b", i)), from)
		n += all
	}
	return n
}
