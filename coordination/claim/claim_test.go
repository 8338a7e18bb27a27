// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
	"github.com/badgerspoke/badgerspoke/protocol"
)

var (
	r1 = Holder{Router: "r1", Boot: 1}
	r2 = Holder{Router: "r2", Boot: 2}
)

func claimOf(h Holder, key string, digest, attempt uint64) Command {
	return Command{Holder: h, Claim: &protocol.Claim{Account: "a", Key: key, Digest: digest, Attempt: attempt}}
}

func settleOf(h Holder, key string, attempt uint64, state protocol.ClaimState, body string) Command {
	return Command{Holder: h, Settle: &protocol.Settle{
		Account: "a", Key: key, Attempt: attempt, State: state, Answer: &protocol.Answer{Status: 200, Body: []byte(body)},
	}}
}

// TestClaimResult checks the state that a claim returns after other commands, also from a
// register that was restored from a snapshot.
func TestClaimResult(t *testing.T) {
	orphan := Command{Holder: r1, Orphan: true}
	ran := settleOf(r1, "k", 1, protocol.ClaimRan, "done")
	tests := []struct {
		name   string
		before []Command
		cmd    Command
		want   protocol.ClaimState
	}{
		{"first", nil, claimOf(r1, "k", 7, 1), protocol.ClaimGranted},
		{"repeated claim command", []Command{claimOf(r1, "k", 7, 1)}, claimOf(r1, "k", 7, 1), protocol.ClaimGranted},
		{"another attempt at the same router", []Command{claimOf(r1, "k", 7, 1)}, claimOf(r1, "k", 7, 2), protocol.ClaimRunning},
		{"at another router", []Command{claimOf(r1, "k", 7, 1)}, claimOf(r2, "k", 7, 1), protocol.ClaimRunning},
		{"another body", []Command{claimOf(r1, "k", 7, 1)}, claimOf(r2, "k", 8, 1), protocol.ClaimMismatch},
		{"after it ran", []Command{claimOf(r1, "k", 7, 1), ran}, claimOf(r2, "k", 7, 1), protocol.ClaimRan},
		{"repeated claim command after it ran", []Command{claimOf(r1, "k", 7, 1), ran}, claimOf(r1, "k", 7, 1), protocol.ClaimRan},
		{"after it did not run", []Command{claimOf(r1, "k", 7, 1), settleOf(r1, "k", 1, protocol.ClaimReleased, "")}, claimOf(r2, "k", 7, 1), protocol.ClaimGranted},
		{"router's lease expired", []Command{claimOf(r1, "k", 7, 1), orphan}, claimOf(r2, "k", 7, 1), protocol.ClaimUnknown},
		{"router's lease expired, settled later", []Command{claimOf(r1, "k", 7, 1), orphan, ran}, claimOf(r2, "k", 7, 1), protocol.ClaimRan},
		{"another router settles", []Command{claimOf(r1, "k", 7, 1), settleOf(r2, "k", 1, protocol.ClaimReleased, "")}, claimOf(r2, "k", 7, 1), protocol.ClaimRunning},
		{"another attempt settles", []Command{claimOf(r1, "k", 7, 1), settleOf(r1, "k", 9, protocol.ClaimReleased, "")}, claimOf(r2, "k", 7, 1), protocol.ClaimRunning},
		{"released after it ran", []Command{claimOf(r1, "k", 7, 1), ran, settleOf(r1, "k", 1, protocol.ClaimReleased, "")}, claimOf(r2, "k", 7, 1), protocol.ClaimRan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			for _, c := range tt.before {
				r.Apply(c)
			}
			image, err := r.MarshalBinary()
			is.NoErr(err)
			restored := New()
			is.NoErr(restored.UnmarshalBinary(image))
			is.Equal(r.Apply(tt.cmd).State, tt.want)
			is.Equal(restored.Apply(tt.cmd).State, tt.want)
		})
	}
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Apply(claimOf(r1, "k", 7, 1))
	r.Apply(settleOf(r1, "k", 1, protocol.ClaimRan, string(make([]byte, MaxAnswerBytes+1))))
	got := r.Apply(claimOf(r2, "k", 7, 1))
	is.Equal(got.State, protocol.ClaimRan)
	is.True(got.Answer == nil)
}

func TestSettledClaimsAreDroppedAfterRetention(t *testing.T) {
	is := is.New(t)
	r := New()
	at := func(c Command, millis int64) protocol.ClaimState { c.Millis = millis; return r.Apply(c).State }
	at(claimOf(r1, "runs", 7, 1), 0)
	at(claimOf(r1, "ends", 7, 1), 0)
	at(settleOf(r1, "ends", 1, protocol.ClaimRan, ""), 1000)
	is.Equal(at(claimOf(r2, "ends", 7, 2), RetentionMillis+999), protocol.ClaimRan)
	is.Equal(at(claimOf(r2, "ends", 7, 2), 5), protocol.ClaimRan) // a clock that moves backwards changes nothing
	is.Equal(at(claimOf(r2, "ends", 7, 2), RetentionMillis+1000), protocol.ClaimGranted)
	is.Equal(at(claimOf(r2, "runs", 7, 2), 9*RetentionMillis), protocol.ClaimRunning) // never dropped while running
	is.Equal(r.Len(), 2)
}

// TestKeyIsGrantedOnce runs random commands of three routers. Between two releases a key must
// be granted to at most one attempt.
func TestKeyIsGrantedOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		r := New()
		granted := map[string]string{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h := Holder{Router: fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "router")), Boot: uint64(rapid.IntRange(1, 2).Draw(t, "boot"))}
			key := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key"))
			attempt := uint64(rapid.IntRange(1, 3).Draw(t, "attempt"))
			claimant := fmt.Sprint(h, attempt)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			default:
				if r.Apply(claimOf(h, key, 7, attempt)).State == protocol.ClaimGranted {
					if other := granted[key]; other != "" && other != claimant {
						t.Fatalf("key %s was granted to %s and to %s", key, other, claimant)
					}
					granted[key] = claimant
				}
			case 3:
				r.Apply(settleOf(h, key, attempt, protocol.ClaimRan, ""))
			case 4:
				if granted[key] == claimant && r.entries[requestKey{"a", key}].State != protocol.ClaimRan {
					delete(granted, key) // released: the request did not run
				}
				r.Apply(settleOf(h, key, attempt, protocol.ClaimReleased, ""))
			case 5:
				r.Apply(Command{Holder: h, Orphan: true})
			}
		}
	})
}

func BenchmarkClaimAndSettle(b *testing.B) {
	r := New()
	i := 0
	for b.Loop() {
		i++
		key := fmt.Sprint(i)
		r.Apply(claimOf(r1, key, 7, 1))
		r.Apply(settleOf(r1, key, 1, protocol.ClaimRan, "answer"))
	}
}

// BenchmarkClaimMemory measures the memory and the snapshot bytes of one kept claim with a
// short answer.
func BenchmarkClaimMemory(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heap()
		r := New()
		for i := range n {
			key := fmt.Sprintf("order-%08d", i)
			r.Apply(claimOf(r1, key, 7, 1))
			r.Apply(settleOf(r1, key, 1, protocol.ClaimRan, `{"confirmed":true}`))
		}
		b.ReportMetric(float64(heap()-before)/n, "B/claim")
		image, err := r.MarshalBinary()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(image))/n, "snapshot-B/claim")
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
