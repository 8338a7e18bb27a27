// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests where a stream goes on after a server has restarted and before the list says with which version.

var errRefusedConnection = forward.NotRun{Err: syscall.ECONNREFUSED}

// resumeAtV1 takes a stream up that began at v1 at another gateway, and returns the server that got it; "" if none did.
func (x *fixture) resumeAtV1(id string) string {
	before := x.servers.count()
	x.request("/resume/x", "Id", id, "Begun-By", "first", "After", "3")
	if x.servers.count() == before {
		return ""
	}
	return x.servers.arrivals[before].Header.Get("Backend")
}

// TestStreamGoesOnAtNoServerInDoubt guards against a stream that goes on at another version, because its server has
// restarted with that under its identifier and listens before its first announcement has reached the gateway.
func TestStreamGoesOnAtNoServerInDoubt(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.directory(protocol.StreamAnswer{Known: true, Pool: "plain", Version: "v1"}, time.Millisecond)
		x.g.table.setListening(true)
		is.Equal(x.resumeAtV1("a"), "p0")

		x.servers.set("10.0.5.0:80", fails(errRefusedConnection)) // p0 ends
		for range 3 {
			x.request("/once/x")
		}
		x.servers.set("10.0.5.0:80", resuming(5, 0, nil)) // and is back
		is.Equal(x.resumeAtV1("b"), "")                   // nothing has come from it
		for range 30 {
			x.request("/once/x") // one of them goes to p0, once its ejection is over
			time.Sleep(400 * time.Millisecond)
		}
		is.Equal(x.resumeAtV1("c"), "p0") // it would be listed by now

		x.servers.set("10.0.5.0:80", fails(errRefusedConnection))
		for range 3 {
			x.request("/once/x")
		}
		x.setVersions("v2", "v1") // the list says what has become of it
		is.Equal(x.resumeAtV1("d"), "p1")
		synctest.Wait()
	}, resuming(5, 0, nil), resuming(5, 0, nil))
}

// TestPausedGatewayDoubtsBrokenConnections guards against the same at a gateway that stood still meanwhile: it has seen no
// refused connection, but its connections are broken.
func TestPausedGatewayDoubtsBrokenConnections(t *testing.T) {
	for _, paused := range []bool{false, true} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.setVersions("v1", "v2")
			x.directory(protocol.StreamAnswer{Known: true, Pool: "plain", Version: "v1"}, time.Millisecond)
			x.g.table.setListening(true)
			time.Sleep(time.Second)
			if paused {
				x.g.pauses.endedAt.Store(int64(x.g.now()))
			}
			x.servers.set("10.0.5.0:80", fails(forward.MayHaveRun{Err: errReset}))
			x.request("/resume/x", "Id", "a")
			x.request("/resume/x", "Id", "b")
			x.servers.set("10.0.5.0:80", resuming(5, 0, nil))
			is.Equal(x.resumeAtV1("c") == "", paused)
			synctest.Wait()
		}, resuming(5, 0, nil), resuming(5, 0, nil))
	}
}

// TestPauses checks when a gateway counts as paused.
func TestPauses(t *testing.T) {
	is := is.New(t)
	var p pauses
	is.True(!p.wereRecent(time.Second)) // it has just started
	p.tick(time.Second)
	is.True(!p.wereRecent(time.Second + minPause))
	is.True(p.wereRecent(time.Second + minPause + 1)) // before the next tick
	p.tick(5 * time.Second)
	is.True(p.wereRecent(5*time.Second + minPause))
	now := 5 * time.Second
	for range 15 {
		now += minPause / 2
		p.tick(now)
	}
	is.True(!p.wereRecent(5*time.Second + restartNotice + 1))
}

// TestRestartDoubtEnds checks how long a server is in doubt.
func TestRestartDoubtEnds(t *testing.T) {
	is := is.New(t)
	var d restartDoubt
	is.True(!d.holds(time.Hour, time.Minute))
	d.exists.Store(true)
	d.since = time.Hour
	is.True(d.holds(time.Hour+maxRestartDoubt, time.Minute))
	is.True(!d.holds(time.Hour+maxRestartDoubt+1, time.Minute)) // nothing has come from it
	d.backAt = time.Hour + time.Second
	is.True(d.holds(d.backAt+restartNotice, time.Minute))
	is.True(!d.holds(d.backAt+restartNotice+1, time.Minute))
	is.True(d.holds(d.backAt+restartNotice+1, 0)) // no list can come
	is.True(d.holds(d.backAt+restartNotice+1, d.backAt+time.Second))
	d.clear()
	is.True(!d.holds(time.Hour, time.Minute))
}
