//go:build review

// SPDX-License-Identifier: Apache-2.0

// Command stopping stops and starts the gateways of a small deployment in turn while clients keep connections to them, and
// checks that no request that a gateway has passed on to a worker ends without an answer.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/review/stage"
)

const (
	gateways  = 7
	workers   = 6
	clients   = 9000                 // each keeps one connection
	shortest  = 4 * time.Second      // between two requests of a client
	longest   = 8 * time.Second      // the same
	work      = 8 * time.Millisecond // of a worker on a request
	deadline  = 1000 * time.Millisecond
	grace     = 8 * time.Second         // GraceS
	rounds    = 9                       // times that each gateway is stopped and started
	gap       = 1300 * time.Millisecond // from one SIGTERM to the next
	settle    = 9 * time.Second         // until all connections are open
	afterStop = grace + time.Second
)

func main() {
	stage.RunAsWorker()
	os.Exit(run())
}

// attempt is an attempt of a client that got no answer.
type attempt struct {
	id, gateway string
	sent, ended time.Time
	err         error
}

// play is the state of a run.
type play struct {
	s       *stage.Stage
	trouble bool
	fronts  []*stage.Front
	in      []atomic.Bool // gateways that get new connections

	mu         sync.Mutex // guards the fields below
	begun      map[string]bool
	unanswered []attempt
	stops      map[string][]time.Time // SIGTERMs by gateway
	statuses   map[int]int
}

func run() int {
	s, err := stage.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Close()
	p := &play{s: s, trouble: os.Getenv("TROUBLE") != "0", begun: map[string]bool{}, stops: map[string][]time.Time{}, statuses: map[int]int{}}
	if err := p.play(); err != nil {
		s.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return p.judge()
}

func (p *play) play() error {
	if err := p.s.StartNodes(5, gateways); err != nil {
		return err
	}
	if err := p.s.Order(http.MethodPut, "/config", config(), 15*time.Second); err != nil {
		return err
	}
	for i := range workers {
		_, err := p.s.StartWorker(stage.WorkerSettings{
			ID: fmt.Sprintf("i-%d", i+1), Address: fmt.Sprintf("%s:8080", p.s.IP(60+i)), Service: "app", Zone: []string{"hall-a", "hall-b", "hall-c"}[i%3],
			Controls: p.s.Controls(), Slots: 6, Work: work,
		}, p.line)
		if err != nil {
			return err
		}
	}
	if err := p.s.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all workers have announced themselves to every gateway
	p.fronts = p.s.FrontNodes()
	p.in = make([]atomic.Bool, len(p.fronts))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range p.fronts {
		p.in[i].Store(true)
		wg.Go(func() { p.askReady(ctx, i) })
	}
	for i := range clients {
		wg.Go(func() { p.client(ctx, i) })
	}
	defer wg.Wait()
	defer cancel()
	time.Sleep(settle)
	if err := p.roll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// roll stops the gateways in turn and starts each of them again as soon as it has ended.
func (p *play) roll() error {
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, rounds*gateways)
	for range rounds {
		for _, f := range p.fronts {
			time.Sleep(gap)
			if !p.trouble {
				continue
			}
			if !f.Ready() {
				p.s.Logf("%s is not ready yet, and is left out", f.Name())
				continue
			}
			p.mu.Lock()
			p.stops[f.Name()] = append(p.stops[f.Name()], time.Now())
			p.mu.Unlock()
			p.s.Logf("SIGTERM to %s", f.Name())
			wg.Go(func() {
				ran, err := f.Restart(grace)
				if err != nil {
					failed <- err
				}
				p.s.Logf("%s ended %v after the SIGTERM and is started again", f.Name(), ran.Round(time.Millisecond))
			})
			select {
			case err := <-failed:
				return err
			default:
			}
		}
	}
	return nil
}

// line notes what a worker writes.
func (p *play) line(worker, line string) {
	words := strings.Fields(line)
	if words[0] == "begin" {
		p.mu.Lock()
		p.begun[words[1]] = true
		p.mu.Unlock()
	}
	p.s.Logf("worker %s: %s", worker, line)
}

// askReady asks a gateway every second whether it is ready. One that missed twice gets no new connection until it is.
func (p *play) askReady(ctx context.Context, i int) {
	missed := 0
	for ctx.Err() == nil {
		if p.fronts[i].Ready() {
			missed = 0
			p.in[i].Store(true)
		} else if missed++; missed >= 2 {
			p.in[i].Store(false)
		}
		time.Sleep(time.Second)
	}
}

// gateway returns the gateway to which the platform passes a new connection of a client.
func (p *play) gateway(client int) int {
	for n := range p.fronts {
		if i := (client + n) % len(p.fronts); p.in[i].Load() {
			return i
		}
	}
	return client % len(p.fronts)
}

// client sends requests that may run once, on a connection that it keeps. It opens another one if that is closed.
func (p *play) client(ctx context.Context, n int) {
	c := &stage.Client{}
	defer c.Close()
	wait := time.Duration(rand.Float64() * float64(longest))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = shortest + time.Duration(rand.Float64()*float64(longest-shortest))
		if !c.Open() {
			to := p.gateway(n)
			c.Address = p.fronts[to].Address
		}
		sent := time.Now()
		a := c.Do(ctx, stage.Request{Method: http.MethodPost, Host: "tiles.example", Path: "/tiles/7", Key: "key-of-tenant-1", Deadline: deadline, Body: `{"tile":7}`})
		p.s.Logf("client %d at %s: POST id %s: status %d seal %q err %v", n, c.Address, a.ID, a.Status, a.Seal, a.Err)
		p.mu.Lock()
		p.statuses[a.Status]++
		if a.Err != nil && !errors.Is(a.Err, os.ErrDeadlineExceeded) {
			p.unanswered = append(p.unanswered, attempt{id: a.ID, gateway: p.name(c.Address), sent: sent, ended: time.Now(), err: a.Err})
		}
		p.mu.Unlock()
	}
}

