// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests which condemned requests a gateway sends again.

// TestProbeUsesUpItsGrant checks that a gateway reports what it refuses, and that a grant of the leader lets one request
// through, and for a short time only. A verdict on parts that is provisional promises that the request has not run.
func TestProbeUsesUpItsGrant(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		k := quarantine.Part{Pool: "plain", Name: "bad"}.Key()
		list := protocol.Quarantine{Whole: true, CondemnedParts: []protocol.CondemnedParts{{Parts: [][]byte{k[:]}}}}
		send := func() reply { return x.request("/again/x", "Shared", "bad") }
		x.g.suspicions.applyList(list)
		is.Equal(send().status, 400)
		list.Provisional = [][]byte{k[:]}
		x.g.suspicions.applyList(list)
		got := send()
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Retry-After"), "1.000")
		is.Equal(x.nextReport().Refused, [][]byte{k[:]})
		is.Equal(len(x.nextReport().Refused), 0)

		grant := protocol.Quarantine{Probes: [][]byte{k[:]}}
		x.g.suspicions.applyList(grant)
		time.Sleep(probeGrantTime)
		is.Equal(send().status, 503)
		is.Equal(x.servers.count(), 0)
		x.g.suspicions.applyList(grant)
		x.servers.set("10.0.5.0:80", breaksConnection)
		is.Equal(send().status, 502) // sent once
		is.Equal(send().status, 503)
		is.Equal(x.servers.count(), 1)
		x.g.suspicions.applyList(grant)
		x.servers.set("10.0.5.0:80", answers(200, "done", 0))
		is.Equal(send().status, 200)
		is.Equal(x.nextReport().BegunParts, [][]byte{k[:]}) // the leader releases it
	}, answers(200, "done", 0))
}

// TestGatewayWithoutLeaderProbes checks that a verdict of a gateway without a leader ends by itself.
func TestGatewayWithoutLeaderProbes(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		for i := range 3 {
			at := fmt.Sprintf("10.0.5.%d:80", i)
			x.g.crashDetector.add(quarantine.TimedLoss{At: x.g.now(), Loss: quarantine.Loss{
				Key: requestKey("/again/deadly"), Pool: "plain", Server: fmt.Sprint("p", i), Address: at, RunTime: 50 * time.Millisecond, PoolAnswering: true,
			}})
			x.servers.stop(at)
			time.Sleep(time.Second)
		}
		before := x.servers.count()
		for range 55 {
			is.Equal(x.request("/again/deadly").status, 400)
			time.Sleep(time.Second)
		}
		is.Equal(x.servers.count(), before)
		time.Sleep(10 * time.Second)
		is.Equal(x.request("/again/deadly").status, 200) // the probe
		is.Equal(x.request("/again/deadly").status, 200)
	}, answers(200, "done", 0), answers(200, "done", 0), answers(200, "done", 0), answers(200, "done", 0))
}
