// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/cli"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the operator calls of a testFleet and tests the guarantees
// for operators: changes, revisions in force, leaving servers, planned stops and
// metrics.

// operatorClient returns a client of one control box.
func (f *testFleet) operatorClient(name string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(f.client, f.scheme+f.boxes[name].ip+":8081",
		connect.WithInterceptors(cli.Authorize(operatorToken)))
}

// leader returns the name of the control box that leads.
func (f *testFleet) leader() string {
	f.t.Helper()
	return f.atLeader(func(ctx context.Context, c operatorv1connect.OperatorServiceClient) error {
		_, err := c.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
		return err
	})
}

// atLeader makes a call to one running control box after the other until one
// succeeds, and returns its name.
func (f *testFleet) atLeader(call func(context.Context, operatorv1connect.OperatorServiceClient) error) string {
	f.t.Helper()
	var last error
	for range 200 {
		for _, name := range slices.Sorted(maps.Keys(f.replicas)) {
			if f.boxes[name].box == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			last = call(ctx, f.operatorClient(name))
			cancel()
			if last == nil {
				return name
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("no control box accepted the call; last error: %v", last)
	return ""
}

// mustChange makes a change at the leader, retrying with the same ID until it is
// accepted.
func (f *testFleet) mustChange(do func(context.Context, operatorv1connect.OperatorServiceClient, *operatorv1.Change) error) {
	f.t.Helper()
	f.changes++
	ch := &operatorv1.Change{Id: fmt.Sprintf("change %d", f.changes)}
	f.atLeader(func(ctx context.Context, c operatorv1connect.OperatorServiceClient) error { return do(ctx, c, ch) })
}

// createAccount creates an account whose key is its name.
func (f *testFleet) createAccount(name string, share float64) {
	h := config.HashKey(name)
	f.mustChange(func(ctx context.Context, c operatorv1connect.OperatorServiceClient, ch *operatorv1.Change) error {
		_, err := c.CreateAccount(ctx, connect.NewRequest(&operatorv1.CreateAccountRequest{
			Change: ch, Name: name, Share: share, KeyHash: hex.EncodeToString(h[:]),
		}))
		return err
	})
}

func (f *testFleet) addServer(s *operatorv1.Server) {
	f.mustChange(func(ctx context.Context, c operatorv1connect.OperatorServiceClient, ch *operatorv1.Change) error {
		_, err := c.AddServer(ctx, connect.NewRequest(&operatorv1.AddServerRequest{Change: ch, Server: s}))
		return err
	})
}

func (f *testFleet) markServer(name string, m operatorv1.Mark) {
	f.mustChange(func(ctx context.Context, c operatorv1connect.OperatorServiceClient, ch *operatorv1.Change) error {
		_, err := c.MarkServer(ctx, connect.NewRequest(&operatorv1.MarkServerRequest{Change: ch, Name: name, Mark: m}))
		return err
	})
}

// markE1At marks server e1 through one control box, with a base revision.
func (f *testFleet) markE1At(control, id string, base uint64, m operatorv1.Mark) (uint64, error) {
	resp, err := f.operatorClient(control).MarkServer(context.Background(), connect.NewRequest(&operatorv1.MarkServerRequest{
		Change: &operatorv1.Change{Id: id, BaseRevision: base}, Name: "e1", Mark: m,
	}))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetRevision(), nil
}

func (f *testFleet) status(control string) *operatorv1.GetStatusResponse {
	resp, err := f.operatorClient(control).GetStatus(context.Background(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		f.t.Fatalf("status of %s: %v", control, err)
	}
	return resp.Msg
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

// errorDetail returns the detail of type T of an error, and fails the test if there is none.
func errorDetail[T any](t *testing.T, err error) T {
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
	t.Fatalf("no detail of the wanted type in error: %v", err)
	var zero T
	return zero
}

func TestConflictingOperatorChangesAreRejected(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		leader := f.leader()
		base := f.status(leader).GetRevision()
		mark := func(control, id string, m operatorv1.Mark) (uint64, error) {
			return f.markE1At(control, id, base, m)
		}
		revision, err := mark(leader, "ada", operatorv1.Mark_MARK_LEAVING)
		is.NoErr(err)
		is.Equal(revision, base+1)
		_, err = mark(leader, "bob", operatorv1.Mark_MARK_JOINING) // same base revision, different content
		is.Equal(connect.CodeOf(err), connect.CodeAborted)
		conflict := errorDetail[*operatorv1.Conflict](t, err)
		is.Equal(conflict.GetWinnerId(), "ada")
		is.Equal(conflict.GetWinnerSubjects(), []string{"server e1"})
		f.crash(leader)
		newLeader := f.leader()
		revision, err = mark(newLeader, "ada", operatorv1.Mark_MARK_LEAVING) // a retry after a lost response
		is.NoErr(err)
		is.Equal(revision, base+1) // the original response, from another leader
		revision, err = mark(newLeader, "carol", operatorv1.Mark_MARK_LEAVING)
		is.NoErr(err) // same base revision, same content
		is.Equal(revision, base+1)
		_, err = mark(newLeader, "ada", operatorv1.Mark_MARK_SERVING)
		is.Equal(connect.CodeOf(err), connect.CodeAlreadyExists) // the ID belongs to another change
	})
}

func TestAwaitRevisionWithUnreachableRouter(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		f.net.Cut(f.boxes["r2"].ip)
		f.markServer("e1", operatorv1.Mark_MARK_LEAVING)
		leader := f.leader()
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		began := time.Now()
		resp, err := f.operatorClient(leader).AwaitRevision(ctx, connect.NewRequest(&operatorv1.AwaitRevisionRequest{Revision: uint64(f.changes)}))
		is.NoErr(err)
		is.True(resp.Msg.GetInForce())
		is.Equal(resp.Msg.GetConfirmed(), []string{"r1"})
		is.True(time.Since(began) < 5*time.Second) // a lease, its margin, and some slack
		f.net.Restore(f.boxes["r2"].ip)
	})
}

func TestLeavingServerReceivesNoNewRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		inFlight := f.startAll(completion("r1", "hotel", 500, true), completion("r1", "hotel", 500, true),
			completion("r2", "hotel", 500, true), completion("r2", "hotel", 500, true)) // 10 s
		stop1 := f.startLoad(2, completion("r1", "hotel", 5, true))
		stop2 := f.startLoad(2, completion("r2", "notary", 5, true))
		time.Sleep(time.Second)
		f.markServer("e1", operatorv1.Mark_MARK_LEAVING)
		f.net.Cut(f.boxes["r2"].ip) // r2 receives no message about it, but can't reach the servers either
		time.Sleep(3 * time.Second)
		before := f.engines["e1"].Runs()
		f.net.Restore(f.boxes["r2"].ip)
		time.Sleep(4 * time.Second)
		is.Equal(f.engines["e1"].Runs(), before) // no new requests after 3 s, from any router
		for _, a := range append(stop1(), stop2()...) {
			is.True(a.status == 200 || a.outcome == "not-run")
		}
		checkComplete(is, inFlight(), 4) // requests in flight on e1 completed
		time.Sleep(2 * time.Second)
		for _, s := range f.status(f.leader()).GetServers() {
			if s.GetName() == "e1" {
				is.True(s.GetEmpty())
			}
		}
	})
}

