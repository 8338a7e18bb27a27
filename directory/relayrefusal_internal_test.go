// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// TestNoRelayingForLeaderWithoutRelaySupport: a leader of a version without relays takes a relay for a
// gateway, and would misread its reports. The replica must not relay in that leader's term.
func TestNoRelayingForLeaderWithoutRelaySupport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
		net, key := fakenet.New(time.Millisecond), []byte("a key of the fleet, of 32 bytes.")
		const leader = "10.0.1.1:7400"
		listener, err := net.Listen(leader)
		is.NoErr(err)
		mux := http.NewServeMux()
		mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
			l, err := link.Accept(w, r, link.Identity{Name: leader, Key: key}, nil)
			if err != nil {
				return
			}
			defer l.Close()
			_, _ = l.Receive(ctx) // the Watch message
			_ = l.Send(ctx, protocol.Rollouts{Term: 3, Seq: 1})
			_ = l.Send(ctx, protocol.Servers{Term: 3, Whole: true})
			for err == nil {
				_, err = l.Receive(ctx)
			}
		})
		server := http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }()
		defer func() { stop(); server.Close(); synctest.Wait() }()
		d := &Directory{ctx: ctx, cfg: Settings{
			Identity: link.Identity{Name: "10.0.1.2:7400", Key: key, Dial: net.DialerFrom("10.0.1.2").DialContext},
			Random:   func() uint64 { return 1 }, Region: "south",
		}}
		d.hub = newHub(d)
		d.state = newReplicated(0, 0, func() {})
		began := time.Now()
		d.hub.runLeaderSession(leader, 3)
		is.True(time.Since(began) < 100*time.Millisecond)
		is.Equal(*d.hub.lastRefusal.Load(), relayRefusal{term: 3})
	})
}
