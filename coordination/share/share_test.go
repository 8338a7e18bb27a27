// SPDX-License-Identifier: Apache-2.0

package share

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
	"github.com/badgerspoke/badgerspoke/protocol"
)

func queueOf(shares map[string]float64) *Queue {
	q := NewQueue(Limits{})
	for name, s := range shares {
		q.SetAccount(name, s, Limits{})
	}
	return q
}

// serveNext starts the next request at the given cost and returns its value.
func serveNext(q *Queue, cost float64) any {
	t, _ := q.Next()
	if t == nil {
		return nil
	}
	q.Start(t, cost)
	q.Finish(t.Account)
	return t.Value
}

func push(t testing.TB, q *Queue, r Request) *Ticket {
	t.Helper()
	ticket, err := q.Push(r)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func TestServedInProportionToShares(t *testing.T) {
	is := is.New(t)
	q := queueOf(map[string]float64{"a": 3, "b": 1})
	for range 100 {
		push(t, q, Request{Account: "a", Value: "a"})
		push(t, q, Request{Account: "b", Value: "b"})
	}
	got := map[any]int{}
	for range 40 {
		got[serveNext(q, 10)]++
	}
	is.Equal(got["a"], 30)
	is.Equal(got["b"], 10)
	q.SetAccount("b", 3, Limits{}) // a change of share affects later charges only
	clear(got)
	for range 40 {
		got[serveNext(q, 10)]++
	}
	is.Equal(got["a"], 20)
}

func TestFlowsOfAnAccountAreServedFairly(t *testing.T) {
	is := is.New(t)
	q := queueOf(map[string]float64{"a": 1})
	for range 50 {
		push(t, q, Request{Account: "a", Flow: "loud", Value: "loud"})
	}
	push(t, q, Request{Account: "a", Flow: "quiet", Value: "quiet"})
	is.Equal(serveNext(q, 5), "loud")
	is.Equal(serveNext(q, 5), "quiet") // not after all requests of loud
}

func TestNumberOfFlowsIsBounded(t *testing.T) {
	is := is.New(t)
	q := queueOf(map[string]float64{"a": 1})
	push(t, q, Request{Account: "a", Flow: "keeps the account busy"}) // idle flows are dropped once no flow waits
	for i := range 5 * maxFlows {
		ticket := push(t, q, Request{Account: "a", Flow: fmt.Sprint(i)})
		q.Cancel(ticket)
	}
	is.True(len(q.accounts["a"].flows) <= maxFlows+1)
}

func TestPushFailsBeyondALimit(t *testing.T) {
	tests := []struct {
		name  string
		limit Limits
		total Limits
		push  []int64 // bytes per request
		want  string  // the limit that the last request exceeds
	}{
		{"count of the account", Limits{Waiting: 2}, Limits{}, []int64{1, 1, 1}, "waiting requests of the account"},
		{"bytes of the account", Limits{Bytes: 10}, Limits{}, []int64{6, 5}, "waiting bytes of the account"},
		{"count of the router", Limits{}, Limits{Waiting: 1}, []int64{1, 1}, "waiting requests of the router"},
		{"bytes of the router", Limits{}, Limits{Bytes: 10}, []int64{10, 1}, "waiting bytes of the router"},
		{"none", Limits{Waiting: 3, Bytes: 3}, Limits{Waiting: 3, Bytes: 3}, []int64{1, 1, 1}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := NewQueue(tt.total)
			q.SetAccount("a", 1, tt.limit)
			var err error
			for i, b := range tt.push {
				if _, err = q.Push(Request{Account: "a", Bytes: b}); err != nil {
					is.Equal(i, len(tt.push)-1)
				}
			}
			var full QueueFullError
			is.Equal(errors.As(err, &full), tt.want != "")
			is.Equal(full.Limit, tt.want)
		})
	}
	_, err := NewQueue(Limits{}).Push(Request{Account: "x"})
	if !errors.As(err, new(UnknownAccountError)) {
		t.Fatalf("pushing for an unknown account: got error %v", err)
	}
}

