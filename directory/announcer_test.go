// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestAnnouncementAtFollowerReachesGateways: an announcement at a follower must reach the gateways too,
// also after the leader is lost. A replica that cannot reach the leader must return an error within the
// time that the backend server waits.
func TestAnnouncementAtFollowerReachesGateways(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		g := x.startGateway("10.0.2.1")
		announceAt := func(n *directoryNode, id string) error {
			x.announceSeqs[id]++
			ctx, cancel := context.WithTimeout(x.t.Context(), 900*time.Millisecond)
			defer cancel()
			return n.d.Announce(ctx, registry.Announcement{
				Registration: protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 4}, Seq: x.announceSeqs[id],
			})
		}
		var ids []string
		for i, ip := range x.ips {
			id := fmt.Sprint("b", i+1)
			ids = append(ids, id)
			is.NoErr(announceAt(x.nodes[ip], id))
		}
		time.Sleep(200 * time.Millisecond)
		is.Equal(g.Servers(), ids)

		x.awaitLeader().kill()
		next := x.awaitLeader()
		time.Sleep(time.Second)
		for _, ip := range x.ips {
			n := x.nodes[ip]
			if n.d == nil || n == next {
				continue
			}
			id := "b9" + ip[len(ip)-1:]
			is.NoErr(announceAt(n, id))
			time.Sleep(300 * time.Millisecond)
			is.True(slices.Contains(g.Servers(), id))
			x.net.Cut(ip)
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			is.True(announceAt(n, id) != nil)
			is.True(time.Since(began) <= 900*time.Millisecond)
			x.net.Restore(ip)
			time.Sleep(3 * time.Second)
			is.NoErr(announceAt(n, id))
			break
		}
	})
}

// TestServerVersionsAreLogged: the next leader must get a backend server's version from the log,
// whichever replica the server announced itself to.
func TestServerVersionsAreLogged(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		var want []protocol.Registration
		for i, ip := range x.ips {
			id := fmt.Sprint("b", i+1)
			r := protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 4, Version: fmt.Sprint("v", i)}
			is.NoErr(x.nodes[ip].d.Announce(x.t.Context(), registry.Announcement{Registration: r, Seq: 1}))
			want = append(want, r)
		}
		time.Sleep(time.Second)
		x.awaitLeader().kill()
		is.Equal(x.awaitLeader().d.Joined(), want)
	})
}
