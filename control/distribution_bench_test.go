// SPDX-License-Identifier: Apache-2.0

package control

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// BenchmarkConfigDistribution measures the cost of sending one accepted change to n routers:
// the bytes for each router and the leader's time to encode all messages.
func BenchmarkConfigDistribution(b *testing.B) {
	m := newReplicatedState(func() {})
	var ops []config.Op
	for i := range 5800 {
		a := config.Account{Name: fmt.Sprintf("account-%05d", i), Share: 1}.WithKey(config.HashKey(fmt.Sprint(i)))
		ops = append(ops, config.Op{PutAccount: &a})
	}
	for i := range 10000 {
		ops = append(ops, config.Op{PutServer: &config.Server{
			Name: fmt.Sprintf("engine-%05d", i), Pool: fmt.Sprintf("m%d", i%4), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			Kind: config.Engine, Mark: config.Serving, Slots: 178, Models: []string{fmt.Sprintf("m%d", i%4)},
		}})
	}
	apply := func(ch config.Change) {
		data, err := cbor.Marshal(command{Change: &ch})
		if err != nil {
			b.Fatal(err)
		}
		if got := m.Apply(data).(changeResult); got.err != nil {
			b.Fatal(got.err)
		}
	}
	apply(config.Change{ID: "all", Ops: ops})
	snapshot, err := cbor.Marshal(m.Config().Snapshot())
	if err != nil {
		b.Fatal(err)
	}
	h := config.HashKey("x")
	a := config.Account{Name: "new-" + hex.EncodeToString(h[:4]), Share: 1}
	apply(config.Change{ID: "one", Base: 1, Ops: []config.Op{{PutAccount: &a}}})
	for _, n := range []int{8, 1600} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				for range n {
					d, _ := m.DeltaFrom(1)
					delta, err := cbor.Marshal(d)
					if err != nil {
						b.Fatal(err)
					}
					e, err := protocol.Encode(protocol.Configure{Delta: delta})
					if err != nil {
						b.Fatal(err)
					}
					size = len(e)
				}
			}
			b.ReportMetric(float64(size), "delta-B/router")
			b.ReportMetric(float64(len(snapshot)), "snapshot-B")
		})
	}
}
