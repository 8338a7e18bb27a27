// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/directory"
)

// This file tests requests that crash servers while other faults occur, and harmless requests while
// servers crash by themselves.

// crashingRequestPeriod is the time between two attempts of a crashing request's caller: the second one is
// sent after the first has crashed two servers.
const crashingRequestPeriod = 250 * time.Millisecond

// TestCrashingRequestDuringFaults checks that a fault between the second and the third crash, or after
// it, costs only a few more crashes, and that few requests begin later than verdictTime.
func TestCrashingRequestDuringFaults(t *testing.T) {
	for _, fault := range []struct {
		name      string
		configure func(m *crashingServers)
		inject    func(x *fleet, m *crashingServers, c *callers)
		delay     time.Duration // from the first attempt to inject
		maxStarts int           // bound on how often servers begin the request
	}{
		{name: "streams", configure: func(m *crashingServers) { m.streams = true }, maxStarts: 3},
		{name: "servers keep their identifiers", configure: func(m *crashingServers) { m.keepIDs = true }, maxStarts: 3},
		{
			name: "the leader is killed after two ends", delay: 200 * time.Millisecond, maxStarts: 8,
			inject: func(x *fleet, _ *crashingServers, _ *callers) { x.awaitLeader().kill() },
		},
		{
			name: "the leader is killed after it was condemned", delay: 2 * time.Second, maxStarts: 3,
			inject: func(x *fleet, _ *crashingServers, _ *callers) { x.awaitLeader().kill() },
		},
		{
			name: "a gateway that was at the first ends is killed", delay: 200 * time.Millisecond, maxStarts: 5,
			inject: func(x *fleet, _ *crashingServers, c *callers) {
				x.gateways[gatewayIP(3)].kill()
				c.removeGateway(gatewayIP(3))
			},
		},
		{
			name: "gateways start", delay: time.Second, maxStarts: 3,
			inject: func(x *fleet, m *crashingServers, c *callers) {
				for i := range 4 {
					x.gateways[gatewayIP(i)].kill()
					c.startGateway(m, gatewayIP(i))
				}
			},
		},
		{
			name: "power of the directory is lost", delay: time.Second, maxStarts: 3,
			inject: func(x *fleet, _ *crashingServers, _ *callers) {
				x.losePower()
				for _, ip := range x.ips {
					x.startReplica(ip, false)
				}
			},
		},
		{
			name: "power of everything is lost", delay: 2 * time.Second, maxStarts: 3,
			inject: func(x *fleet, m *crashingServers, c *callers) {
				for i := range 4 {
					x.gateways[gatewayIP(i)].kill()
				}
				x.losePower()
				for _, ip := range x.ips {
					x.startReplica(ip, false)
				}
				for i := range 4 {
					c.startGateway(m, gatewayIP(i))
				}
			},
		},
		{
			name: "connections between nodes are silent", delay: 200 * time.Millisecond, maxStarts: 8,
			inject: func(x *fleet, _ *crashingServers, _ *callers) { x.net.SilenceConnections() },
		},
		{
			name: "no gateway reaches the directory", maxStarts: 16, // three crashes for each of four gateways, and the second attempts
			inject: func(x *fleet, _ *crashingServers, _ *callers) {
				for _, ip := range x.ips {
					x.net.Cut(ip)
				}
				time.AfterFunc(12*time.Second, func() {
					for _, ip := range x.ips {
						x.net.Restore(ip)
					}
				})
			},
		},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) {
				is := is.New(t)
				m := x.startCrashingServers(10, 100*time.Millisecond)
				if fault.configure != nil {
					fault.configure(m)
				}
				x.withCallers(m, 4, func(c *callers) {
					if fault.inject != nil {
						time.AfterFunc(fault.delay, func() { fault.inject(x, m, c) })
					}
					c.repeat("deadly", crashingRequestPeriod, 14*time.Second)
					sent, late := m.countCrashingRequest("deadly")
					others, refused := c.answeredShare("other")
					t.Logf("begun %d times, %d late; served %.4f of others", sent, late, others)
					is.True(sent <= fault.maxStarts)
					is.True(late <= 3)
					is.Equal(refused, 0)
				})
			})
		})
	}
}

