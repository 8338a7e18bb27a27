// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests data halls that are taken out of service under load.

// arrivals records the requests that gateways send to backend servers, all of which answer after 20 ms.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time // by address
}

func (a *arrivals) DropIdle(string) {}
func (a *arrivals) DropAllIdle()    {}

func (*arrivals) RefusesConnections(context.Context, string) bool { return false }

func (a *arrivals) Send(ctx context.Context, address string, call forward.Call) (*forward.Response, error) {
	a.record(address)
	if !sleep.For(ctx, 20*time.Millisecond) {
		return nil, forward.MayHaveRun{Server: address, Err: ctx.Err()}
	}
	return &forward.Response{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func (a *arrivals) record(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[address] = append(a.at[address], time.Now())
}

// countSince returns how many requests arrived at an address after a time, and the most of them in one
// second.
func (a *arrivals) countSince(address string, from time.Time) (all, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var times []time.Time
	for _, t := range a.at[address] {
		if t.After(from) {
			times = append(times, t)
		}
	}
	first := 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return len(times), most
}

// startLoadedGateway starts a gateway that receives one request per period and forwards it to a.
func (x *fleet) startLoadedGateway(ip string, a gateway.Transport, period time.Duration) *gateway.Gateway {
	return x.startGatewayWithLoad(ip, testHeaders{}, a, func(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway) {
		for range sleep.Every(ctx, period) {
			inFlight.Go(func() { x.sendRequest(g, "r") })
		}
	})
}

// startGatewayWithLoad starts a gateway that receives the requests that generateLoad sends until its
// context ends.
func (x *fleet) startGatewayWithLoad(ip string, headers gateway.HeaderCodec, a gateway.Transport, generateLoad func(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway)) *gateway.Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	log := x.log(set)
	g := gateway.Start(ctx, gateway.Settings{
		Identity: link.Identity{Name: ip + ":7400", Key: fleetKey, Dial: x.net.DialerFrom(ip).DialContext},
		Seeds:    x.seeds, Headers: headers, Transport: a, Region: x.regions[ip], Topology: x.topology(), Retries: retry.Limits{Ratio: 0.2, Extra: 1000, Window: time.Second},
		Grace: time.Second, MaxTotalBodyBytes: 1 << 20, Random: x.random, Log: log, Metrics: set,
	})
	var inFlight sync.WaitGroup
	inFlight.Go(func() { generateLoad(ctx, &inFlight, g) })
	x.gateways[ip] = &gatewayNode{ip: ip, g: g, metrics: set, kill: func() { cancel(); inFlight.Wait(); synctest.Wait(); log.Close() }}
	return g
}

// announceInHall announces a backend server of a hall that stays cold for some time.
func (x *fleet) announceInHall(id, hall string, cold time.Duration) error {
	x.announceSeqs[id]++
	ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
	defer cancel()
	return x.awaitLeader().d.Announce(ctx, registry.Announcement{
		Registration: protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Hall: hall, Slots: 4},
		Seq:          x.announceSeqs[id], ColdLeft: cold,
	})
}

// orderHall gives an order about a hall to the current leader until it is acknowledged.
func (x *fleet) orderHall(hall string, out bool) {
	for range 1000 {
		d := x.awaitLeader().d
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		order := d.PutHallBack
		if out {
			order = d.TakeHallOut
		}
		failed := order(ctx, hall)
		cancel()
		if failed == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	x.t.Fatalf("the order about hall %q was not acknowledged", hall)
}

func TestHallOrderErrors(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader()
		is.Equal(l.d.TakeHallOut(x.t.Context(), "nowhere"), error(directory.UnknownHall{Hall: "nowhere"}))
		is.Equal(l.d.TakeHallOut(x.t.Context(), ""), error(directory.UnknownHall{}))
		is.NoErr(l.d.PutHallBack(x.t.Context(), "nowhere")) // it is in service already
		is.NoErr(x.announceInHall("b1", "hall-a", 0))
		time.Sleep(time.Second) // until the server is in the log
		is.NoErr(l.d.TakeHallOut(x.t.Context(), "hall-a"))
		is.NoErr(l.d.TakeHallOut(x.t.Context(), "hall-a")) // a repeat
		is.NoErr(l.d.PutHallBack(x.t.Context(), "hall-a"))
		is.Equal(l.d.TakeHallOut(x.t.Context(), "hall-a"), error(directory.AmbiguousOrder{Hall: "hall-a"}))
		time.Sleep(5 * time.Second)
		is.NoErr(l.d.TakeHallOut(x.t.Context(), "hall-a"))
		for ip, n := range x.nodes {
			if ip != l.ip {
				is.Equal(n.d.TakeHallOut(x.t.Context(), "hall-a"), error(directory.NotLeader{Leader: l.ip + ":7400"}))
			}
		}
	})
}

