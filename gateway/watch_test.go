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

// This file tests where the watcher looks for the leader. Its sessions are
// tested with real directories, in package directory.

func TestCandidates(t *testing.T) {
	is := is.New(t)
	is.Equal(candidates(nil, []string{"s", "t"}), []string{"s", "t"})
	is.Equal(candidates([]string{"a", "s"}, []string{"s", "t"}), []string{"a", "s", "t"}) // each once
	seeds := []string{"s", "t"}
	w := watcher{g: &Gateway{}, startID: 3, replicas: []string{"a"}}
	w.g.SetSeeds(seeds)
	var tried []string
	for range 4 {
		tried = append(tried, w.next())
	}
	is.Equal(tried, []string{"s", "t", "a", "s"}) // in turn, from one that the start picked
	w.leader = "l"
	is.Equal([]string{w.next(), w.next()}, []string{"l", "t"}) // a redirect goes first, once
}

// TestNewLeadersListIsKeptOut: a leader that knows too little yet does not replace the list of
// the one before, nor its bound.
func TestNewLeadersListIsKeptOut(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		w := &watcher{g: x.g}
		part := func() float32 {
			e, _ := x.g.accounts.entitlement("t")
			return e.Part
		}
		w.handle(protocol.Fleet{Gateways: 2, Entitlements: []protocol.Entitlement{{Account: "t", Part: 0.5, Extra: 0.5}}, Most: 1000})
		is.Equal(part(), float32(0.5))
		time.Sleep(100 * time.Millisecond)
		w.handle(protocol.Fleet{Gateways: 3, Unknown: true})
		is.Equal(part(), float32(0.5))
		is.Equal(x.g.gatewayCount.Load(), int64(3)) // the rest of the message counts
		w.handle(protocol.Fleet{Gateways: 3})
		is.Equal(part(), float32(1))
	})
}

// TestEndOfASessionIsLogged: also when the leader ends it with a redirect.
func TestEndOfASessionIsLogged(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	g := &Gateway{table: newTable("g", "z", monotonic()), suspicions: newSuspicions()}
	g.cfg.Log = decision.New(&text, slog.LevelInfo, decision.DefaultBudget, metrics.NewSet())
	w := &watcher{g: g, connected: true}
	w.handleRedirect("a:1", protocol.WatchRedirect{Leader: "b:1", Members: []string{"a:1", "b:1"}})
	is.Equal(w.leader, "b:1")
	w.handleRedirect("b:1", protocol.WatchRedirect{}) // was no session
	g.cfg.Log.Close()
	is.Equal(strings.Count(text.String(), `"directory lost"`), 1)
}
