// SPDX-License-Identifier: Apache-2.0

package control

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the check that this replica may answer operators, and the conversion of
// errors to responses with a code and a typed detail of the schema.

// BadToken is the error of a call without the operators' token.
type BadToken struct{}

// Error describes the refusal.
func (BadToken) Error() string { return "no or wrong operator token" }

// NotLeading is the error of a call to a replica that does not lead.
type NotLeading struct{ Leader string } // empty if no leader is known

// Error names the leader.
func (e NotLeading) Error() string {
	if e.Leader == "" {
		return "this replica does not lead, and no leader is known; try again"
	}
	return "this replica does not lead; ask " + e.Leader
}

// asLeader runs f in the dispatcher's goroutine if this replica may act as the allocator.
// Otherwise it returns [NotLeading].
func (c *Control) asLeader(f func(d *dispatcher)) error {
	var leader string
	acting, d := false, c.dispatcher
	d.call(func() {
		if acting = d.isAllocator(); acting {
			f(d)
		} else if d.group.Leader.Name != c.cfg.Identity.Name { // if equal, this replica leads but has no lease yet
			leader = d.group.Leader.Name
		}
	})
	if acting {
		return nil
	}
	return NotLeading{Leader: leader}
}

// requireLeader returns nil if this replica may act as the allocator, and [NotLeading] otherwise.
func (c *Control) requireLeader() error { return c.asLeader(func(*dispatcher) {}) }

// rpcError converts err to a connect error with the matching code and detail.
func (c *Control) rpcError(changeID string, err error) error {
	var (
		invalid    config.Invalid
		conflict   config.Conflict
		reused     config.ReusedID
		notLeader  consensus.NotLeader
		notLeading NotLeading
		pending    consensus.TransferPending
		undecided  replica.Undecided
	)
	switch {
	case errors.As(err, &invalid):
		return withDetail(connect.CodeInvalidArgument, err, invalidDetail(invalid))
	case errors.As(err, &conflict):
		return withDetail(connect.CodeAborted, err, conflictDetail(conflict))
	case errors.As(err, &reused):
		return connect.NewError(connect.CodeAlreadyExists, err)
	case errors.As(err, &undecided):
		return withDetail(connect.CodeDeadlineExceeded, err, &operatorv1.Undecided{ChangeId: changeID})
	case errors.As(err, &notLeading):
		return withDetail(connect.CodeUnavailable, err, c.leaderDetail(notLeading.Leader))
	case errors.As(err, &notLeader):
		return withDetail(connect.CodeUnavailable, err, c.leaderDetail(notLeader.Leader.Name))
	case errors.As(err, &pending):
		return withDetail(connect.CodeUnavailable, err, &operatorv1.NotLeader{Leader: pending.To.Name})
	}
	return connect.NewError(connect.CodeInternal, err)
}

// leaderDetail returns a leader's name and the addresses at which boxes and operators reach it.
func (c *Control) leaderDetail(leader string) proto.Message {
	return &operatorv1.NotLeader{Leader: leader, LeaderAddress: c.cfg.Replicas[leader], OperatorsAddress: c.state.OperatorsAddress(leader)}
}

func withDetail(code connect.Code, err error, detail proto.Message) error {
	e := connect.NewError(code, err)
	if d, derr := connect.NewErrorDetail(detail); derr == nil {
		e.AddDetail(d)
	}
	return e
}

func invalidDetail(e config.Invalid) proto.Message {
	out := &operatorv1.Invalid{}
	for _, m := range e.Mistakes {
		out.Mistakes = append(out.Mistakes, &operatorv1.Mistake{Subject: m.Subject, Field: m.Field, Reason: m.Reason})
	}
	return out
}

func conflictDetail(e config.Conflict) proto.Message {
	out := &operatorv1.Conflict{BaseRevision: e.Base, CurrentRevision: e.Current}
	if e.Winner != nil {
		out.WinnerId = e.Winner.ID
		for _, op := range e.Winner.Ops {
			out.WinnerSubjects = append(out.WinnerSubjects, op.Subject())
		}
	}
	return out
}
