// SPDX-License-Identifier: Apache-2.0

package control

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/wal"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/mesh"
)

// This file defines Control, which assembles the parts of the control role.

// Names of the consensus groups.
const (
	configGroup = "config"
	claimGroup  = "claims"
)

// Settings configures a control replica.
type Settings struct {
	Identity link.Identity
	// Replicas holds the fleet addresses (IP:PORT) of all control replicas by
	// name, including this one.
	Replicas map[string]string
	// OperatorsAddress is the address at which operators reach this replica.
	OperatorsAddress string
	// OpenDir opens the folder of one group under the data folder.
	OpenDir func(group string) (wal.Dir, error)
	Lease   slots.Lease
	// Overcommit is the share of an engine's slots that is granted in addition to them.
	Overcommit float64
	Pace       slots.Pace // limit on the rate of views sent to one router
	replica.Tuning
	Random  func() uint64
	Clock   func() time.Duration // see [replica.Settings]
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
	state      *ReplicatedState
	config     *replica.Replica
	claims     *replica.Replica
	register   *claim.Register
	mesh       *mesh.Mesh
	dispatcher *dispatcher
	watchers   *claimWatchers
	goroutines sync.WaitGroup
}

// Start opens the data folder and joins the groups. The replica runs until
// Stop is called or its disk fails (see Done).
func Start(ctx context.Context, cfg Settings) (*Control, error) {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(ctx)
	c := &Control{cfg: cfg, ctx: ctx, stop: stop, watchers: newClaimWatchers()}
	c.dispatcher = newDispatcher(c)
	c.state = newReplicatedState(c.dispatcher.configChanged)
	c.register = claim.New()
	c.register.OnSettled = c.watchers.notifySettled
	addressOf := func(name string) string { return cfg.Replicas[name] }
	c.mesh = mesh.New(ctx, cfg.Identity, addressOf, link.NewMeter(cfg.Metrics))
	if err := c.startGroups(); err != nil {
		stop()
		return nil, err
	}
	c.goroutines.Go(c.dispatcher.run)
	c.goroutines.Go(c.colocateLeaders)
	return c, nil
}

func (c *Control) startGroups() error {
	var err error
	if c.config, err = c.startGroup(configGroup, c.state, c.dispatcher.publishStatus); err != nil {
		return err
	}
	c.claims, err = c.startGroup(claimGroup, claimStateMachine{c.register}, nil)
	return err
}

func (c *Control) startGroup(name string, m replica.StateMachine,
	observe func(consensus.Status, bool)) (*replica.Replica, error) {
	dir, err := c.cfg.OpenDir(name)
	if err != nil {
		return nil, err
	}
	names := slices.Sorted(maps.Keys(c.cfg.Replicas))
	return replica.Start(c.ctx, replica.Settings{
		Group: name, Name: c.cfg.Identity.Name, Names: names, Dir: dir, StateMachine: m,
		Send: c.mesh.Send, Tuning: c.cfg.Tuning, Random: c.cfg.Random, Clock: c.cfg.Clock,
		Log: c.cfg.Log, Observe: observe,
	})
}

// proposeTimeout limits how long a proposal may take. It is five default election timeouts
// (replica.Tuning), so that a proposal can outlast a change of leader.
const proposeTimeout = 3 * time.Second

// propose appends a command to the log of one group and returns the result of
// applying it to this replica's state machine.
func propose(ctx context.Context, group *replica.Replica, cmd any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	b, err := cbor.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "control: encode command")
	}
	return group.Propose(ctx, b)
}

// deliver passes a message from another replica to the group that it belongs to.
func (c *Control) deliver(m protocol.Consensus) {
	switch m.Name {
	case configGroup:
		c.config.Deliver(m)
	case claimGroup:
		c.claims.Deliver(m)
	}
}

// ServeHTTP accepts links from other boxes at [link.Path]. The first message of a router
// is a [protocol.Hello], that of a replica a [protocol.Consensus].
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mesh.Serve(w, r, c.deliver, func(ctx context.Context, l *link.Link, first protocol.Message) {
		if h, ok := first.(protocol.Hello); ok {
			c.serveRouter(ctx, l, h)
		}
	})
}

// Done returns a channel that is closed when the replica has stopped. Before Stop, that
// means that its disk failed and that the replica must be replaced.
func (c *Control) Done() <-chan struct{} { return c.config.Done() }

// Err returns why the replica stopped. It may be called once Done is closed.
func (c *Control) Err() error { return c.config.Err() }

// handoverElectionTimeouts limits how long Stop waits for another replica to take over the
// leadership, in election timeouts. If no other replica is running, none will.
const handoverElectionTimeouts = 5

// transferLeadership transfers the leadership of both groups to another replica.
func (c *Control) transferLeadership(ctx context.Context) {
	if len(c.cfg.Replicas) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverElectionTimeouts*c.cfg.ElectionTimeout)
	defer cancel()
	// If a transfer fails, the other replicas elect a leader after an election timeout.
	_ = c.claims.Transfer(ctx)
	_ = c.config.Transfer(ctx) // as above
}

// Stop transfers leadership, if another replica can take it before ctx ends, and
// stops the replica.
func (c *Control) Stop(ctx context.Context) {
	c.transferLeadership(ctx)
	c.stop()
	<-c.config.Done()
	<-c.claims.Done()
	c.goroutines.Wait()
}
