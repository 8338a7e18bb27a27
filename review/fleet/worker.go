// SPDX-License-Identifier: Apache-2.0

//go:build review

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines Worker, a stand-in for a worker, as the pages describe it.

// Worker is one incarnation of a worker.
type Worker struct {
	ID, Service, Addr, Zone string
	Slots                   int
	Record                  *Record
	// Serve answers a request that has arrived for this worker. It runs in a slot.
	Serve func(w http.ResponseWriter, r *http.Request, body []byte)

	slots   chan struct{}
	server  *http.Server
	cancel  context.CancelFunc
	done    sync.WaitGroup
	arrived sync.Map // true by request id
	Arrived atomic.Int64
}

// Start listens on addr and announces the worker to the core until Stop.
func (w *Worker) Start(ip string, control []string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	w.Addr, w.slots = l.Addr().String(), make(chan struct{}, w.Slots)
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Add(2)
	go func() { defer w.done.Done(); _ = w.server.Serve(l) }()
	go func() { defer w.done.Done(); w.announce(ctx, control) }()
	w.Record.Add(w.ID, "starts at %s for %s with %d slots", w.Addr, w.Service, w.Slots)
	return nil
}

// Stop ends the worker.
func (w *Worker) Stop() {
	w.cancel()
	_ = w.server.Close()
	w.done.Wait()
}

// HasArrived reports whether a request reached this worker.
func (w *Worker) HasArrived(id string) bool { _, ok := w.arrived.Load(id); return ok }

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Record.Add(w.ID, "body of %s broken: %v", id, err)
		return
	}
	w.arrived.Store(id, true)
	w.Arrived.Add(1)
	w.Record.Add(w.ID, "request %s arrives: %s %s, %d bytes, Last-Event-Id %q", id, r.Method, r.RequestURI, len(body), r.Header.Get("Last-Event-Id"))
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.Serve(rw, r, body)
}

// Seal signs a body as a worker does: who, which request, how long, and a check sum.
func (w *Worker) Seal(id string, body []byte) string {
	return fmt.Sprintf("%s.%s.%x.%08x", w.ID, id, len(body), crc32.ChecksumIEEE(append([]byte(id+"|"), body...)))
}

// announce sends heartbeats until ctx ends.
func (w *Worker) announce(ctx context.Context, control []string) {
	for seq, at := 1, 0; ctx.Err() == nil; seq++ {
		beat, _ := json.Marshal(map[string]any{
			"Service": w.Service, "Addr": w.Addr, "Zone": w.Zone, "Version": "v1", "Slots": w.Slots, "State": "ready", "ColdLeftMs": 0, "Seq": seq,
			"Stage": "mixed", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}},
		})
		wait := 1200 * time.Millisecond
		if _, status, err := Call(ctx, http.MethodPut, control[at%len(control)], "/instances/"+w.ID, beat); err != nil || status/100 != 2 {
			at++
			wait = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Call sends a call to a core machine, with a second to answer, and follows two redirects.
func Call(ctx context.Context, method, addr, path string, body []byte) (answer []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := &http.Client{CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return answer, resp.StatusCode, err
}
