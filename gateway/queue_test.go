// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests the order of waiting requests and the limits on them.

// TestWaitingRequestsAreOrderedByService fills the only backend server and lets three requests
// wait. The one from the account that received the least service must go first, whatever the order
// of arrival.
func TestWaitingRequestsAreOrderedByService(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		d := testDocument()
		d.Number = 4
		d.Pools[0].Connections = 1
		d.Routes[0].Objective = 10 * time.Second
		x.g.apply(d)
		var mu sync.Mutex
		var order []string
		x.servers.behaviours["10.0.5.0:80"] = func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			mu.Lock()
			order = append(order, call.Header.Get("Id"))
			mu.Unlock()
			return answers(200, "fine", 100*time.Millisecond)(ctx, call)
		}
		var group sync.WaitGroup
		for i, header := range [][]string{{"Id", "a"}, {"Id", "b"}, {"Id", "c"}, {"Id", "d", "Key", "other"}} {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				x.request("/once/x", header...)
			})
		}
		x.g.accounts.countStarted("t", 1000)
		group.Wait()
		// A gateway uses at least two connections.
		is.Equal(strings.Join(order, ""), "abdc")
	}, answers(200, "fine", 0))
}

// TestConnectionsAreDividedAmongGateways checks that the gateways divide a backend server's
// connections among them.
func TestConnectionsAreDividedAmongGateways(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.gatewayCount.Store(45) // this gateway gets two of 100 connections
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { x.request("/once/x") })
		}
		time.Sleep(time.Millisecond)
		is.Equal(x.request("/once/x").status, 503)
		group.Wait()
		is.Equal(x.servers.count(), 2)
	}, answers(200, "fine", time.Second))
}
