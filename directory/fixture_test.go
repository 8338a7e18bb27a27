// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines fleet: directory replicas and gateways in one bubble of virtual time, on an
// in-memory network and in-memory disks.

const (
	networkLatency   = 1500 * time.Microsecond
	announceInterval = time.Second // between announcements of a server
	voters           = 5
)

// rolloutBounds limits the exposure to a bad version.
var rolloutBounds = rollout.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second, RepeatWindow: 5 * time.Second}

var fleetKey = []byte("a key that all nodes share")

type fleet struct {
	t            *testing.T
	net          *fakenet.Network
	rngMu        sync.Mutex
	rng          *rand.Rand
	seeds        []string
	nodes        map[string]*directoryNode // by IP
	ips          []string
	gateways     map[string]*gatewayNode
	announceSeqs map[string]uint64               // sequence numbers of the last announcements, by backend server
	voterCount   int                             // target number of voters
	regions      map[string]string               // by IP; nil means a single region
	syncTime     time.Duration                   // sync time of each disk
	clocks       map[string]func() time.Duration // by IP; nil means the bubble's clock
	tuning       replica.Tuning                  // of each replica
	linkRate     float64                         // of each replica's box, in bytes per second; 0 means unknown
	halls        map[string]string               // by IP; nil means no halls are named
	mu           sync.Mutex                      // guards the nodes' d, which is read while replicas stop and start
}

// directoryNode is one replica and the state that survives its restarts.
type directoryNode struct {
	ip      string
	disk    *fakedisk.Disk
	d       *directory.Directory
	metrics *metrics.Set
	kill    context.CancelFunc
	current atomic.Pointer[directory.Directory] // the same as d, for other goroutines
	clock   func() time.Duration                // nil means the bubble's clock
}

type gatewayNode struct {
	ip      string
	g       *gateway.Gateway
	metrics *metrics.Set
	kill    context.CancelFunc
}

// withFleet runs f with n directory replicas that have formed their group.
func withFleet(t *testing.T, n int, f func(x *fleet)) { withFleetVoters(t, n, voters, f) }

// withFleetVoters is withFleet with a given number of voters.
func withFleetVoters(t *testing.T, n, voterCount int, f func(x *fleet)) {
	withPreparedFleet(t, n, voterCount, func(*fleet) {}, f)
}

// withPreparedFleet is withFleetVoters, and calls prepare before anything runs.
func withPreparedFleet(t *testing.T, n, voterCount int, prepare, f func(x *fleet)) {
	withStartingFleet(t, n, voterCount, prepare, func(x *fleet) {
		x.awaitLeader()
		time.Sleep(2 * time.Second)
		f(x)
	})
}

// withStartingFleet is withPreparedFleet, but runs f right after the replicas were started.
func withStartingFleet(t *testing.T, n, voterCount int, prepare, f func(x *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fleet{
			voterCount: voterCount,
			t:          t, net: fakenet.New(networkLatency), rng: rand.New(rand.NewPCG(1, uint64(n))),
			nodes: map[string]*directoryNode{}, gateways: map[string]*gatewayNode{}, announceSeqs: map[string]uint64{},
		}
		for i := range min(n, 3) {
			x.seeds = append(x.seeds, fleetAddress(i))
		}
		defer x.close()
		prepare(x)
		for i := range n {
			x.addReplica(fmt.Sprintf("10.0.1.%d", i+1), true)
		}
		f(x)
	})
}

func fleetAddress(i int) string { return fmt.Sprintf("10.0.1.%d:7400", i+1) }

func (x *fleet) random() uint64 {
	x.rngMu.Lock()
	defer x.rngMu.Unlock()
	return x.rng.Uint64()
}

func (x *fleet) addReplica(ip string, first bool) {
	x.nodes[ip] = &directoryNode{ip: ip, disk: fakedisk.New(x.random()), clock: x.clocks[ip]}
	x.nodes[ip].disk.SetSyncTime(x.syncTime)
	x.ips = append(x.ips, ip)
	x.startReplica(ip, first)
}

func (x *fleet) log(set *metrics.Set) *decision.Log {
	return decision.New(io.Discard, slog.LevelInfo, decision.DefaultBudget, set)
}

func (x *fleet) startReplica(ip string, first bool) {
	n := x.nodes[ip]
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	log := x.log(set)
	d, err := directory.Start(ctx, directory.Settings{
		Identity: link.Identity{Name: ip + ":7400", Key: fleetKey, Dial: x.net.DialerFrom(ip).DialContext},
		Seeds:    x.seeds, Bootstrap: first, Voters: x.voterCount, Dir: n.disk, AnnounceInterval: announceInterval, Rollouts: rolloutBounds,
		Hall: x.halls[ip], Region: x.regions[ip], Topology: x.topology(), Tuning: x.tuning, LinkRate: x.linkRate,
		Random: x.random, Clock: n.clock, Log: log, Metrics: set,
	})
	if err != nil {
		x.t.Fatal(err)
	}
	stop := x.serve(ip+":7400", d)
	n.metrics = set
	n.current.Store(d)
	x.setDirectory(n, d)
	n.kill = func() {
		stop()
		x.net.Kill(ip)
		cancel()
		<-d.Done()
		log.Close()
		n.current.Store(nil)
		x.setDirectory(n, nil)
	}
}

func (x *fleet) setDirectory(n *directoryNode, d *directory.Directory) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n.d = d
}

