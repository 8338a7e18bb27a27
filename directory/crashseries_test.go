// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against requests and parts of prompts that are condemned although they crash no server: servers
// crash in series, for a common cause, and what is requested all the time runs at each of the crashes. They also check
// that what was condemned is served again once it crashes no server.

// setRepaired says whether crashing requests are harmless.
func (m *crashingServers) setRepaired(repaired bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repaired = repaired
}

func (m *crashingServers) isRepaired() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.repaired
}

// TestSeriesOfCrashesCondemnsNoSharedPart crashes one server after the other for 4.5 s, beginning with a third of them
// twice, while all requests share a part of their prompts.
func TestSeriesOfCrashesCondemnsNoSharedPart(t *testing.T) {
	for _, run := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(run.String(), func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) {
				is := is.New(x.t)
				m := x.startCrashingServers(9, run)
				m.downTime = 400 * time.Millisecond
				x.withPartLoad(m, func(l *partLoad) {
					began := time.Now()
					for i := range 2 {
						m.crash(serverAddress(fmt.Sprint("b", 3*i+1)), serverAddress(fmt.Sprint("b", 3*i+2)), serverAddress(fmt.Sprint("b", 3*i+3)))
						time.Sleep(50 * time.Millisecond)
					}
					for i := range 34 {
						time.Sleep(120 * time.Millisecond)
						m.crash(serverAddress(fmt.Sprint("b", 1+i*4%9)))
					}
					time.Sleep(10 * time.Second)
					all, refused := l.soundShare(began, time.Now().Add(-time.Second), false)
					later, _ := l.soundShare(time.Now().Add(-6*time.Second), time.Now().Add(-time.Second), false)
					t.Logf("%d crashes; sound requests served: %.4f, %.4f later; %d refused as condemned", m.countCrashes(), all, later, refused)
					is.Equal(refused, 0)
					is.True(later >= 0.99)
				})
			})
		})
	}
}

// TestSeriesOfCrashesCondemnsNoHotRequest crashes all of three servers within a tenth of a second, twice, beside a
// request that comes all the time.
func TestSeriesOfCrashesCondemnsNoHotRequest(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		m := x.startCrashingServers(3, 78*time.Millisecond)
		m.downTime = 4500 * time.Millisecond
		x.withCallers(m, 4, func(c *callers) {
			for range 2 {
				for i := range 3 {
					m.crash(serverAddress(fmt.Sprint("b", i+1)))
					time.Sleep(37 * time.Millisecond)
				}
				time.Sleep(8 * time.Second)
			}
			hot, refused := c.answeredShare("hot")
			others, _ := c.answeredShare("other")
			_, refusedOthers := c.answeredShare("other")
			t.Logf("%d crashes; served %.4f of the hot request, %d refused as condemned, %d of others", m.countCrashes(), hot, refused, refusedOthers)
			is.Equal(refused+refusedOthers, 0)
			is.True(hot >= 0.9*others)
		})
	})
}

// TestCrashingPartThatWasServedIsContained checks that a part which was served before it crashed servers is contained
// like any other: having been served is no proof.
func TestCrashingPartThatWasServedIsContained(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		m := x.startCrashingServers(12, 100*time.Millisecond)
		x.withPartLoad(m, func(l *partLoad) {
			m.setRepaired(true)
			l.sendCrashing(crashingPartPeriod, 2*time.Second, "deadly")
			m.setRepaired(false)
			began := time.Now()
			l.sendCrashing(crashingPartPeriod, 14*time.Second, "deadly")
			l.checkContained(is.New(x.t), began, "deadly")
		})
	})
}

// TestCondemnedPartIsServedOnceRepaired checks that a condemnation of a part ends by itself, and that a part which still
// crashes servers costs few of them.
func TestCondemnedPartIsServedOnceRepaired(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		m := x.startCrashingServers(12, 100*time.Millisecond)
		x.withPartLoad(m, func(l *partLoad) {
			l.sendCrashing(crashingPartPeriod, 60*time.Second, "deadly")
			began, late := l.countLate("deadly")
			t.Logf("begun %d times, %d late", began, late)
			is.True(late <= 3)
			m.setRepaired(true)
			l.sendCrashing(crashingPartPeriod, 90*time.Second, "deadly")
			is.Equal(l.send(l.gateways[0], "common account-1 companion deadly"), http.StatusOK)
			condemned, err := x.awaitLeader().d.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 0)
		})
	})
}

// TestCondemnedPartIsProbedBehindRelay checks that the leader's permission for a probe reaches a gateway behind a relay, if
// only that one is asked for the part.
func TestCondemnedPartIsProbedBehindRelay(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		for i := range partGateways {
			x.place(gatewayIP(i), []string{north, south}[i%2])
		}
		m := x.startCrashingServers(12, 100*time.Millisecond)
		m.halls = []string{north, south}
		x.withPartLoad(m, func(l *partLoad) {
			l.sendCrashing(crashingPartPeriod, 2*time.Second, "deadly")
			m.setRepaired(true)
			status := 0
			for range 200 {
				status = l.send(l.gateways[1], "common account-1 companion deadly")
				time.Sleep(100 * time.Millisecond)
			}
			is.Equal(status, http.StatusOK)
		})
	})
}

// TestCondemnedRequestIsServedOnceRepaired checks the same of a whole request, which gets its first probe a minute after
// the verdict.
func TestCondemnedRequestIsServedOnceRepaired(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", crashingRequestPeriod, 55*time.Second)
			begun, _ := m.countCrashingRequest("deadly")
			is.Equal(begun, 3)
			c.repeat("deadly", crashingRequestPeriod, 20*time.Second)
			begun, _ = m.countCrashingRequest("deadly")
			is.Equal(begun, 4) // the probe
			m.setRepaired(true)
			c.repeat("deadly", crashingRequestPeriod, time.Minute)
			for _, n := range x.gateways {
				is.Equal(c.send(n.g, "deadly", http.MethodPost, "deadly"), http.StatusOK)
			}
		})
	})
}
