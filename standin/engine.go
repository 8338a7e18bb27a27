// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file defines Engine, the stand-in for a model engine.

// EngineSettings of an engine.
type EngineSettings struct {
	Name       string
	Models     []string
	Slots      int
	TokenTime  time.Duration // between two tokens
	PromptTime time.Duration // before the first token
	Resumable  bool          // streams can be taken up again after a break
}

// Engine answers completion requests with as many tokens as max_tokens asks
// for (16 without), each the word "tok" with its number.
type Engine struct {
	failures
	set     EngineSettings
	batch   *batch
	streams streams

	mu     sync.Mutex
	epoch  uint64 // highest fence seen
	runs   int
	told   string // load that answers tell
	toldAt time.Time
}

var _ http.Handler = (*Engine)(nil)

// NewEngine returns an engine.
func NewEngine(set EngineSettings) *Engine {
	return &Engine{set: set, batch: newBatch(set.Slots)}
}

// Runs returns the number of requests that were started.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// Load returns the numbers of running and waiting requests, and the highest
// number that ever ran at once.
func (e *Engine) Load() (running, waiting, most int) { return e.batch.load() }

// ServeHTTP serves the OpenAI-style interface and, under /standin/, what real
// engines offer in ways of their own: load and fenced orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(w, r)
	case "/standin/load":
		running, waiting, _ := e.Load()
		writeJSON(w, map[string]int{"running": running, "waiting": waiting})
	case "/standin/order":
		e.order(w, r)
	default:
		if strings.HasPrefix(r.URL.Path, streamsPath) {
			e.streams.serve(w, r)
			return
		}
		http.NotFound(w, r)
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

const defaultTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultTokens
	}
	how := e.take()
	if how == Refuse {
		refuse(w)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("Badgerspoke-Priority"))
	if e.batch.enter(r.Context(), priority) != nil {
		return
	}
	e.mu.Lock()
	e.runs++
	w.Header().Set(loadHeader, e.laggingLoad())
	e.mu.Unlock()
	run := &completion{w: w, ctx: r.Context(), req: req, set: e.set, how: how, prompt: int(r.ContentLength) / 4}
	if e.set.Resumable && req.Stream {
		e.serveResumable(run)
		return
	}
	defer e.batch.leave()
	run.serve()
}

const (
	loadHeader = "Badgerspoke-Load"
	loadLag    = time.Second // how old the load may be that answers tell
)

// laggingLoad returns the load as it was up to loadLag ago. The caller holds
// mu.
func (e *Engine) laggingLoad() string {
	if now := time.Now(); e.told == "" || now.Sub(e.toldAt) >= loadLag {
		running, waiting, _ := e.batch.load()
		e.told, e.toldAt = fmt.Sprintf("%d/%d", running, waiting), now
	}
	return e.told
}

// serveResumable generates apart from the connection. The place in the batch
// is free when the generation ends, not when the connection does.
func (e *Engine) serveResumable(run *completion) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &liveStream{cancel: cancel, changed: make(chan struct{})}
	path := e.streams.begin(l)
	go func() {
		l.generate(ctx, *run)
		e.batch.leave()
		cancel()
		time.AfterFunc(abandonAfter, func() { e.streams.end(path) })
	}()
	run.w.Header().Set("Content-Type", "text/event-stream")
	run.w.Header().Set(ResumeHeader, path)
	l.copy(run.ctx, run.w, 0, run.how)
}

// completion is one running request.
type completion struct {
	w      http.ResponseWriter
	ctx    context.Context
	req    completionRequest
	set    EngineSettings
	how    Failure
	prompt int
}

func (c *completion) serve() {
	switch c.how {
	case Hang:
		<-c.ctx.Done()
		return
	case DieEarly:
		panic(http.ErrAbortHandler)
	case BadJSON:
		c.w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(c.w, "<html>")
		return
	}
	if !c.sleep(c.set.PromptTime) {
		return
	}
	if c.req.Stream {
		c.stream()
		return
	}
	c.plain()
}

func (c *completion) stream() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	for i := range c.req.MaxTokens {
		if c.how == DieMid && i == c.req.MaxTokens/2 {
			panic(http.ErrAbortHandler)
		}
		if c.how == Truncate && i == c.req.MaxTokens/2 {
			return
		}
		if !c.sleep(c.set.TokenTime) {
			return
		}
		_, _ = c.w.Write(c.event(i))
		if http.NewResponseController(c.w).Flush() != nil {
			return
		}
	}
	_, _ = c.w.Write(c.last())
}

// event is the i-th event of a stream, and last what ends it.
func (c *completion) event(i int) []byte {
	return fmt.Appendf(nil, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"tok%d \"}}]}\n\n", c.req.Model, i)
}

func (c *completion) last() []byte {
	return fmt.Appendf(nil, "data: {\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", c.usage())
}

func (c *completion) plain() {
	if !c.sleep(time.Duration(c.req.MaxTokens) * c.set.TokenTime) {
		return
	}
	text := ""
	for i := range c.req.MaxTokens {
		text += fmt.Sprintf("tok%d ", i)
	}
	body := fmt.Sprintf(`{"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"length"}],"usage":%s}`,
		c.req.Model, text, c.usage())
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if c.how == DieMid {
		fmt.Fprint(c.w, body[:len(body)/2])
		_ = http.NewResponseController(c.w).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(c.w, body)
}

func (c *completion) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d}`, c.prompt, c.req.MaxTokens)
}

func (c *completion) sleep(d time.Duration) bool { return c.sleepFor(c.ctx, d) }

// sleepFor reports whether ctx lasted as long.
func (c *completion) sleepFor(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// order takes an order that carries an epoch and refuses one of an older
// epoch than it has seen.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || epoch < e.epoch {
		http.Error(w, `{"error":"stale epoch"}`, http.StatusConflict)
		return
	}
	e.epoch = epoch
	writeJSON(w, map[string]uint64{"epoch": epoch})
}

// refuse says that a request was not started.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Badgerspoke-Refused", "true")
	http.Error(w, `{"error":{"message":"refused"}}`, http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
