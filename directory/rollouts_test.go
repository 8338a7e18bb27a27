// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests complete rollouts with a leader, gateways under load, and servers of two versions.

// propagationTime bounds how long a list takes to reach all connected gateways, and requests in flight
// to arrive.
const propagationTime = 100 * time.Millisecond

// faults are injected into the fleet during a rollout.
var faults = []struct {
	name string
	do   func(x *fleet, v *versionedServers)
}{
	{"none", func(*fleet, *versionedServers) {}},
	{"leader killed", func(x *fleet, _ *versionedServers) { x.awaitLeader().kill() }},
	{"leader cut off", func(x *fleet, _ *versionedServers) {
		l := x.awaitLeader().ip
		x.net.Cut(l)
		time.Sleep(3 * time.Second)
		x.net.Restore(l)
	}},
	{"gateway cut off", func(x *fleet, _ *versionedServers) {
		x.net.Cut(rolloutGatewayIP(0))
		time.Sleep(3 * time.Second)
		x.net.Restore(rolloutGatewayIP(0))
	}},
	{"gateway started again", func(x *fleet, v *versionedServers) {
		x.gateways[rolloutGatewayIP(0)].kill()
		x.startLoadedGateway(rolloutGatewayIP(0), v, rolloutPeriod)
	}},
	{"power of the directory lost", func(x *fleet, _ *versionedServers) {
		x.losePower()
		for _, ip := range x.ips {
			x.startReplica(ip, false)
		}
	}},
	{"connections silent", func(x *fleet, _ *versionedServers) { x.net.SilenceConnections() }},
}

// faultTimes are the times from the order to the fault: in the trial, around the switch, and before
// completion is announced.
var faultTimes = []time.Duration{3 * time.Second, 7300 * time.Millisecond, 8 * time.Second}

// TestGoodVersionCompletes checks that a good version completes in time whatever fails meanwhile. From
// then on no request reaches an old server, since they may stop at once.
func TestGoodVersionCompletes(t *testing.T) {
	for _, fault := range faults {
		for _, at := range faultTimes {
			t.Run(fmt.Sprint(fault.name, " ", at), func(t *testing.T) {
				t.Parallel()
				withFleet(t, 5, func(x *fleet) {
					is := is.New(x.t)
					v := &versionedServers{}
					x.withRollout(v, func() {
						time.Sleep(at)
						fault.do(x, v)
						state, after := x.awaitRolloutEnd(v)
						end := time.Now()
						is.Equal(state, document.RolloutComplete)
						is.True(after <= rolloutTime)
						if fault.name == "none" {
							is.True(after < 10*time.Second)
						}
						time.Sleep(3 * time.Second)
						target, old := v.arrivalsAfter(end.Add(propagationTime))
						x.t.Logf("complete after %v", after)
						is.Equal(old, 0)
						is.True(target > 300)
					})
				})
			})
		}
	}
}

// TestServersWithoutVersionAreReplaced checks that servers that name no version are replaced like those
// of any other.
func TestServersWithoutVersionAreReplaced(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		v := &versionedServers{oldUnnamed: true}
		x.withRollout(v, func() {
			state, _ := x.awaitRolloutEnd(v)
			end := time.Now()
			is.Equal(state, document.RolloutComplete)
			time.Sleep(3 * time.Second)
			target, old := v.arrivalsAfter(end.Add(propagationTime))
			is.Equal(old, 0)
			is.True(target > 300)
		})
	})
}

// TestLossOfTargetServers checks that a crash of one target server during the trial does not roll a
// good version back, and that a version none of whose servers can be reached is rolled back.
func TestLossOfTargetServers(t *testing.T) {
	for _, all := range []bool{false, true} {
		for _, at := range []time.Duration{time.Millisecond, 3 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprint("all ", all, " ", at), func(t *testing.T) {
				withFleet(t, 3, func(x *fleet) {
					is := is.New(x.t)
					v := &versionedServers{unreachableAfter: at, allUnreachable: all}
					x.withRollout(v, func() {
						state, after := x.awaitRolloutEnd(v)
						sent, headroom, _ := v.measureExposure()
						x.t.Logf("%v after %v, %d requests to the target, %.0f below the bound at least", state, after, sent, headroom)
						is.Equal(state == document.RolloutRolledBack, all)
						is.Equal(state == document.RolloutComplete, !all)
						is.True(after <= rolloutTime)
						is.True(!all || headroom >= 0)
					})
				})
			})
		}
	}
}

