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

// This file tests when the gateways' sessions with the leader end, and their cost under load.

// TestRecoveryFromSilentConnections: all open connections stop delivering without being closed, while new
// ones work. The group must elect a leader, accept a document and deliver it over new connections.
// This does not cover the leader's own timeout of silent sessions (registry.ReportTimeout).
func TestRecoveryFromSilentConnections(t *testing.T) {
	withFleet(t, voters, func(x *fleet) {
		is := is.New(x.t)
		gateways := []*gateway.Gateway{x.startGateway("10.0.2.1"), x.startGateway("10.0.2.2")}
		is.NoErr(x.announce("b1", false))
		x.putDocument(1)
		time.Sleep(time.Second)
		for n := range uint64(3) {
			x.net.SilenceConnections()
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

// TestManyServersAnnounceAtOnce starts more backend servers within a second than a session's queue holds
// messages, with many gateways connected. Sent one by one, the announcements overflowed the queues.
// No session may be lost, and every gateway must soon list all servers after few messages.
func TestManyServersAnnounceAtOnce(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		const gateways, servers = 30, 1200
		for i := range gateways {
			x.startGateway(fmt.Sprintf("10.0.2.%d", i+1))
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
			is.True(sessions <= 3) // until it found the leader
			bytes, messages := n.controlTraffic("in", "backends")
			is.True(messages < 30)
			is.True(bytes < 100*servers) // one registration takes about 50 bytes
		}
	})
}

// TestGatewaysReconnectOverSlowLink: all gateways reconnect at once and share the leader's link, so
// that each whole list takes several times longer than the silence after which a gateway leaves a
// leader. No gateway may leave it, because all would then reconnect forever.
func TestGatewaysReconnectOverSlowLink(t *testing.T) {
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
			x.startGatewayWithDial(ip, x.net.DialerFrom(ip).Slow(25_000).DialContext) // the list takes about 3 s
		}
		time.Sleep(8 * time.Second)
		for _, n := range x.gateways {
			is.Equal(len(n.g.Servers()), servers)
			_, sessions := n.controlTraffic("out", "watch")
			is.True(sessions <= 3) // until it found the leader
		}
	})
}
