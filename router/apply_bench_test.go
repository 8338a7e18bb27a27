// SPDX-License-Identifier: Apache-2.0

package router

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// BenchmarkApply measures the cost of one configuration change for a router with 5,800 accounts,
// 10,000 backend servers and 4 pools, the expected size in two years.
func BenchmarkApply(b *testing.B) {
	var ops []config.Op
	for i := range 5800 {
		a := config.Account{Name: fmt.Sprintf("account-%05d", i), Share: 1}.WithKey(config.HashKey(fmt.Sprint(i)))
		ops = append(ops, config.Op{PutAccount: &a})
	}
	for i := range 10000 {
		ops = append(ops, config.Op{PutServer: &config.Server{
			Name: fmt.Sprintf("engine-%05d", i), Pool: fmt.Sprintf("m%d", i%4), Address: fmt.Sprintf("10.0.%d.%d:8000", i>>8, i&255),
			Kind: config.Engine, Mark: config.Serving, Slots: 178, Models: []string{fmt.Sprintf("m%d", i%4)},
		}})
	}
	cfg, err := config.Config{}.Apply(ops)
	if err != nil {
		b.Fatal(err)
	}
	r := Start(b.Context(), Settings{
		Identity: link.Identity{Name: "r"}, Random: func() uint64 { return 1 }, Metrics: metrics.NewSet(),
		Log: slog.New(slog.DiscardHandler),
	})
	r.apply(cfg)
	i := 0
	for b.Loop() {
		i++
		a := config.Account{Name: "account-00001", Share: float64(i)}
		next, err := cfg.ApplyDelta(config.Delta{From: cfg.Revision(), Steps: [][]config.Op{{{PutAccount: &a}}}})
		if err != nil {
			b.Fatal(err)
		}
		r.apply(next)
		cfg = next
	}
	const changesPerSecond = 28000.0 / 86400
	b.ReportMetric(100*changesPerSecond*b.Elapsed().Seconds()/float64(b.N), "%core-at-28,000/day")
}