// TestBadVersionIsRolledBack checks that a bad version is rolled back permanently and within its
// bounds, whatever fails meanwhile.
func TestBadVersionIsRolledBack(t *testing.T) {
	versions := []struct {
		name  string
		fails func(time.Duration) float64
	}{
		{"20 %", func(time.Duration) float64 { return 0.2 }},
		{"60 % after 4 s", func(at time.Duration) float64 {
			if at < 4*time.Second {
				return 0
			}
			return 0.6
		}},
	}
	for _, version := range versions {
		for _, fault := range faults {
			for _, at := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond} {
				t.Run(fmt.Sprint(version.name, " ", fault.name, " ", at), func(t *testing.T) {
					t.Parallel()
					withFleet(t, 5, func(x *fleet) {
						is := is.New(x.t)
						v := &versionedServers{fails: version.fails}
						x.withRollout(v, func() {
							time.Sleep(at)
							fault.do(x, v)
							state, after := x.awaitRolloutEnd(v)
							end := time.Now()
							is.Equal(state, document.RolloutRolledBack)
							is.True(after <= rolloutTime)
							time.Sleep(4 * time.Second)
							target, old := v.arrivalsAfter(end.Add(propagationTime))
							sent, headroom, late := v.measureExposure()
							x.t.Logf("rolled back after %v, %d requests to the target, %.0f below the bound at least", after, sent, headroom)
							is.Equal(target, 0)
							is.True(old > 400)
							is.True(headroom >= 0)
							is.True(late < rolloutBounds.RollbackTime)
						})
					})
				})
			}
		}
	}
}

// TestRolloutTrafficPerGateway checks how many bytes a rollout adds to a gateway's session during the
// trial.
func TestRolloutTrafficPerGateway(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		v := &versionedServers{}
		x.withRollout(v, func() {
			time.Sleep(2 * time.Second)
			n := x.gateways[rolloutGatewayIP(0)]
			sent, reports := n.controlTraffic("out", "usage")
			got, lists := n.controlTraffic("in", "rollouts")
			time.Sleep(4 * time.Second)
			sentThen, reportsThen := n.controlTraffic("out", "usage")
			gotThen, listsThen := n.controlTraffic("in", "rollouts")
			_, after := x.awaitRolloutEnd(v)
			time.Sleep(rolloutTime - after)
			sentEnd, reportsEnd := n.controlTraffic("out", "usage")
			time.Sleep(4 * time.Second)
			sentLast, reportsLast := n.controlTraffic("out", "usage")
			during, without := (sentThen-sent)/(reportsThen-reports), (sentLast-sentEnd)/(reportsLast-reportsEnd)
			x.t.Logf("a report has %d bytes under way and %d without; %d lists in 4 s, %d bytes each",
				during, without, listsThen-lists, (gotThen-got)/max(listsThen-lists, 1))
			is.True(during < without+120)
			is.True(listsThen-lists < 12)
		})
	})
}

// TestRolloutsPrecedeServers checks that a gateway that has just started receives the barred versions
// before any server.
func TestRolloutsPrecedeServers(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		is.NoErr(x.orderRollout(orderTo("v2")))
		l := x.awaitLeader()
		is.NoErr(l.d.AbortRollout(x.t.Context(), "p", 1))
		id := link.Identity{Name: "10.0.2.1:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.1").DialContext}
		session, err := link.Dial(x.t.Context(), l.ip+":7400", id, nil)
		is.NoErr(err)
		defer session.Close()
		is.NoErr(session.Send(x.t.Context(), protocol.Watch{Gateway: id.Name, SupportsRollouts: true}))
		m, err := session.ReceiveWithIdleTimeout(x.t.Context(), time.Second)
		is.NoErr(err)
		list, ok := m.(protocol.Rollouts)
		is.True(ok)
		is.Equal(list.List, []protocol.Rollout{{Pool: "p", Attempt: 1, Barred: []string{"v2"}}})
	})
}

// TestCompletionWaitsForOldServers checks that completion waits, until the time is nearly over, for a
// gateway that does not apply the switch, and for one that still runs a request at an old server.
func TestCompletionWaitsForOldServers(t *testing.T) {
	for _, applies := range []bool{false, true} {
		t.Run(fmt.Sprint("applies ", applies), func(t *testing.T) {
			withFleet(t, 3, func(x *fleet) {
				is := is.New(x.t)
				v := &versionedServers{}
				x.withRollout(v, func() {
					ctx, cancel := context.WithCancel(x.t.Context())
					var session sync.WaitGroup
					session.Go(func() { x.runGatewayAtOldServer(ctx, applies) })
					state, after := x.awaitRolloutEnd(v)
					cancel()
					session.Wait()
					is.Equal(state, document.RolloutComplete)
					is.True(after > rolloutTime*88/100)
					is.True(after < rolloutTime)
				})
			})
		})
	}
}

// runGatewayAtOldServer runs a gateway that, if it applies lists, always runs a request at server b1.
func (x *fleet) runGatewayAtOldServer(ctx context.Context, applies bool) {
	is := is.New(x.t)
	id := link.Identity{Name: "10.0.2.9:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.9").DialContext}
	l, err := link.Dial(ctx, x.awaitLeader().ip+":7400", id, nil)
	is.NoErr(err)
	defer l.Close()
	is.NoErr(l.Send(ctx, protocol.Watch{Gateway: id.Name, SupportsRollouts: true}))
	var u protocol.Usage
	for ctx.Err() == nil {
		m, err := l.ReceiveWithIdleTimeout(ctx, time.Second)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case protocol.Servers:
			for _, s := range m.Set {
				if s.ID == "b1" && applies {
					u.Loads = []protocol.ServerLoad{{Handle: s.Handle, Requests: 1}}
				}
			}
		case protocol.Rollouts:
			if applies {
				u.AppliedRollouts = m.Seq
			}
		case protocol.Fleet:
			u.Seq++
			_ = l.Send(ctx, u) // fails when the test is over
		}
	}
}
