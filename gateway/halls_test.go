// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/coldstart"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests how a gateway treats data halls out of service and cold backend servers, as
// reported by the directory.

// TestRequestsAreRefusedWhileAllHallsAreOut checks that requests are refused at once as not run,
// with a Retry-After, while all halls of a pool are out of service, and that a hall list older than
// the one in force is ignored.
func TestRequestsAreRefusedWhileAllHallsAreOut(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		is.Equal(x.request("/once/1", "Patience", "2000").status, 200)
		x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"z"}, HallChanges: 3})
		r := x.request("/once/1", "Patience", "2000")
		is.Equal(r.status, 503)
		is.Equal(r.took, time.Duration(0))
		is.Equal(r.header.Get("Retry-After"), "1.000")
		is.Equal(x.servers.count(), 1)
		x.g.table.update(protocol.Servers{Term: 1, Whole: true, HallsOut: []string{"y"}, HallChanges: 2}) // from an older leader
		is.Equal(x.request("/once/1", "Patience", "2000").status, 503)
		x.g.table.update(protocol.Servers{Term: 1}) // carries no hall list
		is.Equal(x.request("/once/1", "Patience", "2000").status, 503)
		x.g.table.update(protocol.Servers{Term: 1, HallChanges: 4})
		is.Equal(x.request("/once/1", "Patience", "2000").status, 200)
	}, answers(200, "ok", time.Millisecond))
}

// TestColdServerShareNeedsLease checks that a gateway sends to a cold server only within its share,
// and only while the leader has recently counted one of its reports. Otherwise a gateway that was
// frozen or partitioned would overload the server with an outdated share.
func TestColdServerShareNeedsLease(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		s := x.g.table.servers["p0"].Server
		s.Cold = &protocol.Cold{Remaining: 10 * time.Second, Shares: []protocol.ColdShare{{Gateway: "g", PerSecond: 2}}}
		x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
		ask := func() int { return x.request("/once/1", "Patience", "300").status }
		is.Equal(ask(), 503) // no report has been counted
		x.g.table.takeReport(1)
		x.g.table.updateLoads(x.g.now(), 1, nil)
		is.Equal([]int{ask(), ask(), ask()}, []int{200, 200, 503})
		time.Sleep(coldstart.LeaseDuration)
		is.Equal(ask(), 503) // the lease has expired
		x.g.table.updateLoads(x.g.now(), 1, nil)
		is.Equal(ask(), 503) // a late message about an old report renews nothing
		x.g.table.takeReport(2)
		x.g.table.updateLoads(x.g.now(), 2, nil)
		is.Equal(ask(), 200)
		x.g.table.update(protocol.Servers{Term: 2}) // a new leader that has not assigned shares yet
		x.g.table.takeReport(3)
		x.g.table.updateLoads(x.g.now(), 3, nil)
		is.Equal(ask(), 503)
		time.Sleep(10*time.Second + coldstart.WarmSpread)
		is.Equal(ask(), 200)
	}, answers(200, "ok", time.Millisecond))
}