// TestHallOutOfServiceGetsNoRequests takes a hall out of service under load while gateways start,
// restart and lose the leader. No request may reach its servers until it is put back.
func TestHallOutOfServiceGetsNoRequests(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		halls := map[string]string{"b1": "hall-a", "b2": "hall-a", "b3": "hall-b"}
		stop := x.announceServersRepeatedly(halls)
		defer stop()
		a := &arrivals{at: map[string][]time.Time{}}
		for i := range 3 {
			x.startLoadedGateway(fmt.Sprintf("10.0.2.%d", i+1), a, 50*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		x.orderHall("hall-a", true)
		time.Sleep(200 * time.Millisecond)
		out := time.Now()
		time.Sleep(time.Second)
		x.awaitLeader().kill()
		x.gateways["10.0.2.1"].kill()
		x.startLoadedGateway("10.0.2.1", a, 50*time.Millisecond)
		x.startLoadedGateway("10.0.2.4", a, 50*time.Millisecond)
		time.Sleep(4 * time.Second)
		x.losePower() // of the remaining directory replicas
		for _, ip := range x.ips {
			x.startReplica(ip, false)
		}
		time.Sleep(4 * time.Second)
		for _, id := range []string{"b1", "b2"} {
			n, _ := a.countSince(serverAddress(id), out)
			is.Equal(n, 0)
		}
		n, _ := a.countSince(serverAddress("b3"), out)
		is.True(n > 100)
		x.orderHall("hall-a", false)
		time.Sleep(2 * time.Second)
		n, _ = a.countSince(serverAddress("b1"), out)
		is.True(n > 10)
	})
}

// announceServersRepeatedly announces backend servers once in each interval until stop is called.
func (x *fleet) announceServersRepeatedly(halls map[string]string) (stop func()) {
	ctx, cancel := context.WithCancel(x.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for range sleep.Every(ctx, announceInterval) {
			for _, id := range slices.Sorted(maps.Keys(halls)) {
				_ = x.announceInHall(id, halls[id], 0) // a replica that no longer leads refuses it
			}
		}
	})
	return func() { cancel(); running.Wait() }
}

// TestHallOrdersSurvivePowerAndDiskLoss loses all power, and two of five disks, right after orders were
// acknowledged. The orders must stay in force.
func TestHallOrdersSurvivePowerAndDiskLoss(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		is.NoErr(x.announceInHall("b1", "hall-a", 0))
		time.Sleep(time.Second)
		for round := range 6 {
			out := round%2 == 0
			x.orderHall("hall-a", out)
			leader := x.awaitLeader().ip
			x.losePower()
			lost := []string{leader}
			for _, ip := range x.ips {
				if ip != leader && len(lost) < 2 {
					lost = append(lost, ip)
				}
			}
			for _, ip := range x.ips {
				if ip == lost[0] || ip == lost[1] {
					x.replaceDisk(ip)
				}
				x.startReplica(ip, false)
			}
			halls, _ := x.awaitLeader().d.HallsOut(x.t.Context())
			is.Equal(len(halls) == 1, out)
			time.Sleep(8 * time.Second) // the lost replicas catch up, and the next order is no repeat
		}
	})
}
