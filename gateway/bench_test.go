// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file measures the cost of a gateway per request and per event over loopback, with callers
// and backend servers in the same process.

const (
	benchEvents = 30
	benchPause  = 5 * time.Millisecond
	benchStream = 100 // concurrent streams
)

// BenchmarkEvents reports the processor time of the whole process per event of a stream, through a
// gateway and directly.
func BenchmarkEvents(b *testing.B) {
	address := benchServer(b)
	b.Run("gateway", func(b *testing.B) { benchEventsAt(b, benchGateway(b, address)) })
	b.Run("direct", func(b *testing.B) { benchEventsAt(b, address) })
}

func benchEventsAt(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStream}}
	before := processorTime()
	for b.Loop() {
		var group sync.WaitGroup
		for range benchStream {
			group.Go(func() { readStream(b, client, address) })
		}
		group.Wait()
	}
	used := processorTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*benchStream*benchEvents), "cpu-µs/event")
}

func readStream(b *testing.B, client *http.Client, address string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/resume/x", nil)
	if err != nil {
		b.Error(err)
		return
	}
	req.Host = "host"
	req.Header.Set("Id", "1")
	req.Header.Set("Key", "key")
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	n, _ := io.Copy(io.Discard, resp.Body)
	if want := int64(len(wholeStream(benchEvents))); n != want {
		b.Errorf("%d bytes, status %d; want %d", n, resp.StatusCode, want)
	}
}

// benchServer starts a server that answers each request with a stream of events and returns its
// address.
func benchServer(b *testing.B) string {
	return benchServe(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Sealed", "yes")
		flusher := http.NewResponseController(w)
		for id := range benchEvents {
			time.Sleep(benchPause)
			fmt.Fprint(w, event(id+1))
			_ = flusher.Flush()
		}
	}))
}

func benchGateway(b *testing.B, serverAddress string) string {
	address, _ := benchGatewayOf(b, serverAddress)
	return address
}

func benchGatewayOf(b *testing.B, serverAddress string) (address string, g *Gateway) {
	set := metrics.NewSet()
	g = Start(b.Context(), Settings{
		Identity: link.Identity{Name: "g"}, Headers: testHeaders{}, Transport: forward.New(forward.Settings{MaxIdlePerServer: benchStream}),
		Retries: retry.Limits{Window: time.Second}, MaxTotalBodyBytes: 1 << 20, Random: func() uint64 { return 1 }, Metrics: set,
		Log: decision.New(io.Discard, slog.LevelInfo, decision.DefaultBudget, set),
	})
	g.gatewayCount.Store(1)
	d := testDocument()
	d.Pools[0].Connections = 10 * benchStream
	g.apply(d)
	g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{
		{Registration: protocol.Registration{ID: "b", Pool: "plain", Address: serverAddress, Slots: benchStream}},
	}})
	return benchServe(b, g), g
}

func benchServe(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// processorTime returns the processor time that the process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRefusal reports the processor time of the whole process, including its caller, per
// request that is refused as beyond its account's share, with a new connection for each request and
// with one kept connection.
func BenchmarkRefusal(b *testing.B) {
	address, g := benchGatewayOf(b, benchServer(b))
	g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.0001, Extra: 0.0002}}, nil, true)
	b.Run("new", func(b *testing.B) { benchRefusals(b, address, &http.Transport{DisableKeepAlives: true}) })
	b.Run("kept", func(b *testing.B) { benchRefusals(b, address, &http.Transport{}) })
}

func benchRefusals(b *testing.B, address string, transport *http.Transport) {
	const bodyBytes = 12000
	client := &http.Client{Transport: transport}
	defer client.CloseIdleConnections()
	body := strings.Repeat("x", bodyBytes)
	before := processorTime()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/engine/x", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "host"
		req.Header.Set("Id", "1")
		req.Header.Set("Key", "key")
		req.Header.Set("Tokens", "10000")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	used := processorTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/request")
}

// BenchmarkWholeList measures applying a whole list of backend servers to an empty table, as after
// a gateway's start.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{300, 3000, 10000} {
		list := make([]protocol.Server, n)
		for i := range list {
			list[i] = protocol.Server{Handle: uint32(i + 1), Registration: protocol.Registration{
				ID: fmt.Sprintf("i-%x", uint32(i)*2654435761), Pool: "p", Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 12,
			}}
		}
		slices.SortFunc(list, func(x, y protocol.Server) int { return strings.Compare(x.ID, y.ID) })
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			for b.Loop() {
				newTable("g", "z", monotonic()).update(protocol.Servers{Term: 1, Whole: true, Set: list})
			}
		})
	}
}

// BenchmarkChoose measures one choice of an engine among 60 and 10,000 servers in one region, and
// among 10,000 in two regions.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{60, 10_000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) { benchChoose(b, n, topology.Topology{}) })
	}
	two, err := topology.New(map[string]string{"hall-0": "north", "hall-1": "north", "hall-2": "south"})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("backends=10000,regions=2", func(b *testing.B) { benchChoose(b, 10_000, two) })
}

func benchChoose(b *testing.B, n int, fleet topology.Topology) {
	t := newTable("g", "hall-0", monotonic())
	t.setSite(fleet.Region("hall-0"), fleet, 0)
	m := protocol.Servers{Term: 1, Whole: true}
	for i := range n {
		m.Set = append(m.Set, protocol.Server{Handle: uint32(i + 1), Registration: protocol.Registration{
			ID: fmt.Sprintf("i-%05d", i), Pool: "engines", Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250),
			Hall: fmt.Sprint("hall-", i%3), Slots: 32,
		}})
	}
	t.update(m)
	req := requirements{pool: document.Pool{Name: "engines", Engine: true}, route: document.Route{Objective: 400 * time.Millisecond}}
	req.prompt = place.Prompt{Own: 600, Shared: []place.Part{{Name: "a", Tokens: 500}, {Name: "b", Tokens: 4000}}}
	for b.Loop() {
		a, _ := t.acquire(t.now(), req)
		a.entry.ownLoad = place.Work{}
	}
}

