// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests that a stream that its caller takes up at another gateway goes on only at the
// version that began it.

// refusalTime is the longest time until a stream that cannot go on is refused.
const refusalTime = 600 * time.Millisecond

// TestCallersStreamStaysAtItsVersion guards against streams of two versions over a caller's tries: a
// gateway places a stream that began at another gateway like a new request.
func TestCallersStreamStaysAtItsVersion(t *testing.T) {
	two := []string{"v1", "v2", "v1", "v2", "v1", "v2"}
	for _, tt := range []struct {
		name     string
		versions []string
		fault    func(x *fleet, m *streamServers) // after the streams broke
		forget   bool                             // the callers name a request that no gateway knows
		goOn     bool                             // whether the streams go on, or are refused
	}{
		{name: "the gateway is killed", goOn: true, fault: func(x *fleet, _ *streamServers) { x.killGateway(0) }},
		{name: "the second gateway has just started", goOn: true, fault: func(x *fleet, m *streamServers) {
			x.killGateway(0)
			x.killGateway(1)
			x.startStreamGateway(m, gatewayIP(1))
			time.Sleep(500 * time.Millisecond)
		}},
		{name: "the leader is killed", goOn: true, fault: func(x *fleet, _ *streamServers) {
			x.awaitLeader().kill()
			time.Sleep(4 * time.Second)
		}},
		{name: "gateway and leader are killed", goOn: true, fault: func(x *fleet, _ *streamServers) {
			x.killGateway(0)
			x.awaitLeader().kill()
			time.Sleep(4 * time.Second)
		}},
		{name: "the second gateway is cut off", goOn: true, fault: func(x *fleet, _ *streamServers) {
			x.killGateway(0)
			x.net.Cut(gatewayIP(1))
			time.Sleep(2 * time.Second)
		}},
		{name: "there is no leader", goOn: true, fault: func(x *fleet, _ *streamServers) {
			x.killGateway(0)
			x.killMajority()
		}},
		{name: "the stream is unknown, there is no leader", versions: []string{"v1", "v1", "v1"}, forget: true, fault: func(x *fleet, _ *streamServers) {
			x.killMajority()
		}},
		{name: "the stream is unknown", forget: true},
		{name: "the stream is unknown, the second gateway is cut off", versions: []string{"v1", "v1", "v1"}, forget: true, fault: func(x *fleet, _ *streamServers) {
			x.net.Cut(gatewayIP(1))
			time.Sleep(2 * time.Second)
		}},
		{name: "the stream is unknown, one version serves", versions: []string{"v1", "v1", "v1"}, forget: true, goOn: true},
		{name: "the stream is unknown, another version has joined", versions: []string{"v1", "v1", "v1"}, forget: true, fault: func(_ *fleet, m *streamServers) {
			m.setVersions("v1", "v1", "v1", "v2")
			m.announce()
			time.Sleep(300 * time.Millisecond)
		}},
		{name: "the stream is unknown, the other version has left", forget: true, fault: func(_ *fleet, m *streamServers) {
			for _, id := range []string{"b1", "b3", "b5"} {
				m.depart(id)
			}
			time.Sleep(300 * time.Millisecond)
		}},
		{name: "the stream is unknown, the other version has left before leader and gateway changed", forget: true, fault: func(x *fleet, m *streamServers) {
			for _, id := range []string{"b1", "b3", "b5"} {
				m.depart(id)
			}
			x.killGateway(1)
			x.awaitLeader().kill()
			x.startStreamGateway(m, gatewayIP(1))
			time.Sleep(4 * time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, voters, func(x *fleet) {
				is := is.New(x.t)
				versions := two
				if tt.versions != nil {
					versions = tt.versions
				}
				x.withStreams(2, versions, func(m *streamServers) {
					all := x.beginStreams(20, gatewayIP(0), 400*time.Millisecond)
					time.Sleep(200 * time.Millisecond)
					if tt.fault != nil {
						tt.fault(x, m)
					}
					if tt.forget {
						for _, s := range all {
							s.begunBy = "unknown"
						}
					}
					complete, refused, mixed := resume(all, gatewayIP(1))
					is.Equal(mixed, 0)
					if tt.goOn {
						is.Equal(complete, len(all))
						return
					}
					is.Equal(refused, len(all))
					for _, s := range all {
						is.True(s.took < refusalTime)
					}
				})
			})
		})
	}
}

// TestStreamIsRefusedOnceItsVersionHasLeft guards against streams that go on at another version
// because none of their own serves any more, while streams of the versions that serve go on.
func TestStreamIsRefusedOnceItsVersionHasLeft(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(x *fleet, m *streamServers) // to the servers of v1, b1 and b3
	}{
		{"its servers leave", func(_ *fleet, m *streamServers) {
			m.depart("b1")
			m.depart("b3")
		}},
		{"its hall is taken out of service", func(x *fleet, _ *streamServers) { x.orderHall("odd", true) }},
		{"its servers are back under their identifiers with another version", func(_ *fleet, m *streamServers) {
			time.Sleep(3 * time.Second) // the streams were not begun by the new processes
			m.setVersions("v2", "v2", "v2", "v2")
			m.announce()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, voters, func(x *fleet) {
				is := is.New(x.t)
				x.withStreams(2, []string{"v1", "v2", "v1", "v2"}, func(m *streamServers) {
					m.halls = []string{"even", "odd"}
					m.announce()
					all := x.beginStreams(20, gatewayIP(0), 400*time.Millisecond)
					time.Sleep(200 * time.Millisecond)
					tt.fault(x, m)
					time.Sleep(300 * time.Millisecond)
					began := 0
					for _, s := range all {
						if s.versions[0] == "v1" {
							began++
						}
					}
					complete, refused, mixed := resume(all, gatewayIP(1))
					is.Equal(mixed, 0)
					is.Equal(refused, began)
					is.Equal(complete, len(all)-began)
					is.True(began > 0 && began < len(all)) // both versions began streams
				})
			})
		})
	}
}

