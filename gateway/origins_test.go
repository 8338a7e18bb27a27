// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests how a gateway finds out which version began a stream that its caller takes up.
// The sessions are tested with real directories, in package directory.

// directory answers all queries of a gateway with the same answer, after a delay.
func (x *fixture) directory(answer protocol.StreamAnswer, delay time.Duration) {
	x.g.origins.beginSession(func(q protocol.StreamQuery) {
		m := answer
		m.Seq = q.Seq
		time.AfterFunc(delay, func() { x.g.origins.answer(m) })
	})
	x.g.origins.setListed(true)
}

// TestCallerResumesStream checks that the position from which a caller resumes its stream is
// passed on to the backend server.
func TestCallerResumesStream(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.directory(protocol.StreamAnswer{Known: true, Pool: "plain", Inferred: true}, time.Millisecond) // it lists one version
		got := x.request("/resume/x", "After", "3")
		is.Equal(got.body, event(4)+event(5))
	}, resuming(5, 0, nil))
}

// TestStreamOfUnknownVersionIsRefused checks where a gateway lets a stream of another gateway go
// on, and that it refuses it at once as not run where several versions may have begun it.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	v2 := protocol.StreamAnswer{Known: true, Pool: "plain", Version: "v2"}
	for _, tt := range []struct {
		name     string
		versions []string
		session  func(x *fixture)
		server   string // that gets the request; empty if it is refused
		cause    Cause
	}{
		{"the directory knows", []string{"v1", "v2"}, func(x *fixture) { x.directory(v2, time.Millisecond) }, "p1", ""},
		{"the directory does not know", []string{"v1", "v2"}, func(x *fixture) { x.directory(protocol.StreamAnswer{}, time.Millisecond) }, "", VersionUnknown},
		{"the directory does not answer", []string{"v1", "v2"}, func(x *fixture) { x.directory(v2, time.Hour) }, "", VersionUnknown},
		{"there is no session", []string{"v1", "v2"}, func(*fixture) {}, "", VersionUnknown},
		{"there is no session, one version is listed", []string{"v1", "v1"}, func(*fixture) {}, "", VersionUnknown},
		{"the session ends", []string{"v1", "v2"}, func(x *fixture) {
			x.directory(v2, time.Hour)
			time.AfterFunc(10*time.Millisecond, x.g.origins.endSession)
		}, "", VersionUnknown},
		{"the next session begins soon", []string{"v1", "v2"}, func(x *fixture) {
			x.directory(v2, time.Hour)
			time.AfterFunc(10*time.Millisecond, x.g.origins.endSession)
			time.AfterFunc(100*time.Millisecond, func() { x.directory(v2, time.Millisecond) })
		}, "p1", ""},
		{"the replica cannot be asked, one version is listed", []string{"v1", "v1"}, func(x *fixture) {
			x.g.origins.beginSession(func(protocol.StreamQuery) {})
			x.g.origins.setListed(false)
		}, "p", ""},
		{"the replica cannot be asked", []string{"v1", "v2"}, func(x *fixture) {
			x.g.origins.beginSession(func(protocol.StreamQuery) {})
			x.g.origins.setListed(false)
		}, "", VersionUnknown},
		{"its version has left", []string{"v1", "v3"}, func(x *fixture) { x.directory(v2, time.Millisecond) }, "", VersionGone},
		{"the route led to another pool", []string{"v1", "v2"}, func(x *fixture) {
			x.directory(protocol.StreamAnswer{Known: true, Pool: "engines", Version: "v2"}, time.Millisecond)
		}, "", VersionGone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.setVersions(tt.versions...)
				time.Sleep(time.Minute) // until the servers' earlier listing without versions is forgotten
				tt.session(x)
				for range 4 {
					x.servers.arrivals = nil
					got := x.request("/resume/x", "Id", "second", "Begun-By", "first", "After", "3")
					is.True(got.took < time.Second)
					if tt.server == "" {
						is.Equal(got.status, 503)
						is.True(strings.Contains(got.body, string(tt.cause)))
						is.Equal(x.servers.count(), 0)
						continue
					}
					is.Equal(got.status, 200)
					is.True(strings.HasPrefix(x.servers.arrivals[0].Header.Get("Backend"), tt.server))
				}
			}, resuming(6, 0, nil), resuming(6, 0, nil))
		})
	}
}