// TestManyCrashingRequests checks that each of a series of crashing requests, one every two seconds,
// crashes few servers, and that new ones do not displace those that were condemned before.
func TestManyCrashingRequests(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(12, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			for n := range 8 {
				c.repeat(fmt.Sprint("deadly ", n), crashingRequestPeriod, 2*time.Second)
			}
			for n := range 8 {
				c.repeat(fmt.Sprint("deadly ", n), crashingRequestPeriod, time.Second)
			}
			most := 0
			for n := range 8 {
				sent, late := m.countCrashingRequest(fmt.Sprint("deadly ", n))
				most = max(most, sent)
				is.True(late <= 3)
			}
			others, refused := c.answeredShare("other")
			t.Logf("begun %d times at most, %d servers crashed, served %.4f of others", most, m.countCrashes(), others)
			is.True(most <= 6)
			is.Equal(refused, 0)
		})
	})
}

// TestTwoCrashingRequestsAtOnce checks that two crashing requests are both stopped, although some
// servers run both when they crash.
func TestTwoCrashingRequestsAtOnce(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			other := make(chan bool)
			go func() {
				c.repeat("deadly b", crashingRequestPeriod, 8*time.Second)
				close(other)
			}()
			c.repeat("deadly a", crashingRequestPeriod, 8*time.Second)
			<-other
			a, lateA := m.countCrashingRequest("deadly a")
			b, lateB := m.countCrashingRequest("deadly b")
			t.Logf("begun %d and %d times, %d servers crashed", a, b, m.countCrashes())
			is.True(a <= 6 && b <= 6)
			is.True(lateA <= 3 && lateB <= 3)
		})
	})
}

// TestServerCrashesCondemnNoHarmlessRequest checks that no request is refused while servers crash by
// themselves, one at a time or a third of them at once. One of the requests is sent to all gateways all
// the time.
func TestServerCrashesCondemnNoHarmlessRequest(t *testing.T) {
	for _, tt := range []struct {
		servers, together int
		run               time.Duration
	}{
		{3, 1, 100 * time.Millisecond}, {3, 2, 100 * time.Millisecond}, {60, 1, 100 * time.Millisecond}, {60, 20, 100 * time.Millisecond},
		{3, 1, time.Second}, {60, 20, time.Second}, // longer than callers wait, so that no request is answered
	} {
		servers, together := tt.servers, tt.together
		t.Run(fmt.Sprintf("%d of %d %v", together, servers, tt.run), func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) {
				is := is.New(t)
				m := x.startCrashingServers(servers, tt.run)
				x.withCallers(m, 4, func(c *callers) {
					for n := range 20 {
						var at []string
						for i := range together {
							at = append(at, serverAddress(fmt.Sprint("b", 1+(n*together+i)%servers)))
						}
						m.crash(at...)
						time.Sleep(400 * time.Millisecond)
					}
					time.Sleep(2 * time.Second)
					others, refusedOthers := c.answeredShare("other")
					hot, refusedHot := c.answeredShare("hot")
					t.Logf("%d crashes, served %.4f of others, %.4f of the hot key", m.countCrashes(), others, hot)
					is.Equal(refusedOthers+refusedHot, 0)
					is.True(m.countCrashes() > 10)
					is.Equal(others > 0, tt.run < time.Second)
				})
			})
		})
	}
}

// TestBrokenConnectionsCondemnNoRequest checks that a request is never refused if its connection breaks
// each time while the server keeps running.
func TestBrokenConnectionsCondemnNoRequest(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		m.resets = true
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", crashingRequestPeriod, 5*time.Second)
			sent, _ := m.countCrashingRequest("deadly")
			_, refused := c.answeredShare("deadly")
			is.Equal(sent, 40)
			is.Equal(refused, 0)
		})
	})
}

