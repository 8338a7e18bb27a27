// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests rollouts that reach gateways through relays.

// TestRelayForwardsRollouts checks that a relay whose session opens while there are rollouts serves its
// region, and that a gateway there receives the barred versions before any server.
func TestRelayForwardsRollouts(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		x.putDocument(1)
		is.NoErr(x.announce("b1", false))
		is.NoErr(x.orderRollout(orderTo("v2")))
		is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 1))
		relay := x.relays(south)[0]
		relay.kill()
		time.Sleep(time.Second)
		x.startReplica(relay.ip, false)
		time.Sleep(3 * time.Second)

		x.place("10.0.2.1", south)
		id := link.Identity{Name: "10.0.2.1:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.1").DialContext}
		session, err := link.Dial(x.t.Context(), relay.ip+":7400", id, nil)
		is.NoErr(err)
		defer session.Close()
		is.NoErr(session.Send(x.t.Context(), protocol.Watch{Gateway: id.Name, SupportsRollouts: true, Region: south}))
		m, err := session.ReceiveWithIdleTimeout(x.t.Context(), time.Second)
		is.NoErr(err)
		list, ok := m.(protocol.Rollouts)
		is.True(ok) // otherwise it was redirected, or received the servers first
		is.Equal(list.List, []protocol.Rollout{{Pool: "p", Attempt: 1, Barred: []string{"v2"}}})
		m, err = session.ReceiveWithIdleTimeout(x.t.Context(), time.Second)
		is.NoErr(err)
		is.Equal(m, protocol.Message(protocol.Quarantine{Whole: true})) // also before the servers
		m, err = session.ReceiveWithIdleTimeout(x.t.Context(), time.Second)
		is.NoErr(err)
		servers, ok := m.(protocol.Servers)
		is.True(ok)
		is.True(servers.Whole)
	})
}

// TestGatewayWithoutRolloutsBehindRelayIsReported checks that the leader reports gateways without
// support for rollouts behind relays as well.
func TestGatewayWithoutRolloutsBehindRelayIsReported(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		x.putDocument(1)
		time.Sleep(2 * time.Second) // until the relays have their sessions
		x.place("10.0.2.1", south)
		id := link.Identity{Name: "10.0.2.1:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.1").DialContext}
		session, err := link.Dial(x.t.Context(), x.relays(south)[0].ip+":7400", id, nil)
		is.NoErr(err)
		defer session.Close()
		is.NoErr(session.Send(x.t.Context(), protocol.Watch{Gateway: id.Name, Region: south}))
		time.Sleep(500 * time.Millisecond)
		names, err := x.awaitLeader().d.GatewaysWithoutRollouts(x.t.Context())
		is.NoErr(err)
		is.Equal(names, []string{id.Name})
	})
}
