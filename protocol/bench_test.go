// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"
	"testing"
)

// BenchmarkControl measures the time and bytes of encoding and decoding one report and one view
// with n accounts.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{1, 10, 50} {
		report := Report{ViewSeq: 1000, Returned: []ServerSlots{{Server: "a1", Slots: 1}}}
		view := View{Seq: 1000, ReportSeq: 1000, Granted: []ServerSlots{{Server: "a1", Slots: 1}}}
		pr, pv := PoolReport{Pool: "llm", Idle: 1}, PoolView{Pool: "llm", Short: true, Floor: 123456.7, Lift: 123400.2, Slack: 100, Rate: 600}
		for i := range n {
			pr.Accounts = append(pr.Accounts, AccountReport{Account: fmt.Sprintf("%x", 400+i), Waiting: 3, Running: 4, Started: 2, Service: 123.625})
			pv.Accounts = append(pv.Accounts, AccountView{Account: fmt.Sprintf("%x", 400+i), Ahead: float64(float32(17.3))})
		}
		report.Pools, view.Pools = []PoolReport{pr}, []PoolView{pv}
		for name, m := range map[string]Message{"report": report, "view": view} {
			b.Run(fmt.Sprintf("%s/accounts=%d", name, n), func(b *testing.B) {
				size := 0
				for b.Loop() {
					e, err := Encode(m)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := Decode(e); err != nil {
						b.Fatal(err)
					}
					size = len(e)
				}
				b.ReportMetric(float64(size), "B/message")
			})
		}
	}
}
