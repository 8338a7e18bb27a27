// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// This file tests which requests a stopping gateway sends to servers, and how the others end.

// stop stops the gateway as a process does, within its grace period of 8 s, and returns a channel
// that receives how long that took.
func (x *fixture) stop() <-chan time.Duration {
	ended, began := make(chan time.Duration, 1), time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), x.g.cfg.Grace)
		defer cancel()
		x.g.Stop(ctx)
		ended <- time.Since(began)
	}()
	return ended
}

// isStopping reports whether a reply refuses a request for the gateway's stop.
func (r reply) isStopping() bool {
	return r.status == 503 && strings.Contains(r.body, "stopping") && r.header.Get("Connection") == "close" && r.header.Get("Retry-After") != ""
}

// TestStoppedGatewaySendsNothing guards against requests that are sent to a server although the gateway has decided to
// end, and are cut off when its connections are closed.
func TestStoppedGatewaySendsNothing(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		<-x.stop()
		got := x.request("/once/x", "Patience", "1000")
		is.True(got.isStopping())
		is.Equal(x.servers.count(), 0)
	}, answers(200, "fine", 0))
}

// TestRequestsArriveWhileGatewayEnds guards against requests between the last check for running ones and the end: each
// is either answered by a server before the end, or refused.
func TestRequestsArriveWhileGatewayEnds(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		began, ended := time.Now(), x.stop()
		var end time.Duration
		var group sync.WaitGroup
		group.Go(func() { end = <-ended })
		finished, replies := make([]time.Duration, 500), make([]reply, 500)
		for i := range replies {
			group.Go(func() {
				time.Sleep(2700*time.Millisecond + time.Duration(i)*100*time.Microsecond + 30*time.Microsecond) // none runs at whole milliseconds
				replies[i] = x.request(fmt.Sprintf("/once/%d", i), "Patience", "1000")
				finished[i] = time.Since(began)
			})
		}
		group.Wait()
		served := 0
		for i, r := range replies {
			is.True(r.status == 200 && finished[i] <= end || r.isStopping())
			if r.status == 200 {
				served++
			}
		}
		is.Equal(x.servers.count(), served) // nothing that was refused has been sent
	}, answers(200, "fine", 50*time.Microsecond))
}

// slowReader delivers one byte after a while.
type slowReader struct{ wait time.Duration }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.wait)
	return copy(b, "x"), nil
}

// TestStopRefusesRequestsThatBecomeReadyLate guards against requests that are admitted early in a stop, are sent to a
// server late in it, because their body or a server with capacity comes late, and are cut off at its end.
func TestStopRefusesRequestsThatBecomeReadyLate(t *testing.T) {
	const capacity = 2 // requests that the server takes at a time
	for name, tt := range map[string]struct {
		running int // when the request arrives, for 5 s
		send    func(x *fixture) reply
	}{
		"slow body":   {0, func(x *fixture) reply { return x.requestWithBody(slowReader{5 * time.Second}, 1) }},
		"busy server": {capacity, func(x *fixture) reply { return x.request("/once/late") }},
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.allowLongRequests()
				var group sync.WaitGroup
				for range tt.running {
					group.Go(func() { x.request("/once/x", "Patience", "6000") })
				}
				synctest.Wait()
				is.Equal(x.servers.count(), tt.running)
				ended := x.stop()
				time.Sleep(time.Second)
				is.True(tt.send(x).isStopping())
				is.Equal(x.servers.count(), tt.running)
				group.Wait()
				<-ended
			}, answers(200, "fine", 5*time.Second))
		})
	}
}

// allowLongRequests brings a document into force whose requests may take and wait for 20 s, at servers that take two
// of them.
func (x *fixture) allowLongRequests() {
	d := testDocument()
	d.Number++
	d.Pools[0].Connections = 1 // a gateway uses at least two
	for i := range d.Routes {
		d.Routes[i].Timeout, d.Routes[i].Objective = 20*time.Second, 20*time.Second
	}
	x.g.apply(d)
}

// TestCutOffAnswersRequests guards against requests that get no answer at the end of the grace period: a request that
// may have run is told so, and a stream that has begun is cut off.
func TestCutOffAnswersRequests(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowLongRequests()
		var group sync.WaitGroup
		var once, stream reply
		group.Go(func() { once = x.request("/once/x") })
		time.Sleep(time.Millisecond)
		x.servers.set("10.0.5.0:80", streams(piece{text: event(1)}, piece{text: event(2), after: time.Hour}))
		group.Go(func() { stream = x.request("/stream/x") })
		time.Sleep(time.Millisecond)
		took := <-x.stop()
		group.Wait()
		is.Equal(once.status, 504)
		is.Equal(once.header.Get("Retry-After"), "") // nothing promises that it has not run
		is.Equal(stream.status, 200)
		is.True(stream.cut)
		is.True(once.took < 7500*time.Millisecond && stream.took < 7500*time.Millisecond)
		is.True(took > 7*time.Second && took < 7500*time.Millisecond) // 0.88 of the grace, and the time to answer
	}, hangs)
}
