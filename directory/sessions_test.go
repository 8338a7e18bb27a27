// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests the gateways' sessions with the leader: what ends them, and what they
// cost when much happens at once.

// TestConnectionsFallSilent: all open connections are silent for good while new ones
// work. The group elects, takes a document and brings it to its gateways on new ones. That
// the leader ends silent sessions (registry.ReportSilence) is not seen here.
func TestConnectionsFallSilent(t *testing.T) {
	withFleet(t, voters, func(x *fleet) {
		is := is.New(x.t)
		gateways := []*gateway.Gateway{x.gateway("10.0.2.1"), x.gateway("10.0.2.2")}
		is.NoErr(x.announce("b1", false))
		x.putDocument(1)
		time.Sleep(time.Second)
		for n := range uint64(3) {
			x.net.Silence()
			began := time.Now()
			x.putDocument(n + 2)
			for _, g := range gateways {
				for g.DocumentNumber() < n+2 {
					time.Sleep(10 * time.Millisecond)
				}
			}
			is.True(time.Since(began) < 3*time.Second)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestManyAnnounceAtOnce starts more backend servers within a second than a session's
// queue holds messages, before many gateways. No session is lost, every gateway knows all
// soon, and it was sent a list or two, not one for each server.
func TestManyAnnounceAtOnce(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		const gateways, servers = 30, 1200
		for i := range gateways {
			x.gateway(fmt.Sprintf("10.0.2.%d", i+1))
		}
		time.Sleep(time.Second)
		leader := x.awaitLeader().d
		var announcing sync.WaitGroup
		for i := range servers {
			announcing.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / servers)
				is.NoErr(leader.Announce(x.t.Context(), registry.Announcement{Registration: protocol.Registration{
					ID: fmt.Sprintf("b%d", i), Pool: "p", Address: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200), Slots: 4,
				}, Seq: 1}))
			})
		}
		announcing.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, n := range x.gateways {
			is.Equal(len(n.g.Servers()), servers)
			_, sessions := n.controlTraffic("out", "watch")
			is.True(sessions <= 3) // until the leader was found
			bytes, messages := n.controlTraffic("in", "backends")
			is.True(messages < 30)
			is.True(bytes < 100*servers) // one registration is about 50
		}
	})
}

// TestFleetReturnsOverASlowLink: all gateways come back at once and share the leader's
// link, so that the whole list takes each of them several times longer than the silence
// after which a leader is left. None leaves it, or all would come back for ever.
func TestFleetReturnsOverASlowLink(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		const servers, gateways = 1500, 10
		leader := x.awaitLeader().d
		for i := range servers {
			is.NoErr(leader.Announce(x.t.Context(), registry.Announcement{Registration: protocol.Registration{
				ID: fmt.Sprintf("b%d", i), Pool: "p", Address: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200), Slots: 4,
			}, Seq: 1}))
		}
		time.Sleep(time.Second)
		for i := range gateways {
			ip := fmt.Sprintf("10.0.2.%d", i+1)
			x.gatewayOn(ip, x.net.Box(ip).Slow(25_000).DialContext) // the list takes about three seconds
		}
		time.Sleep(8 * time.Second)
		for _, n := range x.gateways {
			is.Equal(len(n.g.Servers()), servers)
			_, sessions := n.controlTraffic("out", "watch")
			is.True(sessions <= 3) // until the leader was found
		}
	})
}
