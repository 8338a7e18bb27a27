// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests where the watcher looks for the leader. Sessions are tested with real
// directories, in package directory.

func TestDialOrder(t *testing.T) {
	is := is.New(t)
	is.Equal(candidates(nil, []string{"s", "t"}), []string{"s", "t"})
	is.Equal(candidates([]string{"a", "s"}, []string{"s", "t"}), []string{"a", "s", "t"}) // each address once
	seeds := []string{"s", "t"}
	w := watcher{g: &Gateway{}, startID: 3, replicas: []string{"a"}}
	w.g.SetSeeds(seeds)
	var tried []string
	for range 4 {
		tried = append(tried, w.nextAddress())
	}
	is.Equal(tried, []string{"s", "t", "a", "s"}) // in turn, from a start that depends on startID
	w.redirectTarget = "l"
	is.Equal([]string{w.nextAddress(), w.nextAddress()}, []string{"l", "t"}) // a redirect is tried first, and once
}

// TestIncompleteEntitlementsAreIgnored checks that a leader that does not have enough reports yet
// does not replace the previous leader's list of entitlements, nor its bound.
func TestIncompleteEntitlementsAreIgnored(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		w := &watcher{g: x.g}
		part := func() float32 {
			e, _ := x.g.accounts.entitlement("t")
			return e.Part
		}
		w.handle(protocol.Fleet{Gateways: 2, Entitlements: []protocol.Entitlement{{Account: "t", Part: 0.5, Extra: 0.5}}, MaxRate: 1000})
		is.Equal(part(), float32(0.5))
		time.Sleep(100 * time.Millisecond)
		w.handle(protocol.Fleet{Gateways: 3, Incomplete: true})
		is.Equal(part(), float32(0.5))
		is.Equal(x.g.gatewayCount.Load(), int64(3)) // the rest of the message is applied
		w.handle(protocol.Fleet{Gateways: 3})
		is.Equal(part(), float32(1))
	})
}

// TestEndOfASessionIsLogged checks that the end of a session is logged, also if the leader ends it
// with a redirect.
func TestEndOfASessionIsLogged(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	g := &Gateway{table: newTable("g", "z", monotonic()), suspicions: newSuspicions(monotonic()), origins: newOrigins()}
	g.cfg.Log = decision.New(&text, slog.LevelInfo, decision.DefaultBudget, metrics.NewSet())
	w := &watcher{g: g, connected: true}
	w.handleRedirect("a:1", protocol.WatchRedirect{Leader: "b:1", Members: []string{"a:1", "b:1"}})
	is.Equal(w.redirectTarget, "b:1")
	w.handleRedirect("b:1", protocol.WatchRedirect{}) // no session was open
	g.cfg.Log.Close()
	is.Equal(strings.Count(text.String(), `"directory lost"`), 1)
}
