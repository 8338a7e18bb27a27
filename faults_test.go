// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
)

// This file brings about the failures that the promises are made for, one
// test each, on a fleet of three control boxes and two or three routers.

func wholeFleet(t *testing.T, routers int) *testFleet {
	f := newFleet(t, 3, routers)
	f.account("hotel", 1)
	f.account("notary", 1)
	f.engine("e1", 1, 4)
	f.engine("e2", 2, 4)
	f.service("s1", 1, 8, 200*time.Millisecond)
	f.settle()
	return f
}

// load keeps requests running on routers until stop is called, and returns
// their answers.
func (f *testFleet) load(n int, r request) (stop func() []answer) {
	done := make(chan struct{})
	out := make(chan []answer, n)
	for range n {
		go func() {
			var mine []answer
			for {
				select {
				case <-done:
					out <- mine
					return
				default:
					mine = append(mine, f.do(r))
				}
			}
		}()
	}
	return func() []answer {
		close(done)
		var all []answer
		for range n {
			all = append(all, <-out...)
		}
		return all
	}
}

// checkWhole checks that every answer is whole, and that there are some.
func checkWhole(is *is.I, all []answer, atLeast int) {
	is.Helper()
	is.True(len(all) >= atLeast)
	for _, a := range all {
		is.NoErr(a.err)
		if a.status != 200 {
			is.Equal(a.body, "") // a whole answer, not a failure
		}
		is.True(strings.HasSuffix(a.body, "data: [DONE]\n\n"))
	}
}

func TestLeaderIsKilledUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		stop1 := f.load(6, completion("r1", "hotel", 20, true))
		stop2 := f.load(2, completion("r2", "notary", 20, true))
		time.Sleep(2 * time.Second)
		old := f.leader()
		f.crash(old)
		time.Sleep(6 * time.Second)
		is.True(f.leader() != old)
		f.account("late", 1) // changes are accepted again
		f.start(old)
		time.Sleep(4 * time.Second)
		checkWhole(is, append(stop1(), stop2()...), 150) // nobody noticed
		f.settle()
	})
}

func TestLeaderIsCutOffInSilence(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		old := f.leader()
		f.net.Cut(f.boxes[old].ip)
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		next := f.leader()
		is.True(next != old)
		is.Equal(f.do(completion("r1", "hotel", 1, true)).status, 200)
		revision := f.status(next).GetRevision()
		f.net.Join(f.boxes[old].ip)
		_, err := f.operators(old).MarkServer(ctx, connect.NewRequest(&operatorv1.MarkServerRequest{
			Change: &operatorv1.Change{Id: "stale", BaseRevision: revision}, Name: "e1", Mark: operatorv1.Mark_MARK_LEAVING,
		}))
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable) // it accepts nothing
		time.Sleep(5 * time.Second)
		is.Equal(f.leader(), next) // and does not disturb
	})
}

func (f *testFleet) status(control string) *operatorv1.GetStatusResponse {
	resp, err := f.operators(control).GetStatus(context.Background(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		f.t.Fatalf("status of %s: %v", control, err)
	}
	return resp.Msg
}

func TestRouterIsPartitionedAndRejoins(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		long := f.startAll(completion("r1", "hotel", 400, true)) // 8 s
		time.Sleep(500 * time.Millisecond)
		for name := range f.replicas { // cut off from control, not from its servers and callers
			f.net.Cut(f.boxes[name].ip)
		}
		time.Sleep(3500 * time.Millisecond)
		is.True(!f.boxes["r1"].box.Ready())
		a := f.do(completion("r1", "hotel", 1, true))
		is.Equal(a.status, 503)
		is.Equal(a.outcome, "not-run")
		checkWhole(is, long(), 1) // what ran goes on to its end
		for name := range f.replicas {
			f.net.Join(f.boxes[name].ip)
		}
		f.settle()
		is.Equal(f.do(completion("r1", "hotel", 1, true)).status, 200)
	})
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		long := f.startAll(completion("r1", "hotel", 500, true), completion("r1", "hotel", 500, true),
			completion("r2", "hotel", 500, true), completion("r2", "hotel", 500, true)) // 10 s
		stop1 := f.load(2, completion("r1", "hotel", 5, true))
		stop2 := f.load(2, completion("r2", "notary", 5, true))
		time.Sleep(time.Second)
		f.mark("e1", operatorv1.Mark_MARK_LEAVING)
		f.net.Cut(f.boxes["r2"].ip) // hears nothing of it, and reaches no server either
		time.Sleep(3 * time.Second)
		before := f.engines["e1"].Runs()
		f.net.Join(f.boxes["r2"].ip)
		time.Sleep(4 * time.Second)
		is.Equal(f.engines["e1"].Runs(), before) // nothing new after 3 s, from anybody
		for _, a := range append(stop1(), stop2()...) {
			is.True(a.status == 200 || a.outcome == "not-run")
		}
		checkWhole(is, long(), 4) // and what ran there ended whole
		time.Sleep(2 * time.Second)
		for _, s := range f.status(f.leader()).GetServers() {
			if s.GetName() == "e1" {
				is.True(s.GetEmpty())
			}
		}
	})
}

func TestPlannedStopsCutOffNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		running := f.startAll(completion("r1", "hotel", 200, true), completion("r1", "notary", 200, true)) // 4 s
		stop2 := f.load(4, completion("r2", "hotel", 10, true))
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() { f.stop("r1"); close(stopped) }()
		time.Sleep(time.Second)
		is.Equal(f.slotsHeld("r1"), 2) // what still runs there is not granted to others
		<-stopped
		checkWhole(is, running(), 2)
		leader := f.leader()
		f.stop(leader) // hands leadership over first
		time.Sleep(time.Second)
		for name := range f.replicas {
			if f.boxes[name].box != nil && name != f.leader() {
				f.stop(name) // a follower; one of three is left, no majority
				break
			}
		}
		f.start(leader)
		time.Sleep(3 * time.Second)
		checkWhole(is, stop2(), 100)
	})
}

// slotsHeld returns the slots that a router holds, or -1 if no such router is
// listed.
func (f *testFleet) slotsHeld(router string) int {
	for _, r := range f.status(f.leader()).GetRouters() {
		if r.GetName() == router {
			return int(r.GetSlotsHeld())
		}
	}
	return -1
}

func TestSlotsOfAStoppedRouterAreFreeAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		for range 8 { // r1 takes slots
			f.startAll(completion("r1", "hotel", 10, true))
		}
		time.Sleep(time.Second)
		f.stop("r1")
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.slotsHeld("r1"), -1) // not even listed, with no lease waited for
		a := f.do(completion("r2", "hotel", 1, true))
		is.Equal(a.status, 200)
		is.True(a.took < 200*time.Millisecond) // far less than a lease
	})
}

func TestOperatorsRace(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 1)
		leader := f.leader()
		base := f.status(leader).GetRevision()
		mark := func(control, id string, m operatorv1.Mark) (uint64, error) {
			return f.markAt(control, id, base, m)
		}
		revision, err := mark(leader, "ada", operatorv1.Mark_MARK_LEAVING)
		is.NoErr(err)
		is.Equal(revision, base+1)
		_, err = mark(leader, "bob", operatorv1.Mark_MARK_JOINING) // equal number, other content
		is.Equal(connect.CodeOf(err), connect.CodeAborted)
		conflict := detail[*operatorv1.Conflict](t, err)
		is.Equal(conflict.GetWinnerId(), "ada")
		is.Equal(conflict.GetWinnerSubjects(), []string{"server e1"})
		f.crash(leader)
		next := f.leader()
		revision, err = mark(next, "ada", operatorv1.Mark_MARK_LEAVING) // the answer was lost: ask again
		is.NoErr(err)
		is.Equal(revision, base+1) // the first answer, from another leader
		revision, err = mark(next, "carol", operatorv1.Mark_MARK_LEAVING)
		is.NoErr(err) // equal number, equal content
		is.Equal(revision, base+1)
		_, err = mark(next, "ada", operatorv1.Mark_MARK_SERVING)
		is.Equal(connect.CodeOf(err), connect.CodeAlreadyExists) // the identifier means something else
	})
}

// markAt marks e1 at one control box, building on base.
func (f *testFleet) markAt(control, id string, base uint64, m operatorv1.Mark) (uint64, error) {
	resp, err := f.operators(control).MarkServer(context.Background(), connect.NewRequest(&operatorv1.MarkServerRequest{
		Change: &operatorv1.Change{Id: id, BaseRevision: base}, Name: "e1", Mark: m,
	}))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetRevision(), nil
}

func detail[T any](t *testing.T, err error) T {
	t.Helper()
	var ce *connect.Error
	if c, ok := err.(*connect.Error); ok {
		ce = c
	}
	for _, d := range ce.Details() {
		if v, err := d.Value(); err == nil {
			if typed, ok := v.(T); ok {
				return typed
			}
		}
	}
	t.Fatalf("no such detail in %v", err)
	var zero T
	return zero
}

func TestRevisionInForceEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		f.net.Cut(f.boxes["r2"].ip)
		f.mark("e1", operatorv1.Mark_MARK_LEAVING)
		leader := f.leader()
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		began := time.Now()
		resp, err := f.operators(leader).AwaitRevision(ctx, connect.NewRequest(&operatorv1.AwaitRevisionRequest{Revision: uint64(f.changes)}))
		is.NoErr(err)
		is.True(resp.Msg.GetInForce())
		is.Equal(resp.Msg.GetConfirmed(), []string{"r1"})
		is.True(time.Since(began) < 5*time.Second) // a lease, its margin, and a little
		f.net.Join(f.boxes["r2"].ip)
	})
}

func TestNoLeaderButAMajorityIsHeard(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 1)
		f.do(completion("r1", "hotel", 1, true)) // holds a slot
		stop := f.load(2, completion("r1", "hotel", 10, true))
		time.Sleep(time.Second)
		// Control boxes can talk to the router, not to each other: no leader.
		f.net.Isolate("10.0.1.1", "10.0.1.2", "10.0.1.3")
		time.Sleep(12 * time.Second) // four leases
		is.True(f.boxes["r1"].box.Ready())
		f.net.Reunite()
		time.Sleep(5 * time.Second)
		checkWhole(is, stop(), 100)
	})
}

func TestControlBoxLosesItsDisk(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 1)
		is.Equal(f.do(order("r1", "hotel", "first", "k9")).status, 200)
		revision := f.status(f.leader()).GetRevision()
		for _, lost := range []string{"c1", "c2", "c3"} { // one after the other, each right after the repair of the last
			f.crash(lost)
			clear(f.boxes[lost].disks)
			f.start(lost)
			f.awaitVoters(3)
			time.Sleep(2 * time.Second) // the claims group is repaired too
		}
		is.Equal(f.status(f.leader()).GetRevision(), revision)
		f.settle()
		a := f.do(order("r1", "hotel", "first", "k9"))
		is.Equal(a.outcome, "ran")
		is.Equal(f.services["s1"].Runs("first"), 1)
	})
}

// awaitVoters waits until the configuration group has n voters.
func (f *testFleet) awaitVoters(n int) {
	for voters := 0; voters < n; {
		time.Sleep(100 * time.Millisecond)
		voters = 0
		for _, r := range f.status(f.leader()).GetReplicas() {
			if r.GetVoter() {
				voters++
			}
		}
	}
}

func TestMetricsTellHowTheFleetStands(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 1)
		var rs []request
		for range 20 { // 8 slots; the rest waits
			rs = append(rs, completion("r1", "hotel", 100, true), completion("r1", "notary", 100, true))
		}
		wait := f.startAll(rs...)
		time.Sleep(1500 * time.Millisecond)
		leader := f.leader()
		got := f.scrape(leader)
		for _, want := range []string{
			"badgerspoke_leads 1\n", `badgerspoke_pool_slots{pool="llm"} 8`, `badgerspoke_pool_slots_granted{pool="llm"} 8`,
			`badgerspoke_waiting{pool="llm",account="hotel"} 16`, `badgerspoke_gap{pool="llm"} `,
			`badgerspoke_control_bytes_total{direction="in",kind="report"}`,
		} {
			is.True(strings.Contains(got, want)) // each of the three measures
		}
		for name := range f.replicas {
			if name != leader {
				is.True(strings.Contains(f.scrape(name), "badgerspoke_leads 0\n"))
			}
		}
		wait()
	})
}

func (f *testFleet) scrape(control string) string {
	resp, err := f.client.Get(f.scheme + f.boxes[control].ip + ":8081/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(b)
}

func TestRouterRestartsWithNoMemory(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := wholeFleet(t, 2)
		f.startAll(completion("r1", "hotel", 100, true), completion("r1", "hotel", 100, true))
		time.Sleep(200 * time.Millisecond)
		f.crash("r1")
		f.start("r1")
		f.settle()
		a := f.do(completion("r1", "hotel", 1, true))
		is.Equal(a.status, 200)
		time.Sleep(5 * time.Second)
		held := 0
		for _, r := range f.status(f.leader()).GetRouters() {
			is.True(!strings.Contains(r.GetName(), "restarted")) // the old process is forgotten
			held += int(r.GetSlotsHeld())
		}
		is.True(held <= 8)
	})
}