// TestCondemnedRequestIsRefused checks that the caller of a condemned request is refused at once with a
// status that asks for no retry, and that its other requests are served.
func TestCondemnedRequestIsRefused(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", crashingRequestPeriod, 2*time.Second)
			for _, n := range x.gateways {
				began := time.Now()
				is.Equal(c.send(n.g, "deadly", http.MethodPost, "deadly"), http.StatusBadRequest)
				is.True(time.Since(began) < 10*time.Millisecond)
				is.Equal(c.send(n.g, "other", http.MethodPost, "harmless"), http.StatusOK)
			}
		})
	})
}

// TestCrashingRequestInTwoRegions checks that a crashing request is stopped although gateways behind
// relays report crashes and receive the list with some delay.
func TestCrashingRequestInTwoRegions(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		is := is.New(t)
		x.electLeaderIn(north)
		for i := range 4 {
			x.place(gatewayIP(i), []string{north, south}[i%2])
		}
		m := x.startCrashingServers(10, 100*time.Millisecond)
		m.halls = []string{north, south}
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", crashingRequestPeriod, 6*time.Second)
			sent, late := m.countCrashingRequest("deadly")
			others, refused := c.answeredShare("other")
			t.Logf("begun %d times, %d late; served %.4f of others", sent, late, others)
			is.True(sent <= 6)
			is.Equal(late, 0)
			is.Equal(refused, 0)
			for _, n := range x.gateways {
				is.Equal(c.send(n.g, "deadly", http.MethodPost, "deadly"), http.StatusBadRequest)
			}
		})
	})
}

// TestReleaseOfCondemnedRequest checks that an operator can list and release a condemned request, and
// that it is condemned again after three more crashes.
func TestReleaseOfCondemnedRequest(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", crashingRequestPeriod, 2*time.Second)
			l := x.awaitLeader().d
			condemned, err := l.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 1)
			is.Equal(condemned[0].Pool, "p")
			is.Equal(len(condemned[0].Servers), 3)
			k, ok := quarantine.KeyFrom(condemned[0].Key)
			is.True(ok)
			is.NoErr(l.Release(x.t.Context(), k))
			is.Equal(l.Release(x.t.Context(), k), error(directory.NotCondemned{Key: k.String()}))
			for _, ip := range x.ips {
				if d := x.nodes[ip].d; !d.Leads() {
					is.Equal(d.Release(x.t.Context(), k), error(directory.NotLeader{Leader: x.awaitLeader().ip + ":7400"}))
				}
			}
			time.Sleep(time.Second)
			sent, _ := m.countCrashingRequest("deadly")
			is.Equal(sent, 3)
			c.repeat("deadly", crashingRequestPeriod, 3*time.Second)
			sent, _ = m.countCrashingRequest("deadly")
			t.Logf("begun %d times", sent)
			is.True(sent >= 6 && sent <= 8)
			condemned, err = l.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 1)
		})
	})
}

// TestCrashingRequestDuringRelayLoss checks that gateways report losses again that a lost relay had not
// forwarded, at the cost of a few more crashes.
func TestCrashingRequestDuringRelayLoss(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		is := is.New(t)
		x.electLeaderIn(north)
		for i := range 4 {
			x.place(gatewayIP(i), south)
		}
		m := x.startCrashingServers(10, 100*time.Millisecond)
		m.halls = []string{south}
		x.withCallers(m, 4, func(c *callers) {
			time.AfterFunc(200*time.Millisecond, func() { x.relays(south)[0].kill() })
			c.repeat("deadly", crashingRequestPeriod, 8*time.Second)
			sent, late := m.countCrashingRequest("deadly")
			_, refused := c.answeredShare("other")
			t.Logf("begun %d times, %d late", sent, late)
			is.True(sent <= 8)
			is.Equal(late, 0)
			is.Equal(refused, 0)
		})
	})
}
