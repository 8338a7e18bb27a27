// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/state/wal"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/mesh"
)

// This file defines Directory, which assembles the parts of the role, and its operations.

// groupName is the name of the consensus group, in messages and logs.
const groupName = "directory"

// Settings configures a directory replica.
type Settings struct {
	// Identity.Name is this replica's fleet address, IP:PORT. Replicas of an open group are named
	// by their addresses.
	Identity  link.Identity
	Seeds     []string // fleet addresses
	Bootstrap bool     // true on the first start of the whole group
	Voters    int      // target number of voters
	Dir       wal.Dir
	// AnnounceInterval is the period of a backend server's announcements.
	AnnounceInterval time.Duration
	// Halls lists the data halls that exist, besides those that backend servers name.
	Halls []string
	// HallOrderWindow is how long an operator may repeat an order for a data hall. Zero means
	// evacuation.DefaultWindow.
	HallOrderWindow time.Duration
	Hall            string // the data hall of this replica; empty if not configured
	// Region is the region of this replica; empty if not configured.
	Region   string
	Topology topology.Topology // of the fleet
	// LinkRate is the capacity of this box's link, in bytes per second. Zero means unknown.
	LinkRate float64
	// Rollouts limits the exposure to a bad version of a pool's backend servers.
	Rollouts rollout.Bounds
	replica.Tuning
	Random  func() uint64
	Clock   func() time.Duration // see [replica.Settings]
	Log     *decision.Log
	Metrics *metrics.Set
}

// Directory is a running directory replica.
type Directory struct {
	cfg         Settings
	ctx         context.Context
	stop        context.CancelFunc
	state       *Replicated
	replica     *replica.Replica
	mesh        *mesh.Mesh
	meter       *link.Meter
	hub         *hub
	announcer   *announcer
	nodeRegions sync.Map // region by fleet address, of the nodes that named one
	wg          sync.WaitGroup
}

// Start opens the data folder and joins or creates the group. The replica runs until Stop is called
// or its disk fails (see Done).
func Start(ctx context.Context, cfg Settings) (*Directory, error) {
	cfg.Tuning = cfg.Tuning.WithDefaults()
	ctx, stop := context.WithCancel(ctx)
	d := &Directory{cfg: cfg, ctx: ctx, stop: stop}
	d.hub = newHub(d)
	d.announcer = newAnnouncer(d)
	d.meter = link.NewMeter(cfg.Metrics)
	if d.hasMultipleRegions() {
		d.meter = d.meter.WithRegions(d.regionOf)
	}
	d.state = newReplicated(cfg.HallOrderWindow, cfg.Rollouts.RepeatWindow, d.hub.stateChanged)
	d.mesh = mesh.New(ctx, cfg.Identity, func(name string) string { return name }, d.meter)
	var err error
	d.replica, err = replica.Start(ctx, replica.Settings{
		Group: groupName, Name: cfg.Identity.Name, Names: cfg.Seeds,
		Open: &replica.OpenGroup{Bootstrap: cfg.Bootstrap, Voters: cfg.Voters},
		Dir:  cfg.Dir, StateMachine: d.state, Send: d.mesh.Send, Tuning: cfg.Tuning,
		Random: cfg.Random, Clock: cfg.Clock, Log: cfg.Log.Slog(), Observe: d.hub.observe,
	})
	if err != nil {
		stop()
		return nil, err
	}
	d.wg.Go(d.hub.run)
	d.wg.Go(d.announcer.run)
	d.wg.Go(d.hub.runRelayLoop)
	return d, nil
}

// ServeHTTP accepts links from other nodes at [link.Path]. The first message on a link selects its
// handler: for example [protocol.Watch] from a gateway, [protocol.Consensus] from a replica.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mesh.Serve(w, r, d.replica.Deliver, func(ctx context.Context, l *link.Link, first protocol.Message) {
		switch first := first.(type) {
		case protocol.Watch:
			d.hub.serveSession(ctx, l, first)
		case protocol.Announce:
			d.hub.serveAnnouncer(ctx, l, first)
		case protocol.RolloutOrder:
			d.serveRolloutOrder(ctx, l, first)
		case protocol.QuarantineOrder:
			d.serveQuarantineOrder(ctx, l, first)
		}
	})
}

// Put replicates a document. When it returns nil, this document or one with a higher number is on
// the disks of a majority. The error is [document.Invalid], [NotLeader] or [Unavailable].
func (d *Directory) Put(ctx context.Context, h document.StoredDocument) error {
	if err := h.Document.Check(); err != nil {
		return err
	}
	if held, err := d.Read(ctx); err == nil && held.Document.Number >= h.Document.Number {
		return nil
	}
	if d.isForming() {
		return Unavailable{Err: GroupForming{}}
	}
	return d.propose(ctx, command{Put: &h})
}

// isForming reports whether the group was just founded and still waits for voters: a document that a quorum of the
// first voters has could be lost with fewer disks than the group tolerates.
func (d *Directory) isForming() bool {
	_, known := d.state.CurrentDocument()
	return !known && d.hub.leadership.Load().growing
}

// NoDocument is returned by a read before the first document.
type NoDocument struct{}