// TestOwnStreamNeedsNoDirectory checks that a stream that began at the same gateway goes on at its
// version without a session, in the pool where it began.
func TestOwnStreamNeedsNoDirectory(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		d := testDocument()
		d.Number++
		for i := range d.Routes {
			if d.Routes[i].Name == "resume" {
				d.Routes[i].Targets = []document.Target{{Pool: "plain", Weight: 1}, {Pool: "engines", Weight: 1}}
			}
		}
		x.g.apply(d)
		x.announceServers("engines", resuming(6, 0, nil), resuming(6, 0, nil))
		x.setVersions("v1", "v2")
		x.cycleDraws()
		for i := range 20 {
			ctx, leave := context.WithTimeout(x.t.Context(), 3*pause+pause/2)
			x.servers.arrivals = nil
			id := string(rune('a' + i))
			x.requestWith(ctx, "POST", "/resume/x", "", "Id", id)
			leave()
			first := x.servers.arrivals[0].Header.Get("Backend")
			got := x.request("/resume/x", "Id", id+"-2", "Begun-By", id, "After", "3")
			is.Equal(got.status, 200)
			second := x.servers.arrivals[1].Header.Get("Backend")
			is.Equal(second[:1], first[:1]) // the pool
			if first[:1] == "p" {
				is.Equal(second, first) // the only server of its version
			}
		}
	}, resuming(6, 0, nil), resuming(6, 0, nil))
}

// TestReportedStreams checks that streams are reported once several versions serve, also those that
// began before, and again in the next session.
func TestReportedStreams(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		report := func() (ids []streamversion.ID) {
			for _, rec := range streamversion.FromWire(x.g.takeStreams()) {
				is.Equal(rec.Origin, streamversion.Origin{Pool: "plain", Version: "v1"})
				ids = append(ids, rec.ID)
			}
			return ids
		}
		x.setVersions("v1", "v1")
		time.Sleep(time.Minute) // until the servers' earlier listing without versions is forgotten
		x.g.origins.beginSession(func(protocol.StreamQuery) {})
		x.request("/resume/x", "Id", "one")
		x.request("/stream/x", "Id", "other") // cannot be taken up
		is.Equal(len(report()), 0)            // one version
		x.announceServers("engines", resuming(6, 0, nil))
		is.Equal(len(report()), 0) // another pool
		x.setVersions("v1", "v2")
		is.Equal(report(), []streamversion.ID{streamversion.IDOf("one")})
		is.Equal(len(report()), 0)
		x.g.origins.endSession()
		x.g.origins.beginSession(func(protocol.StreamQuery) {})
		is.Equal(report(), []streamversion.ID{streamversion.IDOf("one")})
	}, resuming(6, 0, nil), resuming(6, 0, nil))
}

// TestReportsAreBounded checks the size of one report, and that the newest streams are reported first.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	o, pools := newOrigins(), map[string]bool{"p": true}
	o.take(pools)
	for i := range 3 * maxStreamsPerReport {
		o.add(0, time.Minute, beganStream{Record: streamversion.Record{Origin: streamversion.Origin{Pool: "p"}, ID: streamversion.ID(i)}})
	}
	first := o.take(pools)
	is.Equal(len(first), maxStreamsPerReport)
	is.Equal(first[len(first)-1].ID, streamversion.ID(3*maxStreamsPerReport-1))
	is.Equal(len(o.take(pools))+len(o.take(pools))+len(o.take(pools)), 2*maxStreamsPerReport)
}

// TestStreamOfAmbiguousServerIsNotReported checks that a stream is not reported if its server is
// listed with another version right after its first event: the server may have restarted before the
// gateway learned of it.
func TestStreamOfAmbiguousServerIsNotReported(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.g.takeStreams()
		go x.request("/resume/x", "Id", "one")
		time.Sleep(2 * pause)
		x.setVersions("v2", "v1")
		is.Equal(len(x.g.takeStreams()), 0)
		_, source := x.g.origins.find(streamversion.IDOf("one"))
		is.Equal(source, versionUnknown)
		time.Sleep(10 * pause)
		synctest.Wait()
	}, resuming(6, 0, nil), resuming(6, 0, nil))
}

// TestWaitingStreamIsRefusedOnceItsVersionHasLeft checks that a stream that waits for capacity at
// its version is refused as soon as that version has left.
func TestWaitingStreamIsRefusedOnceItsVersionHasLeft(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.directory(protocol.StreamAnswer{Known: true, Pool: "plain", Version: "v1"}, time.Millisecond)
		ctx, stop := context.WithCancel(x.t.Context())
		for i := range 20 { // both servers are full
			go x.requestWith(ctx, "POST", "/again/x", "", "Id", string(rune('a'+i)))
		}
		time.Sleep(10 * time.Millisecond)
		before := x.servers.count()
		time.AfterFunc(100*time.Millisecond, func() { x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p0"}}); x.g.grantAll() })
		got := x.request("/resume/x", "Id", "second", "Begun-By", "first", "After", "3")
		is.Equal(got.status, 503)
		is.True(strings.Contains(got.body, string(VersionGone)))
		is.True(got.took >= 100*time.Millisecond && got.took < 200*time.Millisecond)
		is.Equal(x.servers.count(), before)
		stop()
		synctest.Wait()
	}, hangs, hangs)
}

