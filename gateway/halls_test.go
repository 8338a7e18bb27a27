// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/coldstart"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests what a gateway does with data halls out of service and with cold
// backend servers, as the directory says.

// TestAllHallsOut: what nothing can serve is refused at once, as not run, with a time to
// come back; and a list that is older than the one in force changes nothing.
func TestAllHallsOut(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		is.Equal(x.request("/once/1", "Patience", "2000").status, 200)
		x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"z"}, HallChanges: 3})
		r := x.request("/once/1", "Patience", "2000")
		is.Equal(r.status, 503)
		is.Equal(r.took, time.Duration(0))
		is.Equal(r.header.Get("Retry-After"), "1.000")
		is.Equal(x.servers.count(), 1)
		x.g.table.update(protocol.Servers{Term: 1, Whole: true, HallsOut: []string{"y"}, HallChanges: 2}) // an older leader's
		is.Equal(x.request("/once/1", "Patience", "2000").status, 503)
		x.g.table.update(protocol.Servers{Term: 1}) // says nothing of halls
		is.Equal(x.request("/once/1", "Patience", "2000").status, 503)
		x.g.table.update(protocol.Servers{Term: 1, HallChanges: 4})
		is.Equal(x.request("/once/1", "Patience", "2000").status, 200)
	}, answers(200, "ok", time.Millisecond))
}

// TestColdServerNeedsALease: a gateway sends to a cold server only within its share, and
// only while the leader has counted a report that it sent a moment ago: not when it was
// frozen or cut off meanwhile.
func TestColdServerNeedsALease(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		s := x.g.table.servers["p0"].Server
		s.Cold = &protocol.Cold{Left: 10 * time.Second, Shares: []protocol.ColdShare{{Gateway: "g", PerSecond: 2}}}
		x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
		ask := func() int { return x.request("/once/1", "Patience", "300").status }
		is.Equal(ask(), 503) // no report was counted
		x.g.table.takeReport(1)
		x.g.table.updateLoads(x.g.now(), 1, nil)
		is.Equal([]int{ask(), ask(), ask()}, []int{200, 200, 503})
		time.Sleep(coldstart.Lease)
		is.Equal(ask(), 503) // the lease has run out
		x.g.table.updateLoads(x.g.now(), 1, nil)
		is.Equal(ask(), 503) // what arrives late says nothing new
		x.g.table.takeReport(2)
		x.g.table.updateLoads(x.g.now(), 2, nil)
		is.Equal(ask(), 200)
		x.g.table.update(protocol.Servers{Term: 2}) // another leader, who has divided nothing yet
		x.g.table.takeReport(3)
		x.g.table.updateLoads(x.g.now(), 3, nil)
		is.Equal(ask(), 503)
		time.Sleep(10*time.Second + coldstart.WarmSpread)
		is.Equal(ask(), 200)
	}, answers(200, "ok", time.Millisecond))
}
