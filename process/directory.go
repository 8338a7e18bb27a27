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
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/wal"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines the node that is a directory replica. A replica whose disk
// fails stops for good, because it cannot know what was written; the process
// goes on and opens the folder again, as a new process would.

// API speaks to operators and backend servers in a deployment's own way.
type API func(d *directory.Directory, log *decision.Log) http.Handler

// reopenPause is the time between two attempts to open the data folder.
const reopenPause = 500 * time.Millisecond

// Times of the group. Its replicas are a few milliseconds apart and sync their
// disks in a few more.
const (
	election  = 400 * time.Millisecond
	heartbeat = 80 * time.Millisecond
)

// directoryProcess is a directory replica and its listeners, which outlive it.
type directoryProcess struct {
	*base
	api     API
	links   swapHandler
	callers swapHandler
	running *directory.Directory // nil while the folder cannot be opened
}

// swapHandler is a handler that can be exchanged. Without one it answers that it
// cannot tell.
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
// takes the seeds, if it has not found its group yet.
func Directory(ctx context.Context, cfg Settings, reloads <-chan Settings, api API,
	log *decision.Log, metricSet *metrics.Set) error {
	base, err := start(cfg, log, metricSet)
	if err != nil {
		return err
	}
	defer base.close()
	n := &directoryProcess{base: base, api: api}
	if err := n.open(); err != nil {
		log.StateChange("disk fails at the start", slog.String("error", err.Error()))
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, &n.links)
	if err := n.listen(cfg.Fleet, mux, socket.Listen); err != nil {
		return err
	}
	if err := n.listen(cfg.API, &n.callers, socket.Listen); err != nil {
		return err
	}
	n.serve(ctx, reloads)
	return nil
}

func (n *directoryProcess) serve(ctx context.Context, reloads <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			n.stopReplica(n.cfg.Grace / 2)
			return
		case next := <-reloads:
			n.reseed(next.Seeds)
		case <-n.ended():
			n.reopen()
		}
	}
}

// ended is closed when the replica has stopped by itself, or fires when it is
// time to open its folder again.
func (n *directoryProcess) ended() <-chan struct{} {
	if n.running != nil {
		return n.running.Done()
	}
	again := make(chan struct{})
	time.AfterFunc(reopenPause, func() { close(again) })
	return again
}

// open starts the replica from its folder.
func (n *directoryProcess) open() error {
	dir, err := wal.MakeDir(filepath.Join(n.cfg.DataDir, "directory"))
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	d, err := directory.Start(context.Background(), directory.Settings{
		Identity: n.identity(), Seeds: n.cfg.Seeds, Bootstrap: n.cfg.Bootstrap, Voters: n.cfg.Voters, Dir: dir,
		Interval: n.cfg.Interval, Tuning: replica.Tuning{Election: election, Heartbeat: heartbeat},
		Random: rand.Uint64, Log: n.log, Metrics: n.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "start the directory")
	}
	n.running = d
	n.links.set(d)
	n.callers.set(n.api(d, n.log))
	return nil
}

// reopen opens the folder again after its disk failed.
func (n *directoryProcess) reopen() {
	if n.running != nil {
		n.log.StateChange("disk failed", slog.String("error", n.running.Err().Error()))
		n.stopReplica(0)
		return
	}
	if err := n.open(); err != nil {
		n.log.StateChange("disk fails still", slog.String("error", err.Error()))
		return
	}
	n.log.StateChange("disk works again")
}

// reseed starts a replica that has found no group again with other seeds.
func (n *directoryProcess) reseed(seeds []string) {
	if slices.Equal(seeds, n.cfg.Seeds) {
		return
	}
	n.cfg.Seeds = seeds
	if n.running != nil && !n.running.Formed() {
		n.stopReplica(0)
	}
}

func (n *directoryProcess) stopReplica(grace time.Duration) {
	if n.running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.running.Stop(ctx)
	n.running = nil
	n.links.to.Store(nil)
	n.callers.to.Store(nil)
}