// Error implements error.
func (NoDocument) Error() string { return "no document has been put yet" }

// Read returns the newest acknowledged document. The error is [NoDocument],
// [NotLeader] or [Unavailable].
func (d *Directory) Read(ctx context.Context) (document.StoredDocument, error) {
	var held document.StoredDocument
	var exists bool
	err := d.inspectAsLeader(ctx, func() { held, exists = d.state.CurrentDocument() })
	switch {
	case err != nil:
		return held, err
	case !exists:
		return held, NoDocument{}
	}
	return held, nil
}

// Announce registers a backend server, at any replica. When it returns nil, the announcement is on
// its way to the gateways; if the server is leaving, its departure is on the disks of a majority.
// The error is [registry.InvalidAnnouncement], [UnknownPool], [NotLeader] or [Unavailable].
func (d *Directory) Announce(ctx context.Context, a registry.Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if a.Leaving {
		return d.Withdraw(ctx, a.ID)
	}
	if !d.acceptsPool(a.Pool) {
		return UnknownPool{Pool: a.Pool}
	}
	if err := d.checkLeading(); errors.As(err, new(NotLeader)) {
		return d.announcer.announce(ctx, a)
	} else if err != nil {
		return err
	}
	if d.state.Departed(a.ID) {
		return nil // a late announcement
	}
	return d.hub.announce(ctx, a)
}

// acceptsPool reports whether the document in force contains a pool; before the first document, any
// pool is accepted. No gateway uses a server of an unknown pool, but its registration could
// displace a server in use at the same address.
func (d *Directory) acceptsPool(pool string) bool {
	held, known := d.state.CurrentDocument()
	return !known || slices.ContainsFunc(held.Document.Pools, func(p document.Pool) bool { return p.Name == pool })
}

// Withdraw removes a life of a backend server permanently. The identifier names the life
// ([protocol.LifeID]); a server's name alone removes the life that is listed under it. When Withdraw
// returns nil, the departure is on the disks of a majority. The error is [NotLeader] or
// [Unavailable].
func (d *Directory) Withdraw(ctx context.Context, id string) error {
	if err := d.checkLeading(); err != nil {
		return err
	}
	if _, born := protocol.SplitLife(id); born == 0 {
		var err error
		if id, err = d.hub.listedLife(ctx, id); err != nil {
			return err
		}
	}
	if d.state.Departed(id) {
		return nil
	}
	if err := d.propose(ctx, command{Depart: id}); err != nil {
		return err
	}
	d.cfg.Log.StateChange("backend departs", slog.String("backend", id))
	return nil
}

// Address returns this replica's fleet address.
func (d *Directory) Address() string { return d.cfg.Identity.Name }

// Leader returns the leader's fleet address, or "" if it is unknown.
func (d *Directory) Leader() string { return d.hub.leadership.Load().leader }

// InGroup reports whether this replica belongs to a group. Until it does, it knows only its seeds.
func (d *Directory) InGroup() bool { return d.hub.leadership.Load().inGroup }

// Leads reports whether this replica is the leader and its lease is valid.
func (d *Directory) Leads() bool { return d.checkLeading() == nil }

// checkLeading returns nil at the leader, otherwise [NotLeader] or [Unavailable].
func (d *Directory) checkLeading() error {
	leadership := d.hub.leadership.Load()
	if leadership.leads && d.replica.Now() < leadership.leaseEnd {
		return nil
	}
	return d.leadershipError(leadership.leader)
}

func (d *Directory) leadershipError(leader string) error {
	if leader == "" || leader == d.cfg.Identity.Name {
		return Unavailable{}
	}
	return NotLeader{Leader: leader}
}

// propose replicates a command and waits until it is applied at this replica.
func (d *Directory) propose(ctx context.Context, c command) error {
	_, err := d.proposeChange(ctx, c)
	return err
}

// proposeChange is propose, and reports whether the command changed the state.
func (d *Directory) proposeChange(ctx context.Context, c command) (changed bool, err error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return false, Unavailable{Err: err}
	}
	result, err := d.replica.Propose(ctx, data)
	var notLeader consensus.NotLeader
	switch {
	case errors.As(err, &notLeader):
		return false, d.leadershipError(notLeader.Leader.Name)
	case err != nil:
		return false, Unavailable{Err: err}
	}
	changed, _ = result.(bool) // an undecodable command yields an error, not a bool
	return changed, nil
}

// Done is closed when the disk has failed and the process must be restarted.
func (d *Directory) Done() <-chan struct{} { return d.replica.Done() }

// Err returns the reason once Done is closed.
func (d *Directory) Err() error { return d.replica.Err() }

// maxHandoverElections limits how long Stop waits for a successor, in election timeouts. Without
// another running replica there is none.
const maxHandoverElections = 3

// Stop transfers the leadership to another replica if one is available, and stops this one.
func (d *Directory) Stop(ctx context.Context) {
	handover, cancel := context.WithTimeout(ctx, maxHandoverElections*d.cfg.ElectionTimeout)
	// On failure the other replicas elect a leader once they miss this one's heartbeats.
	_ = d.replica.Transfer(handover)
	cancel()
	d.stop()
	<-d.replica.Done()
	d.wg.Wait()
}
