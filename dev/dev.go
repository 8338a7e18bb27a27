// SPDX-License-Identifier: Apache-2.0

// Package dev fills a one-box fleet with what a newcomer needs to see an
// answer: two stand-in model engines, one stand-in plain service, and a
// client account whose key is "dev".
package dev

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/cli"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
	"github.com/badgerspoke/badgerspoke/standin"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the backend servers and the configuration of a
// development fleet.

// Key is the key of the development account, Token the operators' token,
// FleetKey the key between boxes, and Model what the engines serve.
const (
	Key      = "dev"
	Token    = "dev"
	FleetKey = "a development fleet has no secrets"
	Model    = "badger-small"
)

// What the stand-ins do. Chosen so that a newcomer sees tokens come one by one;
// nothing was measured.
const (
	engineSlots  = 4 // requests that an engine runs at once
	serviceSlots = 8
	tokenTime    = 40 * time.Millisecond // between two tokens
	promptTime   = 80 * time.Millisecond // before the first token
)

// Servers is the running stand-ins.
type Servers struct {
	addresses map[string]string
	servers   []*http.Server
}

// StartServers starts the stand-ins on free ports of 127.0.0.1.
func StartServers() (*Servers, error) {
	s := &Servers{addresses: map[string]string{}}
	for _, name := range []string{"engine-1", "engine-2"} {
		e := standin.NewEngine(standin.EngineSettings{Slots: engineSlots, TokenTime: tokenTime, PromptTime: promptTime})
		if err := s.start(name, e); err != nil {
			return nil, err
		}
	}
	return s, s.start("stock-1", &standin.Service{})
}

func (s *Servers) start(name string, h http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start stand-in "+name)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, srv)
	s.addresses[name] = l.Addr().String()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// Close stops the stand-ins.
func (s *Servers) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
}

// Configure adds the stand-ins and the account to the fleet through its
// operators' interface. It waits until the fleet has a leader. What a
// data folder kept of an earlier run is replaced.
func (s *Servers) Configure(ctx context.Context, operators string) error {
	c := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+operators,
		connect.WithInterceptors(cli.Authorize(Token)))
	if err := awaitLeader(ctx, c); err != nil {
		return err
	}
	if err := s.removeOld(ctx, c); err != nil {
		return err
	}
	hash := config.HashKey(Key)
	_, err := c.CreateAccount(ctx, connect.NewRequest(&operatorv1.CreateAccountRequest{
		Change: change("account"), Name: "dev", Share: 1, KeyHash: hex.EncodeToString(hash[:]),
	}))
	if err != nil && connect.CodeOf(err) != connect.CodeInvalidArgument { // it exists already
		return errors.Wrap(err, "create account")
	}
	for _, srv := range s.list() {
		req := &operatorv1.AddServerRequest{Change: change(srv.Name), Server: srv}
		if _, err := c.AddServer(ctx, connect.NewRequest(req)); err != nil {
			return errors.Wrap(err, "add server "+srv.Name)
		}
	}
	return nil
}

func (s *Servers) list() []*operatorv1.Server {
	engine := func(name string) *operatorv1.Server {
		return &operatorv1.Server{
			Name: name, Pool: "engines", Address: s.addresses[name], Kind: operatorv1.Kind_KIND_ENGINE,
			Mark: operatorv1.Mark_MARK_SERVING, Slots: engineSlots, Models: []string{Model}, ChecksFence: true,
		}
	}
	service := &operatorv1.Server{
		Name: "stock-1", Pool: "stock", Address: s.addresses["stock-1"], Kind: operatorv1.Kind_KIND_SERVICE,
		Mark: operatorv1.Mark_MARK_SERVING, Slots: serviceSlots, NeverRepeat: []string{"POST /orders"},
	}
	return []*operatorv1.Server{engine("engine-1"), engine("engine-2"), service}
}

func (s *Servers) removeOld(ctx context.Context, c operatorv1connect.OperatorServiceClient) error {
	old, err := c.ListServers(ctx, connect.NewRequest(&operatorv1.ListServersRequest{}))
	if err != nil {
		return errors.Wrap(err, "list servers")
	}
	for _, srv := range old.Msg.GetServers() {
		if _, ours := s.addresses[srv.GetName()]; !ours {
			continue
		}
		_, err := c.MarkServer(ctx, connect.NewRequest(&operatorv1.MarkServerRequest{
			Change: change("leave " + srv.GetName()), Name: srv.GetName(), Mark: operatorv1.Mark_MARK_LEAVING,
		}))
		if err != nil {
			return errors.Wrap(err, "mark old server")
		}
		_, err = c.RemoveServer(ctx, connect.NewRequest(&operatorv1.RemoveServerRequest{
			Change: change("remove " + srv.GetName()), Name: srv.GetName(),
		}))
		if err != nil {
			return errors.Wrap(err, "remove old server")
		}
	}
	return nil
}

// leaderPoll is the pause between two requests for the status.
const leaderPoll = 50 * time.Millisecond

func awaitLeader(ctx context.Context, c operatorv1connect.OperatorServiceClient) error {
	for {
		_, err := c.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err == nil {
			return nil
		}
		if !sleep.For(ctx, leaderPoll) {
			return errors.Wrap(err, "wait for a leader")
		}
	}
}

// change returns an unprotected change that is new in each run.
func change(what string) *operatorv1.Change {
	return &operatorv1.Change{Id: what + " " + time.Now().Format(time.RFC3339Nano)}
}
