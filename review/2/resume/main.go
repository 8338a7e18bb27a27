// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command resume plays the case "a failure of the worker that takes up a stream is written into the stream".
// Some workers break off a stream, and the worker at which the front takes it up fails that request.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/review/fleet"
)

const (
	fronts, cores = 2, 5
	clients       = 10      // at each front: about 21 requests a second, as on the sheet
	events        = 40      // of a stream
	brokenAt      = 12      // last whole event before a worker breaks off
	longFailure   = 300_000 // bytes

	// The disruptions come together, more than once, with the largest doses of the site file, not doubled.
	rounds      = 8
	troubleFor  = 4 * time.Second // srv_grey: for_s = 4.0
	calmFor     = 4 * time.Second
	brokenShare = 0.05 // garble: x = 0.05
	failedShare = 0.45 // srv_grey: how = "errors all", share = 1.0, x = 0.45
)

// play is the state of one run.
type play struct {
	f       *fleet.Fleet
	rec     *fleet.Record
	trouble bool
	on      atomic.Bool // the disruptions last
	workers []*fleet.Worker

	mu     sync.Mutex
	seq    int
	broken int               // answers that look complete and are not
	failed map[string]string // how the worker failed that took the stream up, by request
	counts map[string]int
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	gateway := flag.String("gateway", "target/badgerspoke-node", "command of the deploy file")
	directory := flag.String("directory", "target/badgerspoke-node", "command of the deploy file")
	flag.Parse()
	rec, err := fleet.NewRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	p := &play{rec: rec, trouble: os.Getenv("TROUBLE") != "0", failed: map[string]string{}, counts: map[string]int{}}
	code := p.run(fleet.Options{Root: *root, Record: rec, Fronts: fronts, Cores: cores,
		Command: map[string]string{"gateway": *gateway, "directory": *directory}})
	rec.Close()
	os.Exit(code)
}

// run plays the case and returns the exit code.
func (p *play) run(o fleet.Options) int {
	f, err := fleet.Start(o)
	if err != nil {
		p.rec.Print("could not run: %v", err)
		return 2
	}
	defer f.Close()
	p.f = f
	if err := p.prepare(); err != nil {
		p.rec.Print("could not run: %v", err)
		return 2
	}
	time.Sleep((fleet.ContactMs + 1000) * time.Millisecond)
	var all sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range f.Fronts {
		for range clients {
			all.Add(1)
			go func() { defer all.Done(); p.client(n, stop) }()
		}
	}
	for range rounds {
		p.on.Store(p.trouble)
		time.Sleep(troubleFor)
		p.on.Store(false)
		time.Sleep(calmFor)
	}
	close(stop)
	all.Wait()
	for _, w := range p.workers {
		w.Stop()
	}
	for kind, n := range p.counts {
		p.rec.Print("%d answers: %s", n, kind)
	}
	if p.broken > 0 {
		p.rec.Print("ORDER is broken: %d streams end as complete before their last piece", p.broken)
		return 1
	}
	p.rec.Print("ORDER holds")
	return 0
}

// prepare starts the workers and brings the first configuration into force.
func (p *play) prepare() error {
	for i := range 9 {
		w := &fleet.Worker{ID: fmt.Sprintf("i-lm%d", i), Service: fleet.Models, Zone: "ba-hall-a", Slots: 64, Record: p.rec}
		w.Serve = p.stream(w)
		if err := w.Start(p.f.IPOf(100+i), p.f.Seeds); err != nil {
			return err
		}
		p.workers = append(p.workers, w)
	}
	if err := p.f.Put(fleet.BaseConfig(1), 20*time.Second); err != nil {
		return err
	}
	return p.f.AwaitReady()
}

