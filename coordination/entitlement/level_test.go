// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

func TestMaxMinLevel(t *testing.T) {
	for _, tt := range []struct {
		name     string
		demands  []float64
		capacity float64
		want     float64
	}{
		{"no accounts", nil, 10, 10},
		{"no shortage", []float64{1, 2, 3}, 10, 3},
		{"all demand more", []float64{20, 30, 40}, 30, 10},
		{"small demands are covered in full", []float64{1, 2, 30, 40}, 23, 10},
		{"exactly enough", []float64{4, 6}, 10, 6},
		{"no capacity", []float64{4, 6}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(MaxMinLevel(tt.demands, tt.capacity), tt.want)
		})
	}
}

func TestMaxMinLevelCoversTheWholeCapacity(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 10000).Draw(t, "capacity")
		level := MaxMinLevel(demands, capacity)
		served, total := 0.0, 0.0
		for _, d := range demands {
			served += min(d, level)
			total += d
			if got := CoveredFraction(d, level) * d; math.Abs(got-min(d, level)) > 1e-6 {
				t.Fatalf("demand %v at level %v: covered fraction gives %v", d, level, got)
			}
		}
		if want := min(total, capacity); math.Abs(served-want) > 1e-6 {
			t.Fatalf("level covers %v, want %v", served, want)
		}
	})
}