// TestRequestsAreRefusedWhenOnlyServerLeaves checks that when the only server of a
// pool leaves, requests in flight complete, and queued and new requests are refused
// at once. They would otherwise wait for a server that accepts no new requests.
func TestRequestsAreRefusedWhenOnlyServerLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		refused := func(a response) bool {
			return a.status == 503 && a.outcome == "not-run" && a.header.Get("Retry-After") == "1" &&
				strings.Contains(a.body, `"no_server"`) && a.took < time.Second
		}
		var rs []request
		for i := range 20 { // 8 slots; the other 12 requests wait
			rs = append(rs, order("r1", "hotel", fmt.Sprint(i), ""))
		}
		wait := f.startAll(rs...)
		time.Sleep(50 * time.Millisecond)
		f.markServer("s1", operatorv1.Mark_MARK_LEAVING)
		completed, notRun := 0, 0
		for _, a := range wait() {
			switch {
			case a.status == 200:
				completed++
			case refused(a):
				notRun++
			}
		}
		is.Equal(completed, 8)
		is.Equal(notRun, 12)
		is.True(refused(f.do(order("r1", "hotel", "one more", ""))))
	})
}

// TestRequestsWaitForJoiningServer checks that requests wait for a joining
// server, which will accept them, even if another server of the pool is leaving.
func TestRequestsWaitForJoiningServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		f.addService("s2", 2, 8, 200*time.Millisecond)
		f.markServer("s2", operatorv1.Mark_MARK_JOINING)
		f.markServer("s1", operatorv1.Mark_MARK_LEAVING)
		f.settle()
		wait := f.startAll(order("r1", "hotel", "an order", ""))
		time.Sleep(2 * time.Second)
		f.markServer("s2", operatorv1.Mark_MARK_SERVING)
		got := wait()[0]
		is.Equal(got.status, 200)
		is.True(got.took > 2*time.Second)
	})
}

func TestPlannedStopsInterruptNoRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		inFlight := f.startAll(completion("r1", "hotel", 200, true), completion("r1", "notary", 200, true)) // 4 s
		stop2 := f.startLoad(4, completion("r2", "hotel", 10, true))
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() { f.stop("r1"); close(stopped) }()
		time.Sleep(time.Second)
		is.Equal(f.slotsHeld("r1"), 2) // slots in use aren't granted to other routers
		<-stopped
		checkComplete(is, inFlight(), 2)
		leader := f.leader()
		f.stop(leader) // hands leadership over first
		time.Sleep(time.Second)
		for _, name := range slices.Sorted(maps.Keys(f.replicas)) {
			if f.boxes[name].box != nil && name != f.leader() {
				f.stop(name) // a follower; one of three control boxes remains, which is no majority
				break
			}
		}
		f.start(leader)
		time.Sleep(3 * time.Second)
		checkComplete(is, stop2(), 100)
	})
}

func TestStoppedRouterReleasesSlotsImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		for range 8 { // r1 is granted slots
			f.startAll(completion("r1", "hotel", 10, true))
		}
		time.Sleep(time.Second)
		f.stop("r1")
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.slotsHeld("r1"), -1) // no longer listed, without waiting for the lease to expire
		a := f.do(completion("r2", "hotel", 1, true))
		is.Equal(a.status, 200)
		is.True(a.took < 200*time.Millisecond) // far less than a lease
	})
}

func TestFleetMetrics(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
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
			is.True(strings.Contains(got, want)) // each metric is exposed
		}
		for name := range f.replicas {
			if name != leader {
				is.True(strings.Contains(f.scrape(name), "badgerspoke_leads 0\n"))
			}
		}
		wait()
	})
}