func TestRunningLimitDelaysTheNextRequest(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Limits{})
	q.SetAccount("a", 1, Limits{Running: 1})
	first, second := push(t, q, Request{Account: "a"}), push(t, q, Request{Account: "a"})
	q.Start(first, 1)
	none, _ := q.Next()
	is.Equal(none, nil)
	q.Finish("a")
	resumed, _ := q.Next()
	is.Equal(resumed, second)
	is.True(second.element != nil)
}

func TestExpireAndCancelRemoveRequests(t *testing.T) {
	is := is.New(t)
	q := queueOf(map[string]float64{"a": 1})
	late := push(t, q, Request{Account: "a", Deadline: 3 * time.Second})
	soon := push(t, q, Request{Account: "a", Deadline: time.Second})
	never := push(t, q, Request{Account: "a"})
	is.Equal(q.Expire(2*time.Second), []*Ticket{soon})
	is.True(q.Cancel(late))
	is.True(!q.Cancel(late)) // a second time
	is.Equal(len(q.Expire(time.Hour)), 0)
	is.Equal(q.Waiting(), 1)
	is.True(never.element != nil)
}

func TestMeterChargesTheFinalCost(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var m Meter
		total := m.Start(rapid.Float64Range(0, 1000).Draw(t, "estimate"))
		cost := 0.0
		for range rapid.IntRange(0, 5).Draw(t, "steps") {
			cost += rapid.Float64Range(0, 500).Draw(t, "step")
			total += m.Progress(cost)
			if total < cost-1e-6 {
				t.Fatalf("charged %v for a cost of %v so far", total, cost)
			}
		}
		final := rapid.Float64Range(0, 3000).Draw(t, "final")
		total += m.Finish(final)
		if d := total - final; d > 1e-6 || d < -1e-6 {
			t.Fatalf("charged %v in total for a final cost of %v", total, final)
		}
	})
}

// TestVirtualTimeMatchesTheAllocator interleaves reports and fleet-wide virtual times in random
// orders. After all have arrived, the router's virtual time must equal the allocator's.
func TestVirtualTimeMatchesTheAllocator(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		q := queueOf(map[string]float64{"a": 2})
		var arrived, seq uint64
		allocator := 0.0
		var inFlight []protocol.AccountReport
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				q.Charge("a", rapid.Float64Range(-5, 50).Draw(t, "cost"))
			case 1:
				if c := q.TakeChanges(seq + 1); len(c) > 0 {
					seq++
					inFlight = append(inFlight, c...)
				}
			case 2:
				if len(inFlight) > 0 {
					allocator += inFlight[0].Service / 2
					inFlight = inFlight[1:]
					arrived++
				}
				q.SetVirtualTime("a", allocator, arrived)
			}
		}
		inFlight = append(inFlight, q.TakeChanges(seq+1)...)
		for _, c := range inFlight {
			allocator += c.Service / 2
			arrived++
		}
		q.SetVirtualTime("a", allocator, arrived)
		if d := q.accounts["a"].virtualTime - allocator; d > 0.1 || d < -0.1 { // the unreported remainder of rounding
			t.Fatalf("router has virtual time %v, allocator %v", q.accounts["a"].virtualTime, allocator)
		}
	})
}

// BenchmarkQueue measures single operations with 5,800 accounts and 100,000 waiting requests.
func BenchmarkQueue(b *testing.B) {
	q := NewQueue(Limits{})
	const accounts, waiting = 5800, 100_000
	for i := range accounts {
		q.SetAccount(fmt.Sprint(i), 1, Limits{})
	}
	tickets := make([]*Ticket, waiting)
	for i := range tickets {
		tickets[i] = push(b, q, Request{Account: fmt.Sprint(i % accounts), Deadline: time.Duration(i + 1)})
	}
	b.Run("push+cancel", func(b *testing.B) {
		for b.Loop() {
			q.Cancel(push(b, q, Request{Account: "17", Deadline: time.Hour}))
		}
	})
	b.Run("start+push", func(b *testing.B) {
		for b.Loop() {
			t, _ := q.Next()
			q.Start(t, 10)
			q.Finish(t.Account)
			push(b, q, Request{Account: t.Account, Deadline: time.Hour})
		}
	})
	b.Run("charge", func(b *testing.B) {
		for b.Loop() {
			q.Charge("17", 1)
		}
	})
}
