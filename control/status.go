// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the operators' calls that only read, and the functions that collect
// their results in the dispatcher.

func (o *operators) ListAccounts(_ context.Context, _ *connect.Request[operatorv1.ListAccountsRequest]) (*connect.Response[operatorv1.ListAccountsResponse], error) {
	if err := o.c.requireLeader(); err != nil {
		return nil, o.c.rpcError("", err)
	}
	cfg := o.c.state.Config()
	out := &operatorv1.ListAccountsResponse{Revision: cfg.Revision()}
	for _, a := range cfg.Accounts() {
		out.Accounts = append(out.Accounts, accountToProto(a))
	}
	return connect.NewResponse(out), nil
}

func (o *operators) ListServers(_ context.Context, _ *connect.Request[operatorv1.ListServersRequest]) (*connect.Response[operatorv1.ListServersResponse], error) {
	if err := o.c.requireLeader(); err != nil {
		return nil, o.c.rpcError("", err)
	}
	cfg := o.c.state.Config()
	out := &operatorv1.ListServersResponse{Revision: cfg.Revision()}
	for _, s := range cfg.Servers() {
		out.Servers = append(out.Servers, serverToProto(s))
	}
	return connect.NewResponse(out), nil
}

func (o *operators) GetStatus(_ context.Context, _ *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	var out *operatorv1.GetStatusResponse
	if err := o.c.asLeader(func(d *dispatcher) { out = d.status() }); err != nil {
		return nil, o.c.rpcError("", err)
	}
	return connect.NewResponse(out), nil
}

// awaitPollInterval is the interval between checks in AwaitRevision. Its load is calculated in
// docs/CAPACITY.md, "Operators' front".
const awaitPollInterval = 50 * time.Millisecond

func (o *operators) AwaitRevision(ctx context.Context, req *connect.Request[operatorv1.AwaitRevisionRequest]) (*connect.Response[operatorv1.AwaitRevisionResponse], error) {
	for {
		var out *operatorv1.AwaitRevisionResponse
		if err := o.c.asLeader(func(d *dispatcher) { out = d.revisionConfirmations(req.Msg.GetRevision()) }); err != nil {
			return nil, o.c.rpcError("", err)
		}
		if out.InForce || !sleep.For(ctx, awaitPollInterval) {
			return connect.NewResponse(out), nil
		}
	}
}

// status collects the response of GetStatus. It runs in the dispatcher's goroutine.
func (d *dispatcher) status() *operatorv1.GetStatusResponse {
	now := d.now()
	cfg := d.c.state.Config()
	out := &operatorv1.GetStatusResponse{
		Revision: cfg.Revision(), Epoch: d.alloc.Epoch(), Leader: d.c.cfg.Identity.Name,
		TakingOver: d.alloc.TakingOver(now),
	}
	for _, p := range d.group.Members.Voters {
		out.Replicas = append(out.Replicas, &operatorv1.ReplicaStatus{Name: p.Name, Voter: true})
	}
	for _, p := range d.group.Members.Learners {
		out.Replicas = append(out.Replicas, &operatorv1.ReplicaStatus{Name: p.Name})
	}
	out.Routers = d.routerStatus(now)
	servers, accounts := namesByID(cfg)
	for _, oc := range d.alloc.Occupancies() {
		s, _ := cfg.Server(servers[oc.Server])
		out.Servers = append(out.Servers, &operatorv1.ServerStatus{
			Name: s.Name, Pool: oc.Pool, Mark: operatorv1.Mark(s.Mark), Slots: uint32(oc.Slots),
			Granted: uint32(max(oc.Granted, 0)), Empty: oc.Granted <= 0 && !out.TakingOver,
		})
	}
	for _, st := range d.alloc.AccountStatuses() {
		if st.VirtualTime == 0 && st.Waiting == 0 {
			continue
		}
		out.Standings = append(out.Standings, &operatorv1.Standing{
			Pool: st.Pool, Account: accounts[st.Account], Share: st.Share, NormalisedService: st.VirtualTime, Waiting: uint32(st.Waiting),
		})
	}
	return out
}

func (d *dispatcher) routerStatus(now time.Duration) []*operatorv1.RouterStatus {
	lease := d.c.cfg.Lease.Length + d.c.cfg.Lease.Margin
	var out []*operatorv1.RouterStatus
	for _, r := range d.alloc.Routers() {
		rs := &operatorv1.RouterStatus{
			Name: r.Router, Linked: r.Linked, SlotsHeld: uint32(r.Held),
			LeaseMillis: uint32(max(r.Renewed+lease-now, 0).Milliseconds()),
		}
		if s := d.sessions[r.Router]; s != nil {
			rs.Revision = s.confirmedRevision
		}
		out = append(out, rs)
	}
	return out
}

// namesByID returns the names of all servers and accounts by identifier.
func namesByID(cfg config.Config) (servers, accounts map[string]string) {
	servers, accounts = map[string]string{}, map[string]string{}
	for _, s := range cfg.Servers() {
		servers[s.ID] = s.Name
	}
	for _, a := range cfg.Accounts() {
		accounts[a.ID] = a.Name
	}
	return servers, accounts
}

// revisionConfirmations returns which routers have confirmed a revision, and whether the revision is in
// force. A router's lease is not renewed before the newest configuration was sent to it, so once every
// process that may hold a lease has confirmed the revision, no router uses an older one.
func (d *dispatcher) revisionConfirmations(revision uint64) *operatorv1.AwaitRevisionResponse {
	out := &operatorv1.AwaitRevisionResponse{}
	listed := map[string]bool{}
	for _, r := range d.alloc.Routers() {
		listed[r.Router] = true
		s := d.sessions[r.Router]
		if s != nil && s.confirmedRevision >= revision {
			out.Confirmed = append(out.Confirmed, r.Router)
		} else {
			out.Outstanding = append(out.Outstanding, r.Router)
		}
	}
	for _, h := range d.c.state.Routers() {
		switch {
		case listed[h.Router]:
		case d.alloc.TakingOver(d.now()):
			out.Outstanding = append(out.Outstanding, h.Router)
		default:
			out.Expired = append(out.Expired, h.Router)
		}
	}
	slices.Sort(out.Outstanding)
	out.InForce = len(out.Outstanding) == 0 && d.c.state.Config().Revision() >= revision
	return out
}
