// SPDX-License-Identifier: Apache-2.0

// Package dev provides the backend servers and the configuration of a one-box development fleet:
// two simulated model engines, one simulated plain service, and a client account whose key is "dev".
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

// This file defines the backend servers and the configuration of a development fleet.

// Credentials and model of a development fleet.
const (
	Key      = "dev"                                // API key of the account
	Token    = "dev"                                // token of the operators
	FleetKey = "a development fleet has no secrets" // key for links between boxes
	Model    = "badger-small"                       // model that the engines serve
)

// Settings of the simulated servers. The times are long enough to watch tokens arrive one by one.
const (
	engineSlots  = 4                     // concurrent requests per engine
	serviceSlots = 8                     // concurrent requests of the service
	tokenTime    = 40 * time.Millisecond // time between two tokens
	promptTime   = 80 * time.Millisecond // time before the first token
)

// Servers holds the running simulated servers.
type Servers struct {
	addresses map[string]string // by server name
	servers   []*http.Server
}

// StartServers starts the simulated servers on free ports of 127.0.0.1.
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
		return errors.Wrap(err, "start simulated server "+name)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, srv)
	s.addresses[name] = l.Addr().String()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// Close stops the simulated servers.
func (s *Servers) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
}

// Configure waits until the fleet has a leader, then adds the simulated servers and the account
// through the operators' API. It replaces the servers of an earlier run that the data folder still
// holds.
func (s *Servers) Configure(ctx context.Context, operators string) error {
	c := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+operators,
		connect.WithInterceptors(cli.Authorize(Token)))
	if err := awaitLeader(ctx, c); err != nil {
		return err
	}
	if err := s.removePrevious(ctx, c); err != nil {
		return err
	}
	hash := config.HashKey(Key)
	_, err := c.CreateAccount(ctx, connect.NewRequest(&operatorv1.CreateAccountRequest{
		Change: newChange("account"), Name: "dev", Share: 1, KeyHash: hex.EncodeToString(hash[:]),
	}))
	if err != nil && connect.CodeOf(err) != connect.CodeInvalidArgument { // InvalidArgument: the account already exists
		return errors.Wrap(err, "create account")
	}
	for _, srv := range s.configurations() {
		req := &operatorv1.AddServerRequest{Change: newChange(srv.Name), Server: srv}
		if _, err := c.AddServer(ctx, connect.NewRequest(req)); err != nil {
			return errors.Wrap(err, "add server "+srv.Name)
		}
	}
	return nil
}

func (s *Servers) configurations() []*operatorv1.Server {
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

func (s *Servers) removePrevious(ctx context.Context, c operatorv1connect.OperatorServiceClient) error {
	old, err := c.ListServers(ctx, connect.NewRequest(&operatorv1.ListServersRequest{}))
	if err != nil {
		return errors.Wrap(err, "list servers")
	}
	for _, srv := range old.Msg.GetServers() {
		if _, ours := s.addresses[srv.GetName()]; !ours {
			continue
		}
		_, err := c.MarkServer(ctx, connect.NewRequest(&operatorv1.MarkServerRequest{
			Change: newChange("leave " + srv.GetName()), Name: srv.GetName(), Mark: operatorv1.Mark_MARK_LEAVING,
		}))
		if err != nil {
			return errors.Wrap(err, "mark old server")
		}
		_, err = c.RemoveServer(ctx, connect.NewRequest(&operatorv1.RemoveServerRequest{
			Change: newChange("remove " + srv.GetName()), Name: srv.GetName(),
		}))
		if err != nil {
			return errors.Wrap(err, "remove old server")
		}
	}
	return nil
}

// leaderPollInterval is the interval between two status requests.
const leaderPollInterval = 50 * time.Millisecond

// awaitLeader polls the status until the fleet has a leader.
func awaitLeader(ctx context.Context, c operatorv1connect.OperatorServiceClient) error {
	for {
		_, err := c.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err == nil {
			return nil
		}
		if !sleep.For(ctx, leaderPollInterval) {
			return errors.Wrap(err, "wait for a leader")
		}
	}
}

// newChange returns a change without a base revision. Its ID differs in each run.
func newChange(label string) *operatorv1.Change {
	return &operatorv1.Change{Id: label + " " + time.Now().Format(time.RFC3339Nano)}
}
