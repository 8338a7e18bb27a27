// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests how many requests a whole fleet sends to cold backend servers.

// coldDocument returns a document whose pool limits the request rate of cold servers.
func coldDocument(number uint64, rate float64) document.StoredDocument {
	h := testDocument(number)
	h.Document.Pools[0].ColdRate = rate
	return h
}

// TestColdServersGetAtMostTheirRate returns 21 cold servers of a hall to service under a load of which
// they would get most, and kills the leader meanwhile. No cold server may get more requests than its
// rate in any second, and together they must get more than half of what that rate allows.
func TestColdServersGetAtMostTheirRate(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		const rate, cold = 18, 6 * time.Second
		is.NoErr(x.awaitLeader().d.Put(x.t.Context(), coldDocument(1, rate)))
		halls := map[string]string{}
		for i := range 4 {
			halls[fmt.Sprint("b", i+1)] = "hall-a"
		}
		stop := x.announceServersRepeatedly(halls)
		a := &arrivals{at: map[string][]time.Time{}}
		for i := range 12 {
			x.startLoadedGateway(fmt.Sprintf("10.0.2.%d", i+1), a, 5*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		stop()
		returnedAt := time.Now()
		for i := range 21 {
			is.NoErr(x.announceInHall(fmt.Sprint("b", i+11), "hall-b", cold))
		}
		time.Sleep(2500 * time.Millisecond)
		x.awaitLeader().kill()
		next := x.awaitLeader()
		for i := range 21 {
			if left := cold - time.Since(returnedAt); left > 0 && next.d.Leads() {
				_ = x.announceInHall(fmt.Sprint("b", i+11), "hall-b", left)
			}
		}
		time.Sleep(cold - time.Since(returnedAt))
		synctest.Wait()
		sum := 0
		for i := range 21 {
			all, most := a.countSince(serverAddress(fmt.Sprint("b", i+11)), returnedAt)
			is.True(most <= rate)
			sum += all
		}
		fraction := float64(sum) / (21 * rate * cold.Seconds())
		x.t.Logf("the cold servers got %.2f of what their rate allows", fraction)
		is.True(fraction > 0.5)
	})
}

// TestServersOfReturnedHallCountAsCold checks that the servers of a hall that returns to service are
// treated as cold, since they may have become cold unobserved meanwhile.
func TestServersOfReturnedHallCountAsCold(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		const rate = 18
		is.NoErr(x.awaitLeader().d.Put(x.t.Context(), coldDocument(1, rate)))
		halls := map[string]string{"b1": "hall-a", "b2": "hall-b"}
		stop := x.announceServersRepeatedly(halls)
		defer stop()
		a := &arrivals{at: map[string][]time.Time{}}
		for i := range 6 {
			x.startLoadedGateway(fmt.Sprintf("10.0.2.%d", i+1), a, 10*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		x.orderHall("hall-a", true)
		time.Sleep(2 * time.Second)
		returnedAt := time.Now()
		x.orderHall("hall-a", false)
		time.Sleep(2*announceInterval - 50*time.Millisecond)
		all, most := a.countSince(serverAddress("b1"), returnedAt)
		is.True(most <= rate)
		is.True(all > rate/2)
		time.Sleep(3 * time.Second) // until it has announced that it is warm
		_, most = a.countSince(serverAddress("b1"), returnedAt)
		is.True(most > 2*rate)
	})
}
