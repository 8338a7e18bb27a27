// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/directory"
)

// These tests guard against a part of prompts that crashes every server that begins to answer a request
// with it. The requests come at any gateway, no two alike, among sound ones that share their other parts.

// crashingPartPeriod is the time between two requests with a crashing part.
const crashingPartPeriod = 60 * time.Millisecond

// TestCrashingPartDuringFaults checks that at most three requests with a crashing part begin later than
// contactTime after the fifth crash, whatever fails meanwhile, and that sound requests are served.
func TestCrashingPartDuringFaults(t *testing.T) {
	for _, fault := range []struct {
		name   string
		inject func(x *fleet, l *partLoad)
		delay  time.Duration // from the first request to inject
		period time.Duration // between two requests with a crashing part
		parts  []string
	}{
		{name: "none", period: crashingPartPeriod},
		{name: "rare requests", period: 400 * time.Millisecond},
		{name: "two parts", period: crashingPartPeriod, parts: []string{"deadly-a", "deadly-b"}},
		{
			name: "the leader is killed after some crashes", delay: 200 * time.Millisecond, period: crashingPartPeriod,
			inject: func(x *fleet, _ *partLoad) { x.awaitLeader().kill() },
		},
		{
			name: "the leader is killed later", delay: 2 * time.Second, period: crashingPartPeriod,
			inject: func(x *fleet, _ *partLoad) { x.awaitLeader().kill() },
		},
		{
			name: "gateways are restarted", delay: 300 * time.Millisecond, period: crashingPartPeriod,
			inject: func(x *fleet, l *partLoad) {
				for i := range partGateways {
					x.gateways[gatewayIP(i)].kill()
					l.startGateway(i)
				}
			},
		},
		{
			name: "power of everything is lost", delay: 4 * time.Second, period: crashingPartPeriod,
			inject: func(x *fleet, l *partLoad) {
				for i := range partGateways {
					x.gateways[gatewayIP(i)].kill()
				}
				x.losePower()
				for _, ip := range x.ips {
					x.startReplica(ip, false)
				}
				for i := range partGateways {
					l.startGateway(i)
				}
			},
		},
		{
			name: "connections between nodes are silent", delay: 200 * time.Millisecond, period: crashingPartPeriod,
			inject: func(x *fleet, _ *partLoad) { x.net.SilenceConnections() },
		},
		{
			name: "servers crash by themselves", period: crashingPartPeriod,
			inject: func(_ *fleet, l *partLoad) {
				for i := range 20 {
					l.m.crash(serverAddress([]string{"b1", "b4", "b7", "b10"}[i%4]))
					time.Sleep(500 * time.Millisecond)
				}
			},
		},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) {
				m := x.startCrashingServers(12, 100*time.Millisecond)
				x.withPartLoad(m, func(l *partLoad) {
					if fault.parts == nil {
						fault.parts = []string{"deadly"}
					}
					if fault.inject != nil {
						go func() {
							time.Sleep(fault.delay)
							fault.inject(x, l)
						}()
					}
					began := time.Now()
					l.sendCrashing(fault.period, 14*time.Second, fault.parts...)
					l.checkContained(is.New(x.t), began, fault.parts...)
				})
			})
		})
	}
}

// TestCrashingPartInTwoRegions checks the same where gateways behind relays report crashes and receive the
// list with some delay.
func TestCrashingPartInTwoRegions(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		x.electLeaderIn(north)
		for i := range partGateways {
			x.place(gatewayIP(i), []string{north, south}[i%2])
		}
		m := x.startCrashingServers(12, 100*time.Millisecond)
		m.halls = []string{north, south}
		x.withPartLoad(m, func(l *partLoad) {
			began := time.Now()
			l.sendCrashing(crashingPartPeriod, 12*time.Second, "deadly")
			l.checkContained(is.New(x.t), began, "deadly")
		})
	})
}

// TestReleaseOfCondemnedPart checks that an operator can list and release a condemned part, and that it is
// condemned again after more crashes.
func TestReleaseOfCondemnedPart(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		m := x.startCrashingServers(12, 100*time.Millisecond)
		x.withPartLoad(m, func(l *partLoad) {
			l.sendCrashing(crashingPartPeriod, 2*time.Second, "deadly")
			d := x.awaitLeader().d
			condemned, err := d.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 1)
			is.Equal(condemned[0].Parts, []string{"deadly"})
			is.Equal(condemned[0].Pool, "p")
			is.True(len(condemned[0].Servers) >= 3)
			k, ok := quarantine.KeyFrom(condemned[0].Key)
			is.True(ok)
			before, _ := l.countLate("deadly")
			is.NoErr(d.Release(x.t.Context(), k))
			is.Equal(d.Release(x.t.Context(), k), error(directory.NotCondemned{Key: k.String()}))
			time.Sleep(time.Second)
			l.sendCrashing(crashingPartPeriod, 2*time.Second, "deadly")
			after, _ := l.countLate("deadly")
			t.Logf("begun %d times, and %d times after the release", before, after-before)
			is.True(after-before >= 3)
			condemned, err = d.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 1)
		})
	})
}

// TestAnswerReleasesCondemnedPart checks that a condemned part which turns out to be harmless, because a
// request that was running has been answered, is released at all gateways and in the log.
func TestAnswerReleasesCondemnedPart(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		m := x.startCrashingServers(12, 100*time.Millisecond)
		x.withPartLoad(m, func(l *partLoad) {
			l.sendCrashing(crashingPartPeriod, 2*time.Second, "deadly")
			k := quarantine.Part{Pool: "p", Name: "deadly"}.Key()
			is.NoErr(x.awaitLeader().d.ReportPartBegun(x.t.Context(), k))
			time.Sleep(time.Second)
			condemned, err := x.awaitLeader().d.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 0)
			before, _ := l.countLate("deadly")
			l.sendCrashing(crashingPartPeriod, 300*time.Millisecond, "deadly")
			after, _ := l.countLate("deadly")
			is.True(after > before)
		})
	})
}

// TestCrashingPartWithoutDirectory checks that gateways which reach no directory judge by their own crashes.
func TestCrashingPartWithoutDirectory(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		m := x.startCrashingServers(12, 100*time.Millisecond)
		x.withPartLoad(m, func(l *partLoad) {
			for _, ip := range x.ips {
				x.net.Cut(ip)
			}
			time.Sleep(2 * time.Second)
			l.sendCrashing(crashingPartPeriod, 8*time.Second, "deadly")
			began, _ := l.countLate("deadly")
			t.Logf("begun %d times at %d gateways", began, partGateways)
			is.New(x.t).True(began <= partGateways*6) // five crashes at each, and one request under way
		})
	})
}
