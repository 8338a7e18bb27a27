// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestUnderservedAccountIsCoveredMore serves one of two accounts with equal demand half of
// what it is due. Its covered fraction must rise above the other's, and output beyond the
// shares must be reduced. Reports that do not list the accounts served must change nothing.
func TestUnderservedAccountIsCoveredMore(t *testing.T) {
	is := is.New(t)
	demands := []protocol.Demand{{Account: "even", Tokens: 2000}, {Account: "short", Tokens: 2000}}
	parts := func(served ...protocol.Demand) (even, short protocol.Entitlement) {
		d := NewDemandEstimator()
		recomputeFor(d, 10*time.Second, 10000, protocol.Usage{Demands: demands, Served: served, Started: 1500})
		is.Equal(len(d.Entitlements()), 2)
		return d.Entitlements()[0], d.Entitlements()[1]
	}
	even, short := parts()
	is.Equal(even.Part, short.Part)
	fair := even
	even, short = parts(protocol.Demand{Account: "even", Tokens: 750}, protocol.Demand{Account: "short", Tokens: 375})
	is.True(short.Part > 1.4*even.Part)
	is.True(short.Part <= maxFactor*fair.Part)
	is.True(even.Extra < fair.Extra)
}

// TestOverservedAccountIsCoveredLess checks that an account that was served too much is served
// less for a while, and is covered in full again as soon as it demands no more than its share.
func TestOverservedAccountIsCoveredLess(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	report := func(demand, served uint64) protocol.Usage {
		return protocol.Usage{
			Demands: []protocol.Demand{{Account: "big", Tokens: demand}, {Account: "other", Tokens: 3000}},
			Served:  []protocol.Demand{{Account: "big", Tokens: served}, {Account: "other", Tokens: 500}}, Started: 1000,
		}
	}
	recomputeFor(d, 5*time.Second, 10000, report(3000, 1000))
	is.Equal(d.Entitlements()[0].Account, "big")
	is.True(d.Entitlements()[0].Part < 0.75*d.Entitlements()[1].Part)
	recomputeFor(d, 2*time.Second, 10000, report(100, 100))
	is.Equal(len(d.Entitlements()), 1)
	is.Equal(d.Entitlements()[0].Account, "other")
}
