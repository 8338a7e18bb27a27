//go:build review

// SPDX-License-Identifier: Apache-2.0

// Command hotlookup plays a service of three workers that crash one after the other while clients look things up, and
// checks that lookups are not denied once the workers are back.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/review/stage"
)

const (
	clients  = 33
	pause    = 120 * time.Millisecond // of a client between two lookups, on average
	work     = 78 * time.Millisecond  // of a worker on a lookup
	things   = 100                    // that are looked up
	hotShare = 0.28                   // of the lookups are about one thing
	hotFor   = 5500 * time.Millisecond
	deadline = 3 * time.Second
	between  = 37 * time.Millisecond   // between two crashes
	downFor  = 4500 * time.Millisecond // of a worker that crashed
	rounds   = 2
	every    = 66 * time.Second // from one round to the next: crashes count against later ones for a minute
	settle   = 6 * time.Second  // of traffic before the first round
	after    = 10 * time.Second // of traffic after the last round
)

func main() {
	stage.RunAsWorker()
	os.Exit(run())
}

// play is the state of a run.
type play struct {
	s       *stage.Stage
	trouble bool

	mu      sync.Mutex // guards the fields below
	counts  map[int]int
	denied  int
	first   map[int]string // first answer of a status
	total   int
	hotTill time.Time
}

func run() int {
	s, err := stage.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Close()
	p := &play{s: s, trouble: os.Getenv("TROUBLE") != "0", counts: map[int]int{}, first: map[int]string{}}
	if err := p.play(); err != nil {
		s.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return p.judge()
}

func (p *play) play() error {
	if err := p.s.StartNodes(5, 3); err != nil {
		return err
	}
	if err := p.s.Order(http.MethodPut, "/config", config(), 15*time.Second); err != nil {
		return err
	}
	var workers []*stage.Worker
	life := 0
	start := func(i int) error {
		life++
		w, err := p.s.StartWorker(stage.WorkerSettings{
			ID: fmt.Sprintf("i-%d-%d", i+1, life), Address: fmt.Sprintf("%s:8080", p.s.IP(60+i)), Service: "app", Zone: []string{"hall-a", "hall-b", "hall-c"}[i],
			Controls: p.s.Controls(), Slots: 6, Work: work,
		}, func(worker, line string) { p.s.Logf("worker %s: %s", worker, line) })
		if err == nil && i < len(workers) {
			workers[i] = w
		} else if err == nil {
			workers = append(workers, w)
		}
		return err
	}
	for i := range 3 {
		if err := start(i); err != nil {
			return err
		}
	}
	if err := p.s.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all workers have announced themselves to every gateway
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { p.client(ctx, p.s.Fronts()[i%3]) })
	}
	time.Sleep(settle)
	for round := range rounds {
		began := time.Now()
		p.mu.Lock()
		p.hotTill = began.Add(hotFor)
		p.mu.Unlock()
		p.s.Logf("one thing is hot")
		time.Sleep(3 * time.Second)
		if p.trouble {
			first := time.Now()
			for i, w := range workers {
				time.Sleep(time.Until(first.Add(time.Duration(i) * between)))
				p.s.Logf("worker %s crashes", w.ID)
				w.Kill()
			}
			time.Sleep(downFor)
			for i := range 3 {
				if err := start(i); err != nil {
					cancel()
					return err
				}
			}
		}
		if round+1 < rounds {
			time.Sleep(10 * time.Second)
			p.mu.Lock()
			p.hotTill = time.Now().Add(hotFor)
			p.mu.Unlock()
			p.s.Logf("the same thing is hot")
			time.Sleep(every - time.Since(began))
		}
	}
	p.mu.Lock()
	p.hotTill = time.Now().Add(hotFor)
	p.mu.Unlock()
	p.s.Logf("the same thing is hot")
	time.Sleep(after)
	cancel()
	wg.Wait()
	if ended := p.s.Ended(); len(ended) > 0 {
		return fmt.Errorf("nodes ended by themselves: %v", ended)
	}
	return nil
}

// client looks things up until ctx ends. It retries once after a failure, on a new connection.
func (p *play) client(ctx context.Context, address string) {
	c := &stage.Client{Address: address}
	defer c.Close()
	for ctx.Err() == nil {
		q := stage.Request{Method: http.MethodGet, Host: "lookup.example", Path: fmt.Sprintf("/things/%d", p.thing()), Key: "key-of-tenant-1", Deadline: deadline}
		began := time.Now()
		for try := range 2 {
			a := c.Do(ctx, q)
			p.record(q, a)
			if a.Status/100 == 2 || a.Status == 400 || a.Status == 401 || a.Status == 404 || a.Status == 413 || a.Status == 431 || try > 0 {
				break
			}
			c.Close()
			wait := max(a.Wait, 100*time.Millisecond)
			if wait > (deadline-time.Since(began))/3 {
				break
			}
			time.Sleep(wait)
			q.Deadline = deadline - time.Since(began)
		}
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(pause)))
	}
}

// thing returns which thing a lookup is about.
func (p *play) thing() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.hotTill) && rand.Float64() < hotShare {
		return 0
	}
	return rand.IntN(things)
}

func (p *play) record(q stage.Request, a stage.Answer) {
	p.s.Logf("client: %s %s id %s: status %d seal %q body %.60q err %v", q.Method, q.Path, a.ID, a.Status, a.Seal, a.Body, a.Err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total++
	p.counts[a.Status]++
	if p.first[a.Status] == "" {
		p.first[a.Status] = fmt.Sprintf("%s %s %.60q", a.ID, q.Path, a.Body)
	}
	own := a.Seal == "" && a.Status/100 >= 3 && a.Status/100 <= 4
	if own && a.Status != http.StatusRequestTimeout && a.Status != http.StatusMisdirectedRequest && a.Status != http.StatusTooManyRequests {
		p.denied++
	}
}

func (p *play) judge() int {
	p.s.NodeLogs("condemned", "request released", "parts condemned")
	limit := 5 + float64(p.total)/500
	for status, n := range p.counts {
		p.s.Logf("status %d: %d answers, first %s", status, n, p.first[status])
	}
	verdict, code := "the rule held", 0
	if p.counts[200] == 0 {
		verdict, code = "the case could not run: nothing was served", 2
	} else if float64(p.denied) > limit {
		verdict, code = "rule broken: DENIED", 1
	}
	line := fmt.Sprintf("%d requests, %d denied with a 3xx or 4xx of the gateways' own, allowed %.1f: %s", p.total, p.denied, limit, verdict)
	p.s.Logf("%s", line)
	fmt.Println(line)
	return code
}

func config() []byte {
	c, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-lookup", "Host": "lookup.example", "PathPrefix": "/things/", "Kind": "idempotent", "TimeoutMs": 3000, "SloMs": 300, "Priority": 2,
			"Service": "app", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 280000},
		"Tenants":  []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{"key-of-tenant-1"}, "Priority": 1}},
	})
	return c
}