// event returns one event of a stream.
func event(id string, n int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// stream answers as a model worker does. In trouble it fails a part of all requests, and breaks off some
// streams within an event.
func (p *play) stream(w *fleet.Worker) func(http.ResponseWriter, *http.Request, []byte) {
	return func(rw http.ResponseWriter, r *http.Request, _ []byte) {
		id, last := r.Header.Get("X-Request-Id"), 0
		if text := r.Header.Get("Last-Event-Id"); text != "" {
			last, _ = strconv.Atoi(text)
		}
		time.Sleep(40 * time.Millisecond)
		if p.on.Load() && rand.Float64() < failedShare {
			p.fail(w, rw, id, last)
			return
		}
		breaks := p.on.Load() && rand.Float64() < brokenShare
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("X-Server-Seal", w.Seal(id, nil))
		rw.Header().Set("X-Weight-Versions", "1")
		for n := last + 1; n <= events; n++ {
			e := event(id, n)
			if breaks && n > brokenAt {
				_, _ = rw.Write(e[:len(e)/2])
				_ = http.NewResponseController(rw).Flush()
				p.breakOff(w, rw, id, n)
				return
			}
			if _, err := rw.Write(e); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(10 * time.Millisecond)
		}
		p.rec.Add(w.ID, "has made all events of %s", id)
	}
}

// failures are the ways in which workers fail requests.
var failures = []struct {
	name   string
	status int
	body   []byte
}{
	{"500 with 300,000 bytes", http.StatusInternalServerError, bytes.Repeat([]byte("error: the model failed\n"), longFailure/24)},
	{"404 with 27 bytes", http.StatusNotFound, []byte("error: no such stream here\n")},
	{"429 with 16 bytes, without X-Not-Executed", http.StatusTooManyRequests, []byte("error: too many\n")},
	{"500 with 24 bytes", http.StatusInternalServerError, []byte("error: the model failed\n")},
}

// fail answers a request with a failure of the worker's own.
func (p *play) fail(w *fleet.Worker, rw http.ResponseWriter, id string, last int) {
	how := failures[rand.IntN(len(failures))]
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", strconv.Itoa(len(how.body)))
	rw.Header().Set("X-Server-Seal", w.Seal(id, how.body))
	p.mu.Lock()
	p.failed[id] = how.name
	p.mu.Unlock()
	rw.WriteHeader(how.status)
	_, _ = rw.Write(how.body)
	p.rec.Add(w.ID, "fails %s after event %d: %s", id, last, how.name)
}

// breakOff resets the connection of a request.
func (p *play) breakOff(w *fleet.Worker, rw http.ResponseWriter, id string, n int) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		p.rec.Add(w.ID, "cannot break off %s: %v", id, err)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	p.rec.Add(w.ID, "breaks off %s within event %d", id, n)
}

// client sends streams on a kept connection until stop is closed, and judges the answers.
func (p *play) client(n *fleet.Node, stop chan struct{}) {
	c := &fleet.Client{Front: n}
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		p.mu.Lock()
		p.seq++
		id := fmt.Sprintf("9c41%012x", p.seq)
		p.mu.Unlock()
		a := c.Do(fleet.Request{Method: "POST", Path: "/lohu930/2f", ID: id, Deadline: 15 * time.Second, Body: make([]byte, 12_000),
			Header: []string{"X-Model: m", "X-Token-Count: 60,20", fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:20,%08x:40", rand.Uint32())}})
		p.judge(n, id, a)
	}
}

// judge says what a client got.
func (p *play) judge(n *fleet.Node, id string, a fleet.Answer) {
	whole, pieces := a.Body, 0
	for pieces < events && bytes.HasPrefix(whole, event(id, pieces+1)) {
		pieces++
		whole = whole[len(event(id, pieces)):]
	}
	p.rec.Add("client", "%s at %s: status %d, seal %q, complete %t, %d pieces, then %d bytes, %q, error %v",
		id, n.Name, a.Status, a.Header.Get("X-Server-Seal"), a.Complete, pieces, len(whole), whole[:min(len(whole), 60)], a.Err)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.Status != http.StatusOK:
		p.counts[fmt.Sprintf("status %d", a.Status)]++
	case !a.Complete:
		p.counts[fmt.Sprintf("200, cut and seen to be cut; last failure of a worker: %q", p.failed[id])]++
	case pieces == events && len(whole) == 0:
		p.counts["200, whole"]++
	default:
		p.counts[fmt.Sprintf("200, ends as complete after %d of %d pieces and %d other bytes; last failure of a worker: %q", pieces, events, len(whole), p.failed[id])]++
		p.broken++
	}
}
