// SPDX-License-Identifier: Apache-2.0

package mesh_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/mesh"
)

// TestKeepOpenPreventsIdleClose checks that a link to a replica passed to KeepOpen stays open without
// messages, even if the idle queue was about to be removed, and that the link closes after a call to
// KeepOpen without that replica.
func TestKeepOpenPreventsIdleClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		net, key := fakenet.New(time.Millisecond), []byte("a key that all nodes share")
		identity := func(ip string) link.Identity {
			return link.Identity{Name: ip + ":7400", Key: key, Dial: net.DialerFrom(ip).DialContext}
		}
		one, two := identity("10.0.1.1"), identity("10.0.1.2")
		address := func(name string) string { return name }
		var open atomic.Int64
		receiver := mesh.New(ctx, two, address, nil)
		listener, err := net.Listen(two.Name)
		is.NoErr(err)
		mux := http.NewServeMux()
		mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
			open.Add(1)
			defer open.Add(-1)
			receiver.Serve(w, r, func(protocol.Consensus) {}, nil)
		})
		server := http.Server{Handler: mux, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
		go func() { _ = server.Serve(listener) }()
		defer func() { stop(); server.Close(); time.Sleep(time.Second); synctest.Wait() }()

		m := mesh.New(ctx, one, address, nil)
		m.Send(protocol.Consensus{To: protocol.Peer{Name: two.Name}})
		time.Sleep(45 * time.Second) // the link has ended, and the queue is about to be removed
		is.Equal(open.Load(), int64(0))
		m.KeepOpen([]string{one.Name, two.Name})
		time.Sleep(time.Minute)
		is.Equal(open.Load(), int64(1))
		time.Sleep(5 * time.Minute)
		is.Equal(open.Load(), int64(1))
		m.KeepOpen([]string{one.Name})
		time.Sleep(2 * time.Minute)
		is.Equal(open.Load(), int64(0))
	})
}
