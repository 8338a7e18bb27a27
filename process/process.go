// SPDX-License-Identifier: Apache-2.0

// Package process assembles a process of the routed-HTTP fleet: a gateway ([Gateway]) or a
// directory replica ([Directory]).
//
// It owns the listeners, their limits and the pacing of callers, the shares of the box's memory
// and descriptors, the callers' idle connections, the reload of settings, and the restart of a
// directory replica whose disk failed. Decisions about requests and documents are made in
// [gateway] and [directory].
//
// Deployment-specific names are passed in: a gateway gets a [gateway.HeaderCodec], a directory
// replica a [NewAPIFunc]. The package itself is independent of any deployment.
//
// Lock: idleConnections.mu, a leaf lock. Other state is owned by one goroutine or does not
// change after the start.
package process

import (
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines Settings and base, which both kinds of process share.

// Settings configures a process. Addresses are IP:PORT; an empty one opens no listener.
type Settings struct {
	Name     string
	Hall     string
	Region   string            // region of Hall; empty if not configured
	Topology topology.Topology // halls and regions of the fleet
	// LinkRate is the one-way capacity of the link between two regions, in bytes per second; 0
	// if unknown.
	LinkRate float64
	// BoxLinkRate is the capacity of this box's own link, in bytes per second; 0 if unknown.
	BoxLinkRate    float64
	FleetKey       []byte
	FleetAddress   string   // fleet address of this box, which also identifies a directory replica
	Seeds          []string // fleet addresses of directory replicas
	MetricsAddress string

	// Settings of a gateway.
	CallersAddress string
	ReadyAddress   string
	Retries        retry.Limits

	// Settings of a directory replica.
	APIAddress       string // for operators and backend servers
	DataDir          string
	Bootstrap        bool          // first start of the whole system
	Voters           int           // target number of voters in the directory's group
	AnnounceInterval time.Duration // interval between a backend server's announcements
	Halls            []string      // all data halls
	// HallOrderWindow is how long an operator repeats an order about a hall; 0 if unknown.
	HallOrderWindow time.Duration
	// Rollouts bounds the damage of a bad version of a pool's backend servers.
	Rollouts rollout.Bounds

	Grace           time.Duration // time from the stop signal until the process is killed
	MemoryLimit     int64         // in bytes; 0 means unlimited
	DescriptorLimit int           // maximum number of open file descriptors
	LogLevel        slog.Level
}

// heapShare is the fraction of the memory used as the Go runtime's soft limit. The rest covers
// memory that the runtime does not manage, such as unread bytes of connections, and bursts.
// With 0.6 here and 0.4 for connections, a gateway of 112 MB exceeds its memory in a flood.
const heapShare = 0.55

// Limits of every listener, and upper bounds of the limits that a document sets for callers.
const (
	readHeaderTimeout = 5 * time.Second // for the whole header
	idleTimeout       = 5 * time.Minute // between two requests on a connection
	maxHeaderBytes    = 64 << 10        // per request
)

// base holds the settings, log, metrics and listeners that both kinds of process have.
type base struct {
	cfg     Settings
	log     *decision.Log
	metrics *metrics.Set
	servers []*http.Server
}

// newBase applies the memory limit and starts to serve the metrics.
func newBase(cfg Settings, log *decision.Log, metricSet *metrics.Set) (*base, error) {
	if cfg.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryLimit)))
	}
	b := &base{cfg: cfg, log: log, metrics: metricSet}
	if cfg.MetricsAddress == "" {
		return b, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return b, b.listen(cfg.MetricsAddress, mux)
}

// listen opens a listener on an address and serves h there until close.
func (b *base) listen(address string, h http.Handler) error {
	l, err := socket.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	b.serve(l, &http.Server{Handler: h, ConnContext: socket.WithConn})
	return nil
}

// serve serves a listener until close. The log of net/http, one line for each broken
// connection, is discarded, because it exceeds the log's line budget.
func (b *base) serve(l net.Listener, s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	s.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	b.servers = append(b.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			b.log.StateChange("listener failed", slog.String("address", l.Addr().String()), slog.String("error", err.Error()))
		}
	}()
}

func (b *base) close() {
	for _, s := range b.servers {
		s.Close()
	}
}

func (b *base) identity() link.Identity {
	return link.Identity{Name: b.cfg.FleetAddress, Key: b.cfg.FleetKey, Dial: socket.Dial}
}
