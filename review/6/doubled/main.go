//go:build review

// SPDX-License-Identifier: Apache-2.0

// Command doubled plays a service of which one worker is left after two were taken away. The worker is full now and then,
// and some of its refusals come a second time, late. The command checks what becomes of requests that may run once.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/review/stage"
)

const (
	clients  = 6
	pause    = 150 * time.Millisecond // of a client between two requests, on average
	work     = 60 * time.Millisecond  // of a worker on a request
	deadline = 3 * time.Second
	rounds   = 10 // times at which the worker is full for a moment
	refused  = 3  // requests that it refuses each time
)

func main() {
	stage.RunAsWorker()
	os.Exit(run())
}

// play is the state of a run.
type play struct {
	s       *stage.Stage
	trouble bool

	mu       sync.Mutex // guards the fields below
	begun    map[string]int
	answers  map[string]int
	statuses map[int]int
	left     int // workers that have left
	doubled  int // surplus answers
	all      int // answers of workers
}

func run() int {
	s, err := stage.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Close()
	p := &play{s: s, trouble: os.Getenv("TROUBLE") != "0", begun: map[string]int{}, answers: map[string]int{}, statuses: map[int]int{}}
	if err := p.play(); err != nil {
		s.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return p.judge()
}

// line notes what a worker writes.
func (p *play) line(worker, line string) {
	p.s.Logf("worker %s: %s", worker, line)
	p.mu.Lock()
	defer p.mu.Unlock()
	words := strings.Fields(line)
	switch words[0] {
	case "begin":
		p.begun[words[1]]++
	case "end", "refuse", "full", "misdirected":
		p.all++
	case "surplus":
		p.doubled++
	case "left":
		p.left++
	}
}

func (p *play) play() error {
	if err := p.s.StartNodes(5, 3); err != nil {
		return err
	}
	if err := p.s.Order(http.MethodPut, "/config", config(), 15*time.Second); err != nil {
		return err
	}
	var workers []*stage.Worker
	for i := range 3 {
		w, err := p.s.StartWorker(stage.WorkerSettings{
			ID: fmt.Sprintf("i-%d", i+1), Address: fmt.Sprintf("%s:8080", p.s.IP(60+i)), Service: "app", Zone: []string{"hall-a", "hall-b", "hall-c"}[i],
			Controls: p.s.Controls(), Slots: 6, Work: work,
		}, p.line)
		if err != nil {
			return err
		}
		workers = append(workers, w)
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
	defer wg.Wait()
	defer cancel()
	time.Sleep(2 * time.Second)
	for _, w := range workers[:2] {
		p.s.Logf("worker %s is taken away", w.ID)
		w.Tell("leave")
		time.Sleep(4 * time.Second)
	}
	p.mu.Lock()
	left := p.left
	p.mu.Unlock()
	if left != 2 {
		return fmt.Errorf("%d workers have left", left)
	}
	for range rounds {
		time.Sleep(2 * time.Second)
		if p.trouble {
			workers[2].Tell(fmt.Sprintf("refuse %d 1", refused))
		}
	}
	time.Sleep(3 * time.Second)
	if ended := p.s.Ended(); len(ended) > 0 {
		return fmt.Errorf("nodes ended by themselves: %v", ended)
	}
	return nil
}

// client sends requests that may run once until ctx ends. It retries once, on a new connection, and only after a promise
// that the request has not run.
func (p *play) client(ctx context.Context, address string) {
	c := &stage.Client{Address: address}
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		q := stage.Request{Method: http.MethodPost, Host: "book.example", Path: fmt.Sprintf("/slots/%d", n), Key: "key-of-tenant-1", Deadline: deadline, Body: `{"slot":"` + stage.NewID() + `"}`}
		for try := range 2 {
			a := c.Do(ctx, q)
			p.s.Logf("client: %s %s id %s: status %d seal %q body %.60q err %v", q.Method, q.Path, a.ID, a.Status, a.Seal, a.Body, a.Err)
			p.mu.Lock()
			p.answers[a.ID] = a.Status
			p.statuses[a.Status]++
			p.mu.Unlock()
			if !promises(a.Status) || try > 0 {
				break
			}
			c.Close()
			time.Sleep(min(a.Wait, deadline/3))
		}
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(pause)))
	}
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	twice, promised := 0, 0
	for id, n := range p.begun {
		if n > 1 {
			twice++
			p.s.Logf("%s has run %d times; the client got %d", id, n, p.answers[id])
		}
		if promises(p.answers[id]) {
			promised++
			p.s.Logf("%s has run; the client got %d", id, p.answers[id])
		}
	}
	p.s.NodeLogs(`"attempt failed"`)
	p.s.Logf("statuses: %v", p.statuses)
	verdict, code := "the rules held", 0
	switch {
	case p.statuses[200] == 0:
		verdict, code = "the case could not run: nothing was served", 2
	case twice+promised > 0:
		verdict, code = "rules broken: TWICE, REFUSED", 1
		if twice == 0 {
			verdict = "rule broken: REFUSED"
		}
	}
	line := fmt.Sprintf("%d requests that may run once, %d answers of workers, %d of them surplus; %d ran twice, %d ran although the client got 429 or 503: %s",
		len(p.answers), p.all+p.doubled, p.doubled, twice, promised, verdict)
	p.s.Logf("%s", line)
	fmt.Println(line)
	return code
}

func config() []byte {
	c, _ := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-book", "Host": "book.example", "PathPrefix": "/slots/", "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 300, "Priority": 2,
			"Service": "app", "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 280000},
		"Tenants":  []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{"key-of-tenant-1"}, "Priority": 1}},
	})
	return c
}
