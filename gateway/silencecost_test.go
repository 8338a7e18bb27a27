// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests what the silence of a sound backend server costs apart from the attempts that it delays.

// serverState returns the ejection state of a backend server.
func (x *fixture) serverState(id string) outlier.State {
	x.g.table.mu.Lock()
	defer x.g.table.mu.Unlock()
	return x.g.table.servers[id].health.State(x.g.now())
}

// silentRequests sends requests at once to the only server, and returns when all have begun.
func (x *fixture) silentRequests(paths ...string) (await func()) {
	var all sync.WaitGroup
	for _, path := range paths {
		all.Go(func() { x.request(path) })
	}
	time.Sleep(pause / 2)
	return all.Wait
}

// TestServerIsInUseOnceItSends guards against a sound server that stays ejected after it has gone on, because all
// requests whose silence counted were taken over by another server.
func TestServerIsInUseOnceItSends(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		await := x.silentRequests("/resume/1", "/resume/2", "/resume/3", "/stream/4")
		x.announceServers("plain", x.servers.at("10.0.5.0:80"), resuming(40, 0, nil))
		time.Sleep(silence - 2*pause)
		is.Equal(x.serverState("p0"), outlier.Ejected)
		time.Sleep(6 * pause)
		is.Equal(x.serverState("p0"), outlier.InUse) // it goes on with the fourth stream
		await()
	}, pausing(40, 2, silence))
}

// TestSilentUnlistedServerIsKept guards against a sound server that the directory has not listed again yet, and that
// the gateway drops for a silence.
func TestSilentUnlistedServerIsKept(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.table.mu.Lock()
		x.g.table.servers["p0"].unlisted = true
		x.g.table.mu.Unlock()
		x.silentRequests("/resume/1", "/resume/2", "/resume/3")()
		is.Equal(x.g.table.size(), 1)
		is.Equal(x.request("/resume/4").status, 200)
	}, pausing(6, 2, silence))
}

// TestUnlistedServerThatDiesIsDropped guards against a dead server that is kept although the directory does not list it.
func TestUnlistedServerThatDiesIsDropped(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("plain", hangs, resuming(6, 0, nil))
		x.g.table.mu.Lock()
		x.g.table.servers["p0"].unlisted = true
		x.g.table.mu.Unlock()
		for range 10 {
			x.request("/resume/x")
		}
		x.servers.stop("10.0.5.0:80")
		for range 100 {
			x.request("/resume/x")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(x.g.Servers(), []string{"p1"})
	}, hangs)
}

// TestTimedOutConnectionIsNoCrash guards against an innocent request that is about to be condemned for one crash, because
// connections of two of its attempts timed out: a link that is silent for long is no crash of the server.
func TestTimedOutConnectionIsNoCrash(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(4)
		fine, timesOut := resuming(6, 0, nil), fails(forward.MayHaveRun{Err: syscall.ETIMEDOUT})
		crashes := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			x.servers.stop("10.0.5." + strings.TrimPrefix(call.Header.Get("Backend"), "p") + ":80")
			return nil, forward.MayHaveRun{Err: io.EOF}
		}
		x.announceInOrder([]behaviour{fine, fine, fine, timesOut, timesOut, crashes})
		for _, path := range []string{"/resume/1", "/resume/2", "/resume/3", "/resume/x"} {
			x.request(path)
		}
		time.Sleep(time.Second)
		is.Equal(x.counter(`badgerspoke_gateway_backends_ended_total{pool="plain"}`), uint64(1))
		hint := quarantine.HintOf("t", "POST", "host", "/resume/x", len("a body"))
		key := func() quarantine.Key { return quarantine.KeyOf("t", "POST", "host", "/resume/x", []byte("a body")) }
		e, found := x.g.suspicions.find(hint, key)
		is.True(found)
		is.Equal(e.Failures, 1)
	})
}

// TestServerIsUsedSoonAfterSilence guards against a sound server that looks slow long after a silence, because the answers
// that waited for its end were late.
func TestServerIsUsedSoonAfterSilence(t *testing.T) {
	const (
		servers = 6
		from    = 5 * time.Second
		usedBy  = 10 * time.Second // after the silence
	)
	for _, path := range []string{"/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			behaviours := []behaviour{silentBetween(from, from+silence)}
			for range servers - 1 {
				behaviours = append(behaviours, answers(200, "fine", 10*time.Millisecond))
			}
			withGateway(t, func(x *fixture) {
				var mu sync.Mutex
				rng := rand.New(rand.NewPCG(1, 2))
				x.g.cfg.Random = func() uint64 {
					mu.Lock()
					defer mu.Unlock()
					return rng.Uint64()
				}
				var requests sync.WaitGroup
				answered := map[int]int{} // by the silent server, by second
				began := time.Now()
				for range 30 * 20 {
					requests.Go(func() {
						second := int(time.Since(began).Seconds())
						if x.request(path).body == "new" {
							mu.Lock()
							defer mu.Unlock()
							answered[second]++
						}
					})
					time.Sleep(50 * time.Millisecond)
				}
				requests.Wait()
				x.t.Log(answered)
				got := 0
				for second := int((from + silence + usedBy).Seconds()); second < 30; second++ {
					got += answered[second]
				}
				fair := 20 * (30 - int((from + silence + usedBy).Seconds())) / servers
				if got < fair/2 {
					x.t.Errorf("the server answered %d requests, its part is %d", got, fair)
				}
			}, behaviours...)
		})
	}
}

// TestServerReturnsWithoutRepeatableRequests guards against a sound server that gets no requests any more after it could
// not be reached for a while, because no request of its pool may be repeated.
func TestServerReturnsWithoutRepeatableRequests(t *testing.T) {
	const from = 2 * time.Second
	var began time.Time
	unreachable := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		if now := time.Since(began); now >= from && now < from+silence {
			sleep.For(ctx, 350*time.Millisecond) // the time limit of a connection attempt
			return nil, forward.NotRun{Err: errReset}
		}
		return answers(200, "new", 10*time.Millisecond)(ctx, call)
	}
	fine := answers(200, "fine", 10*time.Millisecond)
	withGateway(t, func(x *fixture) {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(1, 2))
		x.g.cfg.Random = func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return rng.Uint64()
		}
		began = time.Now()
		var requests sync.WaitGroup
		got := 0
		for range 20 * 25 {
			requests.Go(func() {
				last := time.Since(began) > 10*time.Second
				if x.request("/once/x").body == "new" && last {
					mu.Lock()
					defer mu.Unlock()
					got++
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
		requests.Wait()
		x.t.Logf("%d requests of the last 250", got)
		is.New(x.t).True(got > 40) // its part is 83
	}, unreachable, fine, fine)
}
