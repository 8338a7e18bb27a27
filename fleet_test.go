// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/badgerspoke/badgerspoke"
	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/settings"
	"github.com/badgerspoke/badgerspoke/standin"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// This file defines testFleet, a complete fleet in a synctest bubble: real boxes
// with a simulated network and simulated disks, and stand-ins as backend servers.
// Requests of callers are in requests_test.go, calls of operators in
// operators_test.go.

const (
	networkLatency = 1500 * time.Microsecond
	operatorToken  = "operators"
	clientIP       = "10.0.9.1"
	tokenTime      = 20 * time.Millisecond

	callTimeout = 500 * time.Millisecond // of an operator's call to a box that may be unreachable
)

// testFleet is a fleet, its backend servers and its client.
type testFleet struct {
	t        *testing.T
	net      *fakenet.Network
	rng      *rand.Rand
	rngMu    sync.Mutex
	replicas map[string]string
	boxes    map[string]*testBox
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	servers  []*http.Server
	client   *http.Client
	// dialTimeout limits how long a box takes to open a connection; zero means no limit.
	dialTimeout atomic.Int64
	certify     func(ip string) *settings.TLS
	scheme      string
	changes     int
}

// testBox is one box, including the state that survives its restarts.
type testBox struct {
	name, ip string
	control  bool
	box      *badgerspoke.Box
	disks    map[string]*fakedisk.Disk
	kill     context.CancelFunc
}

// newFleet starts control boxes c1… and routers r1… without TLS.
func newFleet(t *testing.T, controls, routers int) *testFleet {
	return newFleetWith(t, controls, routers, nil)
}

// newFleetWith starts a fleet whose boxes use TLS, unless certify is nil.
func newFleetWith(t *testing.T, controls, routers int, certify func(ip string) *settings.TLS) *testFleet {
	f := &testFleet{
		certify: certify, scheme: "http://",
		t: t, net: fakenet.New(networkLatency), rng: rand.New(rand.NewPCG(1, 2)), replicas: map[string]string{},
		boxes: map[string]*testBox{}, engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
	}
	transport := &http.Transport{DialContext: f.net.DialerFrom(clientIP).DialContext}
	f.client = &http.Client{Transport: transport}
	if certify != nil {
		f.scheme, transport.TLSClientConfig = "https://", certify(clientIP).Dial
	}
	for i := range controls {
		f.replicas[fmt.Sprintf("c%d", i+1)] = fmt.Sprintf("10.0.1.%d:8082", i+1)
	}
	for i := range controls {
		f.addBox(fmt.Sprintf("c%d", i+1), fmt.Sprintf("10.0.1.%d", i+1), true)
	}
	for i := range routers {
		f.addBox(fmt.Sprintf("r%d", i+1), fmt.Sprintf("10.0.2.%d", i+1), false)
	}
	t.Cleanup(f.close)
	return f
}

// standardFleet starts a fleet of three control boxes, the given number of routers, two engines and one
// plain service, with two accounts, and waits until the routers are ready.
func standardFleet(t *testing.T, routers int) *testFleet {
	f := newFleet(t, 3, routers)
	f.createAccount("hotel", 1)
	f.createAccount("notary", 1)
	f.addEngine("e1", 1, 4)
	f.addEngine("e2", 2, 4)
	f.addService("s1", 1, 8, 200*time.Millisecond)
	f.settle()
	return f
}

func (f *testFleet) addBox(name, ip string, control bool) {
	b := &testBox{name: name, ip: ip, control: control, disks: map[string]*fakedisk.Disk{}}
	f.boxes[name] = b
	f.start(name)
}

func (f *testFleet) random() uint64 {
	f.rngMu.Lock()
	defer f.rngMu.Unlock()
	return f.rng.Uint64()
}

// start starts or restarts a box.
func (f *testFleet) start(name string) {
	b := f.boxes[name]
	ctx, cancel := context.WithCancel(context.Background())
	b.kill = cancel
	cfg := badgerspoke.Settings{
		Name: name, FleetKey: []byte("a key that all boxes share"), Replicas: f.replicas, OperatorToken: operatorToken,
		Dialer: boxDialer{f.net.DialerFrom(b.ip), &f.dialTimeout}, Random: f.random, Grace: 100 * time.Millisecond,
		Router: !b.control, Control: b.control, Log: slog.New(headChecker{f.t}),
		OpenDir: func(group string) (wal.Dir, error) {
			if b.disks[group] == nil {
				b.disks[group] = fakedisk.New(f.random())
			}
			return b.disks[group], nil
		},
	}
	if f.certify != nil {
		cfg.TLS = f.certify(b.ip)
	}
	if b.control {
		cfg.Fleet, cfg.Operators = f.listen(b.ip+":8082"), f.listen(b.ip+":8081")
	} else {
		cfg.Callers = f.listen(b.ip + ":8080")
	}
	box, err := badgerspoke.Start(ctx, cfg)
	if err != nil {
		f.t.Fatalf("start %s: %v", name, err)
	}
	b.box = box
}

