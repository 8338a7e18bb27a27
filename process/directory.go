// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"log/slog"
	"math/rand/v2"
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

// This file defines the process of a directory replica. A replica whose disk
// fails stops for good, because it cannot know what was written; the process
// goes on and opens the folder again, as a new process would.

// API returns the handler for operators and backend servers in a deployment's own
// form.
type API func(d *directory.Directory, log *decision.Log) http.Handler

// reopenPause is the time between two attempts to open the data folder.
const reopenPause = 500 * time.Millisecond

// Times of the consensus group, whose replicas are a few milliseconds apart and sync their disks in a
// few more. The heartbeat is a fifth of the election timeout.
const (
	election  = 400 * time.Millisecond // silence of the leader until a replica begins an election
	heartbeat = 80 * time.Millisecond  // between two messages of an idle leader
)

// stopPart is the part of the grace in which a replica may hand its leadership over.
const stopPart = 0.5

// directoryProcess is a directory replica and its listeners, which outlive it.
type directoryProcess struct {
	*base
	newAPI  API
	links   swapHandler
	api     swapHandler
	running *directory.Directory // nil while the folder cannot be opened
}

// swapHandler is a handler that is exchanged with the replica. It answers 503
// while no replica runs.
type swapHandler struct{ to atomic.Pointer[http.Handler] }

// ServeHTTP implements [http.Handler].
func (h *swapHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if to := h.to.Load(); to != nil {
		(*to).ServeHTTP(w, r)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (h *swapHandler) set(to http.Handler) { h.to.Store(&to) }

// Directory runs a directory replica until ctx ends. Of reloaded settings it
// applies the seeds, if it has not found its group yet. The error is of a
// listener.
func Directory(ctx context.Context, cfg Settings, reloads <-chan Settings, newAPI API,
	log *decision.Log, metricSet *metrics.Set) error {
	base, err := start(cfg, log, metricSet)
	if err != nil {
		return err
	}
	defer base.close()
	p := &directoryProcess{base: base, newAPI: newAPI}
	if err := p.open(); err != nil {
		log.StateChange("disk fails at the start", slog.String("error", err.Error()))
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, &p.links)
	if err := p.listen(cfg.Fleet, mux); err != nil {
		return err
	}
	if err := p.listenToAPI(ctx); err != nil {
		return err
	}
	p.run(ctx, reloads)
	return nil
}

// Connections of the API's callers, nearly all of them backend servers that announce themselves.
const (
	// apiPart is the part of the descriptors that they may have: the rest is for gateways'
	// links, of which there are as many at the leader, and files.
	apiPart = 0.45
	// apiIdleIntervals is how long one may be idle, in intervals between two announcements:
	// after that its caller has gone elsewhere.
	apiIdleIntervals = 4
	// fewestAPI is the number of connections however few descriptors there are.
	fewestAPI = 64
)

// listenToAPI serves the API with a bound on its connections: when there are nearly too
// many, those that were idle longest are ended.
func (p *directoryProcess) listenToAPI(ctx context.Context) error {
	l, err := socket.Listen(p.cfg.API)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.cfg.API)
	}
	most := max(int(apiPart*float64(p.cfg.Descriptors)), fewestAPI)
	idle := newIdleConnections(most)
	p.serve(socket.Limit(l, most), &http.Server{Handler: &p.api, ConnContext: withConnection, ConnState: idle.track})
	go idle.sweep(ctx, func() time.Duration { return apiIdleIntervals * p.cfg.Interval })
	return nil
}

// run keeps a replica running: it watches the one that runs for a failed disk,
// and otherwise opens the folder again and again.
func (p *directoryProcess) run(ctx context.Context, reloads <-chan Settings) {
	for {
		var failed <-chan struct{}
		var again <-chan time.Time
		if p.running != nil {
			failed = p.running.Done()
		} else {
			again = time.After(reopenPause)
		}
		select {
		case <-ctx.Done():
			p.stopReplica(time.Duration(stopPart * float64(p.cfg.Grace)))
			return
		case next := <-reloads:
			p.reseed(next.Seeds)
		case <-failed:
			p.log.StateChange("disk failed", slog.String("error", p.running.Err().Error()))
			p.stopReplica(0)
		case <-again:
			p.reopen()
		}
	}
}

// open starts the replica from its folder.
func (p *directoryProcess) open() error {
	dir, err := wal.MakeDir(filepath.Join(p.cfg.DataDir, "directory"))
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	d, err := directory.Start(context.Background(), directory.Settings{
		Identity: p.identity(), Seeds: p.cfg.Seeds, Bootstrap: p.cfg.Bootstrap, Voters: p.cfg.Voters, Dir: dir,
		Interval: p.cfg.Interval, Halls: p.cfg.Halls, OrderWindow: p.cfg.OrderWindow,
		Hall: p.cfg.Hall, Region: p.cfg.Region, Topology: p.cfg.Topology, LinkRate: p.cfg.BoxLink, Rollouts: p.cfg.Rollouts, Tuning: replica.Tuning{Election: election, Heartbeat: heartbeat},
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

// reopen opens the folder again after its disk failed, or after reseed.
func (p *directoryProcess) reopen() {
	if err := p.open(); err != nil {
		p.log.StateChange("disk fails still", slog.String("error", err.Error()))
		return
	}
	p.log.StateChange("disk works again")
}

// reseed stops a replica that has found no group, so that it is opened again with
// other seeds.
func (p *directoryProcess) reseed(seeds []string) {
	if slices.Equal(seeds, p.cfg.Seeds) {
		return
	}
	p.cfg.Seeds = seeds
	if p.running != nil && !p.running.Formed() {
		p.stopReplica(0)
	}
}

func (p *directoryProcess) stopReplica(grace time.Duration) {
	if p.running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.running.Stop(ctx)
	p.running = nil
	p.links.to.Store(nil)
	p.api.to.Store(nil)
}
