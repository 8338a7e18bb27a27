// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests what crosses between regions, and what it costs.

// TestBytesBetweenRegions: what the leader and the gateways of another region send each other
// does not grow with those gateways, and a document is in force at all of them at once,
// although the link carries little and every backend server has just announced itself.
func TestBytesBetweenRegions(t *testing.T) {
	const servers, measured = 600, 10 * time.Second
	crossed := map[int]uint64{}
	for _, gateways := range []int{5, 40} {
		inRegions(t, 1_000_000, func(x *fleet) {
			is := is.New(x.t)
			x.leadIn(north)
			x.announceMany(servers)
			all := append(x.gatewaysIn(north, gateways), x.gatewaysIn(south, gateways)...)
			time.Sleep(10 * time.Second)
			before := x.net.Crossed(north, south) + x.net.Crossed(south, north)
			time.Sleep(measured)
			crossed[gateways] = x.net.Crossed(north, south) + x.net.Crossed(south, north) - before
			x.put(1)
			began := time.Now()
			for _, g := range all {
				for g.DocumentNumber() < 1 {
					time.Sleep(10 * time.Millisecond)
				}
			}
			is.True(time.Since(began) < 300*time.Millisecond)
		})
	}
	t.Logf("bytes between regions in %v: %d with 5 gateways in each, %d with 40", measured, crossed[5], crossed[40])
	is.New(t).True(crossed[40] < crossed[5]*3/2)
}
