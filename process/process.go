// SPDX-License-Identifier: Apache-2.0

// Package process assembles a process of the routed-HTTP fleet: a gateway
// ([Gateway]) or a directory replica ([Directory]).
//
// It owns the listeners, their limits and the pace of their callers, the part of the box's memory and
// descriptors that each use gets, the callers' idle connections, the reload of
// settings, and the restart of a directory replica whose disk failed. What is
// decided about requests and documents is in [gateway] and [directory].
//
// A deployment's own names come from outside: a gateway gets a
// [gateway.HeaderCodec], a directory replica an [API]. So one process serves any
// deployment, and this package knows none.
//
// Lock: idleConnections.mu, a leaf. The rest is one goroutine's, or fixed at the
// start.
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

// This file defines Settings and base, what both kinds of process share.

// Settings of a process. Addresses are IP:PORT; an empty one is not listened on.
type Settings struct {
	Name     string
	Hall     string
	Region   string            // of the hall; empty if the settings name none
	Topology topology.Topology // of the fleet
	// LinkRate is the capacity of the link between two regions one way, in bytes a second; 0 is
	// not known.
	LinkRate float64
	// BoxLink is the capacity of this box's own link, in bytes a second; 0 is not known.
	BoxLink  float64
	FleetKey []byte
	Fleet    string   // fleet address of this box; directory replicas are named by it
	Seeds    []string // fleet addresses of directory replicas
	Metrics  string

	// Of a gateway.
	Callers string
	Ready   string
	Retries retry.Limits

	// Of a directory replica.
	API       string // for operators and backend servers
	DataDir   string
	Bootstrap bool          // the first start of the whole system
	Voters    int           // wanted in the directory's group
	Interval  time.Duration // between a backend server's announcements
	Halls     []string      // the data halls that exist
	// OrderWindow is for how long an operator repeats an order about a hall; 0 is unknown.
	OrderWindow time.Duration
	// Rollouts bounds what a bad version of a pool's backend servers may cost.
	Rollouts rollout.Bounds

	Grace       time.Duration // from the signal to stop until the process is killed
	Memory      int64         // bytes that the process may use; 0 is not bounded
	Descriptors int           // that it may have open
	LogLevel    slog.Level
}

// heapPart is the part of the memory that Go's runtime tries to stay within. The
// rest is for what it does not manage, such as unread bytes of connections, and
// for bursts. Chosen; with 0.6, and 0.4 for connections, a gateway of 112 MB under a flood
// went over its memory.
const heapPart = 0.55

// Limits of every listener, and the most that a document allows callers.
const (
	readHeaderTimeout = 5 * time.Second // for a whole head
	idleTimeout       = 5 * time.Minute // between two requests of a connection
	maxHeaderBytes    = 64 << 10        // of one request
)

// base is what both kinds of process have: metrics, a log and listeners.
type base struct {
	cfg     Settings
	log     *decision.Log
	metrics *metrics.Set
	servers []*http.Server
}

func start(cfg Settings, log *decision.Log, metricSet *metrics.Set) (*base, error) {
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(cfg.Memory)))
	}
	b := &base{cfg: cfg, log: log, metrics: metricSet}
	if cfg.Metrics == "" {
		return b, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return b, b.listen(cfg.Metrics, mux)
}

// listen serves one address.
func (b *base) listen(address string, h http.Handler) error {
	l, err := socket.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	b.serve(l, &http.Server{Handler: h, ConnContext: withConnection})
	return nil
}

// serve serves a listener until close. What net/http itself would log, one line
// for each broken connection, has no place in the log's line budget.
func (b *base) serve(l net.Listener, s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	s.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	b.servers = append(b.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
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
	return link.Identity{Name: b.cfg.Fleet, Key: b.cfg.FleetKey, Dial: socket.Dial}
}