// BenchmarkChooseVersions is BenchmarkChoose during a rollout, with half of the servers running the
// target: in the trial, and after the switch.
func BenchmarkChooseVersions(b *testing.B) {
	for _, n := range []int{60, 10_000} {
		for _, share := range []float64{0.04, 1} {
			b.Run(fmt.Sprintf("backends=%d/share=%v", n, share), func(b *testing.B) {
				t := newTable("g", "hall-0", monotonic())
				m := protocol.Servers{Term: 1, Whole: true}
				for i := range n {
					m.Set = append(m.Set, protocol.Server{Handle: uint32(i + 1), Registration: protocol.Registration{
						ID: fmt.Sprintf("i-%05d", i), Pool: "engines", Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250),
						Hall: fmt.Sprint("hall-", i%3), Slots: 32, Version: fmt.Sprint("v", 1+i%2),
					}})
				}
				t.update(m)
				t.updateRollouts(protocol.Rollouts{Term: 1, Seq: 1, List: []protocol.Rollout{
					{Pool: "engines", Attempt: 1, Target: "v2", Share: share},
				}})
				t.rolloutSharesUntil = time.Hour
				req := requirements{pool: document.Pool{Name: "engines", Engine: true}, route: document.Route{Name: "r", Objective: 400 * time.Millisecond}}
				req.prompt = place.Prompt{Own: 600, Shared: []place.Part{{Name: "a", Tokens: 500}, {Name: "b", Tokens: 4000}}}
				drawn := 0
				for b.Loop() {
					drawn++
					req.random = float64(drawn%1000) / 1000 / versionDrawScale
					a, _ := t.acquire(t.now(), req)
					a.entry.ownLoad = place.Work{}
				}
			})
		}
	}
}

// BenchmarkCheckQuarantine measures the quarantine lookup for a request with a body of 64 KiB: with
// an empty list, with 1,024 other entries, and with an entry of the same hint that differs only by
// its body, so that the key has to be computed.
func BenchmarkCheckQuarantine(b *testing.B) {
	body := make([]byte, 64<<10)
	var others []quarantine.Entry
	for i := range 1024 {
		path := fmt.Sprint("/other/", i)
		others = append(others, quarantine.Entry{
			Key: quarantine.KeyOf("t", "POST", "host", path, body), Hint: quarantine.HintOf("t", "POST", "host", path, len(body)), Failures: 1,
		})
	}
	same := quarantine.Entry{Hint: quarantine.HintOf("t", "POST", "host", "/again/", len(body)), Failures: 1}
	for _, tt := range []struct {
		name string
		list []quarantine.Entry
	}{{"empty", nil}, {"others", others}, {"same but for the body", append(others[1:], same)}} {
		b.Run(tt.name, func(b *testing.B) {
			g := &Gateway{suspicions: newSuspicions(monotonic())}
			l := quarantine.List{}.WithChanges(tt.list, nil)
			g.suspicions.list.Store(&l)
			g.suspicions.followsLeader.Store(true)
			r := httptest.NewRequest(http.MethodPost, "/again/", nil)
			r.Host = "host"
			c := &call{g: g, r: r, body: body, account: document.Account{Name: "t"}}
			for b.Loop() {
				c.cachedKey = nil
				if err := c.checkQuarantine(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkParts measures what the parts of a prompt cost a request: their keys, the check against a list and
// the record that an answer has begun.
func BenchmarkParts(b *testing.B) {
	g := &Gateway{suspicions: newSuspicions(monotonic())}
	g.suspicions.followsLeader.Store(true)
	var m protocol.Quarantine
	for i := range 64 {
		k := quarantine.Part{Pool: "p", Name: fmt.Sprint("other", i)}.Key()
		m.SuspectParts = append(m.SuspectParts, protocol.SuspectPart{Key: k[:], Crashes: 2})
	}
	prompt := place.Prompt{Model: "m", Shared: []place.Part{{Name: "5c1e07a2"}, {Name: "91bd3f06"}, {Name: "e4402b7d"}}}
	for _, listed := range []bool{false, true} {
		b.Run(fmt.Sprintf("listed=%t", listed), func(b *testing.B) {
			if listed {
				g.suspicions.parts.applyList(m)
			}
			b.ReportAllocs()
			for b.Loop() {
				c := &call{g: g, head: RequestHead{Prompt: prompt}, pool: document.Pool{Name: "p"}}
				c.findPartSuspicion()
				c.partsBegun()
			}
		})
	}
}

// BenchmarkLoadReport measures the periodic work of a gateway with two requests in flight and
// 10,000 listed servers: its report and the update from the leader's sums, ten times per second.
func BenchmarkLoadReport(b *testing.B) {
	t := newTable("g", "hall-0", monotonic())
	t.setSite("", topology.Topology{}, 0)
	m := protocol.Servers{Term: 1, Whole: true}
	for i := range 10_000 {
		m.Set = append(m.Set, listedEngine(i))
	}
	t.update(m)
	p := t.pool("engines")
	for i := range 2 {
		p.servers[i].ownLoad.Requests = 1
		p.markBusy(p.servers[i])
	}
	seq := uint64(0)
	for b.Loop() {
		seq++
		t.takeReport(seq)
		t.updateLoads(t.now(), seq, []protocol.ServerLoad{{Handle: uint32(1 + seq%9000), Requests: 1}})
	}
}
