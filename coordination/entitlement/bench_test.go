// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"fmt"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// BenchmarkRecompute adds the reports of 1,600 gateways with ten accounts each and recomputes
// the shares of 5,800 accounts, a tenth of which demand more than their share. A leader does
// this ten times a second.
func BenchmarkRecompute(b *testing.B) {
	const gateways, accounts, each = 1600, 5800, 10
	reports := make([]protocol.Usage, gateways)
	for i := range reports {
		for j := range each {
			n := (i*each + j) % accounts
			tokens := uint64(2000)
			if n%10 == 0 {
				tokens = 20000
			}
			name := fmt.Sprintf("account-%d", n)
			reports[i].Demands = append(reports[i].Demands, protocol.Demand{Account: name, Tokens: tokens})
			reports[i].Served = append(reports[i].Served, protocol.Demand{Account: name, Tokens: min(tokens, 2500)})
			reports[i].Started += min(tokens, 2500)
		}
	}
	d, now := NewDemandEstimator(), time.Second
	for b.Loop() {
		for _, m := range reports {
			d.Add(m)
		}
		now += 100 * time.Millisecond
		d.Recompute(now, 330e6)
	}
}
