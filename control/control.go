// SPDX-License-Identifier: Apache-2.0

package control

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/wal"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/mesh"
)

// This file defines Control, the assembled control role.

// Names of the groups.
const (
	configGroup = "config"
	claimGroup  = "claims"
)

// Settings of a control replica.
type Settings struct {
	Identity link.Identity
	// Replicas are the fleet addresses (IP:PORT) of all control replicas by
	// name, this one included.
	Replicas map[string]string
	// Operators is this replica's operators' address, as operators reach it.
	Operators string
	// Dir opens the folder of one group under the data folder.
	Dir   func(group string) (wal.Dir, error)
	Lease slots.Lease
	// Overcommit is the part of an engine's slots that is granted beyond them.
	Overcommit float64
	Pace       slots.Pace
	replica.Tuning
	Random  func() uint64
	Log     *slog.Logger
	Metrics *metrics.Set
}

func (cfg Settings) withDefaults() Settings {
	cfg.Lease = cmp.Or(cfg.Lease, slots.DefaultLease)
	cfg.Pace = cmp.Or(cfg.Pace, slots.DefaultPace)
	cfg.Tuning = cfg.Tuning.WithDefaults()
	return cfg
}

// Control is a running control replica.
type Control struct {
	cfg        Settings
	ctx        context.Context
	stop       context.CancelFunc
	meter      *link.Meter
	state      *Replicated
	config     *replica.Replica
	claims     *replica.Replica
	register   *claim.Register
	peers      *mesh.Mesh
	dispatcher *dispatcher
	watchers   *claimWatchers
	running    sync.WaitGroup
}

// Start opens the data folder and joins the groups. The replica runs until
// Stop, or until its disk fails (see Done).
func Start(ctx context.Context, cfg Settings) (*Control, error) {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(ctx)
	c := &Control{cfg: cfg, ctx: ctx, stop: stop, meter: link.NewMeter(cfg.Metrics), watchers: newClaimWatchers()}
	c.dispatcher = newDispatcher(c)
	c.state = newReplicated(c.dispatcher.configChanged)
	c.register = claim.New()
	c.register.Settlement = c.watchers.settled
	c.peers = mesh.New(ctx, cfg.Identity, func(name string) string { return cfg.Replicas[name] }, c.meter)
	if err := c.startGroups(); err != nil {
		stop()
		return nil, err
	}
	c.running.Go(c.dispatcher.run)
	c.running.Go(c.followLeader)
	return c, nil
}

func (c *Control) startGroups() error {
	var err error
	if c.config, err = c.startGroup(configGroup, c.state, c.dispatcher.observe); err != nil {
		return err
	}
	c.claims, err = c.startGroup(claimGroup, claims{c.register}, nil)
	return err
}

func (c *Control) startGroup(name string, m replica.Machine,
	observe func(consensus.Status, bool)) (*replica.Replica, error) {
	dir, err := c.cfg.Dir(name)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(c.cfg.Replicas))
	for n := range c.cfg.Replicas {
		names = append(names, n)
	}
	slices.Sort(names)
	return replica.Start(c.ctx, replica.Settings{
		Group: name, Name: c.cfg.Identity.Name, Names: names, Dir: dir, Machine: m,
		Send: c.peers.Send, Tuning: c.cfg.Tuning, Random: c.cfg.Random, Log: c.cfg.Log, Observe: observe,
	})
}

func (c *Control) deliver(m protocol.Consensus) {
	switch m.Name {
	case configGroup:
		c.config.Deliver(m)
	case claimGroup:
		c.claims.Deliver(m)
	}
}

// ServeHTTP accepts links of other nodes at [link.Path]: the first message
// tells a router from a control replica.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l, err := link.Accept(w, r, c.cfg.Identity, c.meter)
	if err != nil {
		c.cfg.Metrics.GetOrCreateCounter(`badgerspoke_links_refused_total`).Inc()
		return
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	m, err := l.Receive(ctx)
	if err != nil {
		return
	}
	switch m := m.(type) {
	case protocol.Hello:
		c.serveRouter(ctx, l, m)
	case protocol.Consensus:
		c.servePeer(ctx, l, m)
	}
}

func (c *Control) servePeer(ctx context.Context, l *link.Link, first protocol.Consensus) {
	c.fromPeer(l, first)
	for {
		m, err := l.Receive(ctx)
		if err != nil {
			return
		}
		if cm, ok := m.(protocol.Consensus); ok {
			c.fromPeer(l, cm)
		}
	}
}

// fromPeer delivers a message whose sender is the proven peer of the link.
func (c *Control) fromPeer(l *link.Link, m protocol.Consensus) {
	if m.From.Name == l.Peer() {
		c.deliver(m)
	}
}

// Done is closed when a disk failed and the replica must be replaced.
func (c *Control) Done() <-chan struct{} { return c.config.Done() }

// Err returns why the replica stopped, after Done.
func (c *Control) Err() error { return c.config.Err() }

// handoverElections bounds, in election timeouts, how long a stop waits for a
// successor: when no other replica is there, none will come.
const handoverElections = 5

func (c *Control) handOver(ctx context.Context) {
	if len(c.cfg.Replicas) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverElections*c.cfg.Election)
	defer cancel()
	_ = c.claims.Transfer(ctx)
	_ = c.config.Transfer(ctx)
}

// Stop hands leadership over, if another replica can take it within the
// context, and stops.
func (c *Control) Stop(ctx context.Context) {
	c.handOver(ctx)
	c.stop()
	<-c.config.Done()
	<-c.claims.Done()
	c.running.Wait()
}
