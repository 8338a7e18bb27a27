// SPDX-License-Identifier: Apache-2.0

package pq

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

type item struct{ value, id, index int }

// TestQueueMatchesListModel adds, reorders, removes and pops random items and compares the queue with
// a list that is searched for its minimum.
func TestQueueMatchesListModel(t *testing.T) {
	less := func(a, b *item) bool { return a.value < b.value || (a.value == b.value && a.id < b.id) }
	seeds.Check(t, func(t *rapid.T) {
		q := New(less, func(x *item) *int { return &x.index })
		var list []*item
		for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.IntRange(0, 3).Draw(t, "step")
			if len(list) == 0 || step == 0 {
				x := &item{value: rapid.IntRange(0, 9).Draw(t, "value"), id: id, index: Absent}
				q.PushOrFix(x)
				list = append(list, x)
				continue
			}
			x := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
			switch step {
			case 1:
				x.value = rapid.IntRange(0, 9).Draw(t, "value")
				q.PushOrFix(x)
			case 2:
				q.Remove(x)
				q.Remove(x) // a second call has no effect
				list = slices.DeleteFunc(list, func(y *item) bool { return y == x })
			case 3:
				got := q.Pop()
				want := slices.MinFunc(list, func(a, b *item) int {
					if less(a, b) {
						return -1
					}
					return 1
				})
				if got != want || q.Has(got) {
					t.Fatalf("popped %+v, want %+v", got, want)
				}
				list = slices.DeleteFunc(list, func(y *item) bool { return y == got })
			}
			if q.Len() != len(list) {
				t.Fatalf("%d items, want %d", q.Len(), len(list))
			}
		}
	})
}