// boxDialer opens the connections of a box within timeout nanoseconds, unless that is zero.
type boxDialer struct {
	fakenet.Dialer
	timeout *atomic.Int64
}

// DialContext implements [forward.Dialer].
func (d boxDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if timeout := time.Duration(d.timeout.Load()); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// headChecker is a log handler that fails the test if a router tries to write a second head into a response. It
// ignores all other lines.
type headChecker struct{ t *testing.T }

// Enabled implements [slog.Handler].
func (headChecker) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelError }

// Handle implements [slog.Handler].
func (c headChecker) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "second response head" {
		c.t.Error(r.Message)
	}
	return nil
}

// WithAttrs implements [slog.Handler].
func (c headChecker) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup implements [slog.Handler].
func (c headChecker) WithGroup(string) slog.Handler { return c }

func (f *testFleet) listen(address string) net.Listener {
	l, err := f.net.Listen(address)
	if err != nil {
		f.t.Fatalf("listen on %s: %v", address, err)
	}
	return l
}

// crash stops a box as kill -9 followed by a power failure would.
func (f *testFleet) crash(name string) {
	b := f.boxes[name]
	b.kill()
	f.net.Kill(b.ip)
	f.stopNow(b)
	for _, d := range b.disks {
		d.Crash()
	}
}

// stopNow stops a box without waiting for its requests.
func (f *testFleet) stopNow(b *testBox) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.box.Stop(ctx)
	b.box = nil
}

// stop stops a box gracefully, as SIGTERM would.
func (f *testFleet) stop(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b := f.boxes[name]
	b.box.Stop(ctx)
	b.kill()
	b.box = nil
}

func (f *testFleet) close() {
	for _, name := range []string{"r1", "r2", "r3", "c1", "c2", "c3"} {
		if b := f.boxes[name]; b != nil && b.box != nil {
			b.kill()
			f.stopNow(b)
		}
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.client.CloseIdleConnections()
	time.Sleep(10 * time.Second) // timers of closed connections expire
}

// loseDisk crashes a control box, empties its disks, restarts it, and waits until
// it is a voter of the configuration group again. The repair of the claims group
// may take longer.
func (f *testFleet) loseDisk(name string) {
	f.crash(name)
	clear(f.boxes[name].disks)
	f.start(name)
	f.awaitVoters(3)
}

// serveStandIn serves requests at an address with a stand-in.
func (f *testFleet) serveStandIn(address string, h http.Handler) {
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	l := f.listen(address)
	go func() { _ = s.Serve(l) }()
}

// addEngine starts an engine and adds it to pool "llm" with model "m".
func (f *testFleet) addEngine(name string, i, slots int) *standin.Engine {
	return f.addEngineWith(name, i, standin.EngineSettings{Slots: slots})
}

func (f *testFleet) addEngineWith(name string, i int, set standin.EngineSettings) *standin.Engine {
	set.TokenTime = tokenTime
	e := standin.NewEngine(set)
	address := fmt.Sprintf("10.0.3.%d:9000", i)
	f.serveStandIn(address, e)
	f.engines[name] = e
	f.addServer(&operatorv1.Server{
		Name: name, Pool: "llm", Address: address, Kind: operatorv1.Kind_KIND_ENGINE, Slots: uint32(set.Slots),
		Mark: operatorv1.Mark_MARK_SERVING, Models: []string{"m"},
	})
	return e
}

// addService starts a plain service and adds it to pool "stock".
func (f *testFleet) addService(name string, i int, slots uint32, responseTime time.Duration) *standin.Service {
	s := &standin.Service{ResponseTime: responseTime}
	address := fmt.Sprintf("10.0.4.%d:9000", i)
	f.serveStandIn(address, s)
	f.services[name] = s
	f.addServer(&operatorv1.Server{
		Name: name, Pool: "stock", Address: address, Kind: operatorv1.Kind_KIND_SERVICE, Slots: slots,
		Mark: operatorv1.Mark_MARK_SERVING,
	})
	return s
}

// settle waits until every running router is ready and holds the newest
// configuration.
func (f *testFleet) settle() {
	f.t.Helper()
	for range 400 {
		ready := true
		for _, b := range f.boxes {
			if b.box != nil && !b.control {
				ready = ready && b.box.Ready() && b.box.Router().Revision() >= uint64(f.changes)
			}
		}
		if ready {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the routers were not ready with the newest configuration within 20 s")
}

// inBubble runs a test with virtual time.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