// serve accepts links at an address until stop is called.
func (x *fleet) serve(address string, h http.Handler) (stop func()) {
	l, err := x.net.Listen(address)
	if err != nil {
		x.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, h)
	s := &http.Server{Handler: mux, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = s.Serve(l) }()
	return func() { s.Close() }
}

// close stops all nodes. It first rejoins cut links, because the network library continues dials in
// the background.
func (x *fleet) close() {
	for _, ip := range x.ips {
		x.net.Restore(ip)
	}
	for _, region := range x.regions {
		x.net.RestoreRegion(region)
	}
	time.Sleep(time.Second)
	for _, g := range x.gateways {
		g.kill()
	}
	for _, n := range x.nodes {
		if n.d != nil {
			n.kill()
		}
	}
	time.Sleep(20 * time.Second) // longer than a dial takes, also behind everything queued on a slow link
	synctest.Wait()
}

// leader returns the replica that leads, or nil.
func (x *fleet) leader() *directoryNode {
	for _, ip := range x.ips {
		if n := x.nodes[ip]; n.d != nil && n.d.Leads() {
			return n
		}
	}
	return nil
}

// leaderDirectory returns the directory that leads, or nil. Any goroutine may call it.
func (x *fleet) leaderDirectory() *directory.Directory {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n := x.leader(); n != nil {
		return n.d
	}
	return nil
}

// voters returns the IPs of the voters, according to the leader.
func (x *fleet) voters() []string {
	var ips []string
	for _, name := range x.awaitLeader().d.Voters() {
		ips = append(ips, strings.TrimSuffix(name, ":7400"))
	}
	return ips
}

func (x *fleet) awaitLeader() *directoryNode {
	for range 1000 {
		if n := x.leader(); n != nil {
			return n
		}
		time.Sleep(10 * time.Millisecond)
	}
	x.t.Fatal("no leader after 10 s")
	return nil
}

func testDocument(number uint64) document.StoredDocument {
	d := document.Document{
		Number: number, Pools: []document.Pool{{Name: "p"}},
		Routes: []document.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []document.Target{{Pool: "p", Weight: 1}},
		}},
	}
	return document.StoredDocument{Document: d, Source: fmt.Appendf(nil, "source of %d", number)}
}

// putDocument sends a document to the replicas in turn until one acknowledges it.
func (x *fleet) putDocument(number uint64) {
	for range 200 {
		for _, ip := range x.ips {
			n := x.nodes[ip]
			if n.d == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
			err := n.d.Put(ctx, testDocument(number))
			cancel()
			if err == nil {
				return
			}
			if errors.As(err, new(document.Invalid)) {
				x.t.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	x.t.Fatalf("document %d was not acknowledged within 10 s", number)
}

// announce sends the leader an announcement of a backend server.
func (x *fleet) announce(id string, leaving bool) error {
	x.announceSeqs[id]++
	ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
	defer cancel()
	return x.awaitLeader().d.Announce(ctx, registry.Announcement{
		Registration: protocol.Registration{ID: id, Pool: "p", Address: serverAddress(id), Slots: 4},
		Leaving:      leaving, Seq: x.announceSeqs[id],
	})
}

// serverAddress returns the address of a backend server with the identifier b1, b2, ….
func serverAddress(id string) string { return "10.0.3." + id[1:] + ":80" }

// noHeaders is for gateways that receive no requests.
type noHeaders struct{ gateway.HeaderCodec }

func (x *fleet) startGateway(ip string) *gateway.Gateway {
	return x.startGatewayWithDial(ip, x.net.DialerFrom(ip).DialContext)
}

// startGatewayWithDial starts a gateway that opens its links with dial.
func (x *fleet) startGatewayWithDial(ip string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *gateway.Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	log := x.log(set)
	g := gateway.Start(ctx, gateway.Settings{
		Identity: link.Identity{Name: ip + ":7400", Key: fleetKey, Dial: dial},
		Seeds:    x.seeds, Headers: noHeaders{}, Transport: forward.New(forward.Settings{Dialer: x.net.DialerFrom(ip)}),
		Hall: x.halls[ip], Region: x.regions[ip], Topology: x.topology(),
		Retries: retry.Limits{Window: time.Second}, Random: x.random, Log: log, Metrics: set,
	})
	x.gateways[ip] = &gatewayNode{ip: ip, g: g, metrics: set, kill: func() { cancel(); synctest.Wait(); log.Close() }}
	return g
}

// controlTraffic returns the bytes and messages of a kind that a gateway has received ("in") or
// sent ("out").
func (n *gatewayNode) controlTraffic(direction, kind string) (bytes, messages uint64) {
	labels := fmt.Sprintf("{direction=%q,kind=%q}", direction, kind)
	return n.metrics.GetOrCreateCounter("badgerspoke_control_bytes_total" + labels).Get(),
		n.metrics.GetOrCreateCounter("badgerspoke_control_messages_total" + labels).Get()
}

// replaceDisk gives a stopped replica an empty disk.
func (x *fleet) replaceDisk(ip string) { x.nodes[ip].disk = fakedisk.New(x.random()) }

// losePower stops every replica at once. Disks keep only what was synced before. The disks crash
// first: stopping a process takes time, in which another replica could still sync.
func (x *fleet) losePower() {
	for _, ip := range x.ips {
		x.nodes[ip].disk.Crash()
	}
	for _, ip := range x.ips {
		x.nodes[ip].kill()
	}
}
