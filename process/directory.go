// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/internal/boottime"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/wal"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines the process of a directory replica. A replica whose disk fails stops
// permanently, because it cannot determine which writes are durable. The process keeps running
// and starts a new replica from the folder.

// NewAPIFunc returns the handler of a deployment's interface for operators and backend servers.
type NewAPIFunc func(d *directory.Directory, log *decision.Log) http.Handler

// reopenInterval is the time between two attempts to open the data folder.
const reopenInterval = 500 * time.Millisecond

// Timing of the consensus group. Replicas are a few milliseconds apart, and syncing a disk
// takes a few more. The heartbeat interval is a fifth of the election timeout.
const (
	electionTimeout   = 400 * time.Millisecond // time without a message of the leader until a replica starts an election
	heartbeatInterval = 80 * time.Millisecond  // between two messages of an idle leader
)

// handoverGraceShare is the fraction of the grace period in which a stopping replica may hand
// over its leadership.
const handoverGraceShare = 0.5

// apiDrainGraceShare is the fraction of the grace period after that in which the API answers the
// requests that it has read.
const apiDrainGraceShare = 0.25

// directoryProcess runs a directory replica behind listeners that outlive it.
type directoryProcess struct {
	*base
	newAPI    NewAPIFunc
	links     swapHandler
	api       swapHandler
	apiServer drainedServer
	running   *directory.Directory // nil while the folder cannot be opened
}

// swapHandler delegates to the handler of the running replica. It answers 503 while none runs.
type swapHandler struct{ current atomic.Pointer[http.Handler] }

// ServeHTTP implements [http.Handler].
func (h *swapHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if handler := h.current.Load(); handler != nil {
		(*handler).ServeHTTP(w, r)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (h *swapHandler) set(handler http.Handler) { h.current.Store(&handler) }

// Directory runs a directory replica until ctx ends. Of reloaded settings it applies the seeds,
// unless the replica has already joined its group. It returns an error if a listener cannot be
// opened.
func Directory(ctx context.Context, cfg Settings, reloads <-chan Settings, newAPI NewAPIFunc,
	log *decision.Log, metricSet *metrics.Set) error {
	base, err := newBase(cfg, log, metricSet)
	if err != nil {
		return err
	}
	defer base.close()
	p := &directoryProcess{base: base, newAPI: newAPI}
	if err := p.open(); err != nil {
		log.StateChange("disk failed at start", slog.String("error", err.Error()))
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, &p.links)
	if err := p.listen(cfg.FleetAddress, mux); err != nil {
		return err
	}
	if err := p.listenToAPI(ctx); err != nil {
		return err
	}
	p.run(ctx, reloads)
	p.drainAPI()
	return nil
}

// drainAPI answers the requests that the API has read and closes its connections.
func (p *directoryProcess) drainAPI() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(apiDrainGraceShare*float64(p.cfg.Grace)))
	defer cancel()
	p.apiServer.drain(ctx)
}

// Limits on API connections, nearly all of which belong to backend servers that announce
// themselves.
const (
	// apiDescriptorShare is the fraction of the descriptors available to API connections. The
	// rest is for files and for links of gateways, of which the leader has as many.
	apiDescriptorShare = 0.45
	// apiIdleIntervals is how long a connection may be idle, in announcement intervals. A
	// server that is silent for longer announces itself to another replica.
	apiIdleIntervals = 4
	// minAPIConnections is the lower bound, even if the descriptor limit is smaller.
	minAPIConnections = 64
)

// listenToAPI serves the API with a bound on its connections. Near the bound, the connections
// that have been idle longest are closed.
func (p *directoryProcess) listenToAPI(ctx context.Context) error {
	l, err := socket.Listen(p.cfg.APIAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.cfg.APIAddress)
	}
	p.serveAPI(ctx, l)
	return nil
}

// serveAPI serves the API on a listener.
func (p *directoryProcess) serveAPI(ctx context.Context, l net.Listener) {
	limit := max(int(apiDescriptorShare*float64(p.cfg.DescriptorLimit)), minAPIConnections)
	idle := newIdleConnections(limit)
	limited := socket.LimitListener(l, limit)
	p.serve(limited, &http.Server{Handler: &p.api, ConnContext: socket.WithConn, ConnState: idle.track})
	go idle.sweep(ctx, func() time.Duration { return apiIdleIntervals * p.cfg.AnnounceInterval })
	p.apiServer = drainedServer{listener: limited, connections: idle}
}

// run stops the replica when its disk fails, and tries to open the folder again while no replica
// runs. It returns when ctx ends.
func (p *directoryProcess) run(ctx context.Context, reloads <-chan Settings) {
	for {
		var failed <-chan struct{}
		var retry <-chan time.Time
		if p.running != nil {
			failed = p.running.Done()
		} else {
			retry = time.After(reopenInterval)
		}
		select {
		case <-ctx.Done():
			p.stopReplica(time.Duration(handoverGraceShare * float64(p.cfg.Grace)))
			return
		case next := <-reloads:
			p.updateSeeds(next.Seeds)
		case <-failed:
			p.log.StateChange("disk failed", slog.String("error", p.running.Err().Error()))
			p.stopReplica(0)
		case <-retry:
			p.reopen()
		}
	}
}

// open starts the replica from its data folder.
func (p *directoryProcess) open() error {
	dir, err := wal.MakeDir(filepath.Join(p.cfg.DataDir, "directory"))
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	d, err := directory.Start(context.Background(), directory.Settings{
		Identity: p.identity(), Seeds: p.cfg.Seeds, Bootstrap: p.cfg.Bootstrap, Voters: p.cfg.Voters, Dir: dir,
		AnnounceInterval: p.cfg.AnnounceInterval, Halls: p.cfg.Halls, HallOrderWindow: p.cfg.HallOrderWindow,
		Hall: p.cfg.Hall, Region: p.cfg.Region, Topology: p.cfg.Topology, LinkRate: p.cfg.BoxLinkRate, Rollouts: p.cfg.Rollouts, Tuning: replica.Tuning{ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval},
		Random: rand.Uint64, Clock: boottime.Clock(), Log: p.log, Metrics: p.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "start the directory")
	}
	p.running = d
	p.links.set(d)
	p.api.set(p.newAPI(d, p.log))
	return nil
}

// reopen opens the folder again after the disk failed or updateSeeds stopped the replica.
func (p *directoryProcess) reopen() {
	if err := p.open(); err != nil {
		p.log.StateChange("disk still failing", slog.String("error", err.Error()))
		return
	}
	p.log.StateChange("disk works again")
}

// updateSeeds stops a replica that has not joined a group, so that it is reopened with the new
// seeds.
func (p *directoryProcess) updateSeeds(seeds []string) {
	if slices.Equal(seeds, p.cfg.Seeds) {
		return
	}
	p.cfg.Seeds = seeds
	if p.running != nil && !p.running.InGroup() {
		p.stopReplica(0)
	}
}

func (p *directoryProcess) stopReplica(grace time.Duration) {
	if p.running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if p.running.InGroup() {
		p.cfg.Bootstrap = false // if the folder is blank when it is opened again, its disk was lost
	}
	p.running.Stop(ctx)
	p.running = nil
	p.links.current.Store(nil)
	p.api.current.Store(nil)
}