// TestStalledStreamStaysAtItsVersion checks that a stream whose server sends nothing goes on at its
// version.
func TestStalledStreamStaysAtItsVersion(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		stalls := streams(piece{text: event(1), after: pause}, piece{after: time.Hour})
		x.announceInOrder([]behaviour{stalls, resuming(6, 0, nil), resuming(6, 0, nil)})
		x.setVersions("v1", "v2", "v1")
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.Equal(x.servers.arrivals[1].Header.Get("Backend"), "p2")
	})
}

// TestStreamOfRestartedServerIsUnknown guards against streams that are recorded with the version that
// their server had before a restart of which the gateway did not know yet.
func TestStreamOfRestartedServerIsUnknown(t *testing.T) {
	for _, tt := range []struct {
		name     string
		restart  func(x *fixture)
		delay    time.Duration
		doubtful bool
	}{
		{"under its identifier", func(x *fixture) { x.list(x.server("p0", "p0", "v2")) }, 500 * time.Millisecond, true},
		{"under its name", func(x *fixture) { x.list(x.server("p0", protocol.LifeID("p0", 7), "v2"), "p0") }, 500 * time.Millisecond, true},
		{"with the same version", func(x *fixture) { x.list(x.server("p0", protocol.LifeID("p0", 7), "v1"), "p0") }, 500 * time.Millisecond, false},
		{"another server at its address", func(x *fixture) { x.list(x.server("p0", "p9", "v2"), "p0") }, 500 * time.Millisecond, false},
		{"long after the stream began", func(x *fixture) { x.list(x.server("p0", "p0", "v2")) }, 5 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.setVersions("v1")
				x.request("/resume/x", "Id", "one")
				x.g.takeStreams()
				time.Sleep(tt.delay)
				tt.restart(x)
				origin, source := x.g.origins.find(streamversion.IDOf("one"))
				if !tt.doubtful {
					is.Equal(origin.Version, "v1")
					return
				}
				is.Equal(source, versionUnknown)
				directory := streamversion.Records{Max: 100}
				directory.Add(0, time.Minute, streamversion.Record{Origin: streamversion.Origin{Pool: "plain", Version: "v1"}, ID: streamversion.IDOf("one")})
				for _, rec := range streamversion.FromWire(x.g.takeStreams()) {
					directory.Add(0, time.Minute, rec)
				}
				_, known := directory.Find(streamversion.IDOf("one"))
				is.True(!known)
			}, resuming(1, 0, nil))
		})
	}
}

// server returns a listed server with another identifier and version.
func (x *fixture) server(listed, id, version string) protocol.Server {
	s := x.g.table.servers[listed].Server
	s.ID, s.Version = id, version
	return s
}

// list handles a message that lists a server and removes others.
func (x *fixture) list(s protocol.Server, removed ...string) {
	(&watcher{g: x.g}).applyServers(protocol.Servers{Term: 1, Set: []protocol.Server{s}, Removed: removed})
}

// TestReportKeepsDoubt guards against a report with one of the two records of a stream of unknown version, which makes it
// look certain to the directory.
func TestReportKeepsDoubt(t *testing.T) {
	is := is.New(t)
	o, pools := newOrigins(), map[string]bool{"p": true}
	o.take(pools)
	d := doubtfulStreams{pool: "p", versions: [2]string{"v1", "v2"}}
	for i := range 2 * maxStreamsPerReport {
		d.ids = append(d.ids, streamversion.ID(i))
	}
	o.addDoubtful(0, time.Minute, d)
	o.add(0, time.Minute, beganStream{Record: streamversion.Record{Origin: streamversion.Origin{Pool: "p", Version: "v1"}, ID: 1 << 20}})
	for range 5 {
		records := streamversion.Records{Max: 1000}
		for _, s := range o.take(pools) {
			records.Add(0, time.Minute, s.Record)
		}
		for _, rec := range records.All() {
			is.Equal(rec.ID, streamversion.ID(1<<20))
		}
	}
}
