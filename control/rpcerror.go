// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines how a failure becomes the operators' answer: a code and a
// typed detail of the schema.

// BadToken refuses a call without the operators' token.
type BadToken struct{}

// Error says what is missing.
func (BadToken) Error() string { return "no or wrong operator token" }

// NotLeading refuses a call at a replica that does not lead.
type NotLeading struct {
	Leader    string
	Address   string // of the leader among the replicas
	Operators string // where operators reach it, if it has told
}

// Error names the leader.
func (e NotLeading) Error() string {
	if e.Leader == "" {
		return "this replica does not lead, and no leader is known; try again"
	}
	return "this replica does not lead; ask " + e.Leader
}

// mustLead returns nil if this replica may answer for the fleet.
func (c *Control) mustLead() error {
	acting := false
	c.dispatcher.do(func() { acting = c.dispatcher.acting() })
	if acting {
		return nil
	}
	return c.notLeader()
}

func (c *Control) notLeader() error {
	var e NotLeading
	c.dispatcher.do(func() {
		e.Leader = c.dispatcher.lead.leader
		if e.Leader == c.cfg.Identity.Name {
			e.Leader = "" // leads without a lease yet
		}
	})
	e.Address = c.cfg.Replicas[e.Leader]
	e.Operators = c.state.OperatorsAt(e.Leader)
	return e
}

// proposeChange proposes a change of the configuration.
func (c *Control) proposeChange(ctx context.Context, ch config.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	b, err := cbor.Marshal(command{Change: &ch})
	if err != nil {
		return 0, errors.Wrap(err, "control: encode change")
	}
	result, err := c.config.Propose(ctx, b)
	if err != nil {
		return 0, err
	}
	r := result.(changed)
	return r.revision, r.err
}

// rpcError returns err as a connect error with its detail.
func (c *Control) rpcError(changeID string, err error) error {
	var (
		invalid   config.Invalid
		conflict  config.Conflict
		reused    config.Reused
		notLeader consensus.NotLeader
		leading   NotLeading
		handover  consensus.Handover
		undecided replica.Undecided
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
	case errors.As(err, &leading):
		return withDetail(connect.CodeUnavailable, err, &operatorv1.NotLeader{Leader: leading.Leader, LeaderAddress: leading.Address, OperatorsAddress: leading.Operators})
	case errors.As(err, &notLeader):
		return withDetail(connect.CodeUnavailable, err, &operatorv1.NotLeader{Leader: notLeader.Leader.Name, LeaderAddress: c.cfg.Replicas[notLeader.Leader.Name], OperatorsAddress: c.state.OperatorsAt(notLeader.Leader.Name)})
	case errors.As(err, &handover):
		return withDetail(connect.CodeUnavailable, err, &operatorv1.NotLeader{Leader: handover.To.Name})
	}
	return connect.NewError(connect.CodeInternal, err)
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