// excused reports whether a request may be cut, by when it was sent and ended after the SIGTERM: its worker was still at
// work in the last sixth of the grace.
func excused(sent, ended time.Duration) bool {
	return sent <= 3*time.Second && ended >= grace-grace/6
}

// name returns the name of the gateway at an address.
func (p *play) name(address string) string {
	for _, f := range p.fronts {
		if f.Address == address {
			return f.Name()
		}
	}
	return address
}

func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for _, a := range p.unanswered {
		if !p.begun[a.id] || a.ended.Sub(a.sent) >= deadline {
			continue // not passed on, or its time was over
		}
		for _, at := range p.stops[a.gateway] {
			if a.ended.After(at) && a.ended.Before(at.Add(afterStop)) && !excused(a.sent.Sub(at), a.ended.Sub(at)) {
				lost++
				p.s.Logf("lost: %s, sent to %s %v after its SIGTERM and passed on to a worker, ended %v later without an answer: %v",
					a.id, a.gateway, a.sent.Sub(at).Round(time.Millisecond), a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
			}
		}
	}
	p.s.NodeLogs("requests cut off by stop")
	p.s.Logf("statuses: %v", p.statuses)
	total := 0
	for _, n := range p.statuses {
		total += n
	}
	verdict, code := "the rule held", 0
	switch {
	case p.statuses[200] == 0:
		verdict, code = "the case could not run: nothing was served", 2
	case lost > 0:
		verdict, code = "rule broken: LOST", 1
	}
	line := fmt.Sprintf("%d requests, %d ended without an answer, %d of them had been passed on to a worker around a SIGTERM: %s", total, len(p.unanswered), lost, verdict)
	p.s.Logf("%s", line)
	fmt.Println(line)
	return code
}

func config() []byte {
	c, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-tiles", "Host": "tiles.example", "PathPrefix": "/tiles/", "Kind": "non_idempotent", "TimeoutMs": 1000, "SloMs": 100, "Priority": 2,
			"Service": "app", "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 280000},
		"Tenants":  []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{"key-of-tenant-1"}, "Priority": 1}},
	})
	return c
}