// TestCallersStreamStaysAtItsVersionAcrossRegions is TestCallersStreamStaysAtItsVersion for a
// stream that is taken up in another region, whose gateways are served by another replica.
func TestCallersStreamStaysAtItsVersionAcrossRegions(t *testing.T) {
	withTwoRegions(t, 10<<20, func(x *fleet) {
		is := is.New(x.t)
		for _, first := range []int{0, 1} {
			x.place(gatewayIP(2*first), north)
			x.place(gatewayIP(2*first+1), south)
		}
		x.withStreams(4, []string{"v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2"}, func(m *streamServers) {
			for _, between := range [][2]int{{0, 3}, {1, 2}, {0, 2}, {1, 3}} {
				all := x.beginStreams(20, gatewayIP(between[0]), 400*time.Millisecond)
				time.Sleep(500 * time.Millisecond)
				complete, _, mixed := resume(all, gatewayIP(between[1]))
				is.Equal(mixed, 0)
				is.Equal(complete, len(all))
			}
		})
	})
}

// killGateway kills the gateway with a number.
func (x *fleet) killGateway(i int) {
	ip := gatewayIP(i)
	x.gateways[ip].kill()
	x.net.Kill(ip)
}

// killMajority kills at least three of five replicas, the leader among them, and waits until the others
// know.
func (x *fleet) killMajority() {
	x.awaitLeader().kill()
	for _, ip := range x.ips[:3] {
		if n := x.nodes[ip]; n.d != nil {
			n.kill()
		}
	}
	time.Sleep(3 * time.Second)
}

// TestStreamsOfRestartedServersStayAtTheirVersion guards against many streams whose servers restart with another version
// under their identifiers, right after the streams began: all that is known of such a stream is that either version may
// have begun it, and no gateway may learn of one of them alone.
func TestStreamsOfRestartedServersStayAtTheirVersion(t *testing.T) {
	withFleet(t, voters, func(x *fleet) {
		is := is.New(x.t)
		x.withStreams(2, []string{"v1", "v2", "v1", "v2", "v1", "v2"}, func(m *streamServers) {
			all := x.beginStreams(240, gatewayIP(0), 400*time.Millisecond)
			m.setVersions("v2", "v1", "v2", "v1", "v1", "v2")
			m.announce()
			time.Sleep(500 * time.Millisecond)
			x.killGateway(0)
			complete, refused, mixed := resume(all, gatewayIP(1))
			x.t.Logf("%d complete, %d refused, %d of two versions", complete, refused, mixed)
			is.Equal(mixed, 0)
			is.True(complete >= len(all)/4) // those of the servers that did not restart, as far as they are known
		})
	})
}

// TestGatewayOutOfStepMixesNoVersions guards against streams that are taken up at a gateway that was out of step while
// servers of another version joined, and go on at another version there: it knows neither the streams that began at them
// nor that there is another version.
func TestGatewayOutOfStepMixesNoVersions(t *testing.T) {
	for _, tt := range []struct {
		name    string
		resumes func(x *fleet) // before the streams are taken up
		leave   bool           // the new servers, once their streams have begun
	}{
		{name: "cut off until then", resumes: func(x *fleet) { x.net.Restore(gatewayIP(1)) }},
		{name: "still cut off", resumes: func(*fleet) {}},
		{name: "cut off until then, the new servers have left", leave: true, resumes: func(x *fleet) { x.net.Restore(gatewayIP(1)) }},
		{name: "still cut off, the new servers have left", leave: true, resumes: func(*fleet) {}},
		{name: "cut off until a second before", resumes: func(x *fleet) {
			x.net.Restore(gatewayIP(1))
			time.Sleep(time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, voters, func(x *fleet) {
				is := is.New(x.t)
				x.withStreams(2, []string{"v1", "v1"}, func(m *streamServers) {
					x.net.Cut(gatewayIP(1))
					m.setVersions("v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2")
					m.announce()
					time.Sleep(300 * time.Millisecond)
					all := x.beginStreams(60, gatewayIP(0), 400*time.Millisecond)
					if tt.leave {
						m.setVersions("v1", "v1")
						for _, id := range []string{"b3", "b4", "b5", "b6", "b7", "b8"} {
							m.depart(id)
						}
						time.Sleep(300 * time.Millisecond)
					}
					tt.resumes(x)
					complete, refused, mixed := resume(all, gatewayIP(1))
					x.t.Logf("%d complete, %d refused, %d of two versions", complete, refused, mixed)
					is.Equal(mixed, 0)
				})
			})
		})
	}
}
