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

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines Engine, the stand-in for a model engine.

// EngineSettings configures an engine.
type EngineSettings struct {
	Slots      int           // maximum number of running requests
	TokenTime  time.Duration // time between two tokens
	PromptTime time.Duration // time before the first token
	Resumable  bool          // streams can be resumed after a broken connection
}

// Engine responds to completion requests for any model. A response has max_tokens tokens, or
// defaultTokens if the request has no limit. Each token is "tok" followed by its index.
type Engine struct {
	failures
	cfg     EngineSettings
	batch   *batch
	streams streams

	mu       sync.Mutex
	runs     int
	load     string // load reported in responses, up to loadLag old
	loadTime time.Time
}

var _ http.Handler = (*Engine)(nil)

// NewEngine returns an idle engine.
func NewEngine(cfg EngineSettings) *Engine {
	return &Engine{cfg: cfg, batch: newBatch(cfg.Slots)}
}

// Runs returns the number of requests started so far.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// Running returns the number of requests that hold a slot.
func (e *Engine) Running() int { return e.batch.running() }

// ServeHTTP serves the OpenAI-style API and, under /standin/, the rest of interrupted streams.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		e.serveCompletion(w, r)
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

// defaultTokens is the number of tokens of a response to a request without max_tokens.
const defaultTokens = 16

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultTokens
	}
	failure := e.takeFailure()
	if e.refuseIfDue(w, failure) {
		return
	}
	if e.batch.acquire(r.Context()) != nil {
		return
	}
	e.mu.Lock()
	e.runs++
	w.Header().Set(loadHeader, e.reportedLoad())
	e.mu.Unlock()
	run := &completion{w: w, ctx: r.Context(), req: req, cfg: e.cfg, failure: failure, promptTokens: int(r.ContentLength) / 4}
	if e.cfg.Resumable && req.Stream {
		e.serveResumable(run)
		return
	}
	defer e.batch.release()
	run.serve()
}

const (
	loadHeader = "Badgerspoke-Load"
	// loadLag is the maximum age of the reported load. Real engines report it with a delay too.
	loadLag = time.Second
)

// reportedLoad returns the numbers of running and waiting requests, which may be up to loadLag old.
// The caller holds mu.
func (e *Engine) reportedLoad() string {
	if now := time.Now(); e.load == "" || now.Sub(e.loadTime) >= loadLag {
		e.load, e.loadTime = fmt.Sprintf("%d/%d", e.batch.running(), e.batch.waiting()), now
	}
	return e.load
}

// serveResumable generates the response independently of the connection. The slot is released when the
// generation ends, not when the connection closes.
func (e *Engine) serveResumable(run *completion) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &resumableStream{cancel: cancel, changed: make(chan struct{})}
	path := e.streams.add(l)
	go func() {
		l.generate(ctx, *run)
		e.batch.release()
		cancel()
	}()
	run.w.Header().Set("Content-Type", "text/event-stream")
	run.w.Header().Set(resumeHeader, path)
	l.copy(run.ctx, run.w, 0, run.failure)
}

// completion is one running request.
type completion struct {
	w            http.ResponseWriter
	ctx          context.Context
	req          completionRequest
	cfg          EngineSettings
	failure      Failure
	promptTokens int
}

func (c *completion) serve() {
	if c.failure == AbortBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	if !sleep.For(c.ctx, c.cfg.PromptTime) {
		return
	}
	if c.req.Stream {
		c.stream()
		return
	}
	c.serveUnstreamed()
}

func (c *completion) stream() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	if c.failure == Unframed {
		c.w.Header().Set("Transfer-Encoding", "identity") // makes net/http frame nothing
	}
	for i := range c.req.MaxTokens {
		if c.failure == AbortMidResponse && i == c.req.MaxTokens/2 {
			panic(http.ErrAbortHandler)
		}
		if c.failure == Truncate && i == c.req.MaxTokens/2 {
			return
		}
		if !sleep.For(c.ctx, c.cfg.TokenTime) {
			return
		}
		_, _ = c.w.Write(c.event(i))
		if http.NewResponseController(c.w).Flush() != nil {
			return
		}
	}
	_, _ = c.w.Write(c.finalEvents())
}

// event returns the event of the i-th token of a stream.
func (c *completion) event(i int) []byte {
	return fmt.Appendf(nil, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"tok%d \"}}]}\n\n", c.req.Model, i)
}

// finalEvents returns the usage event and the end mark of a stream.
func (c *completion) finalEvents() []byte {
	return fmt.Appendf(nil, "data: {\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", c.usage())
}

func (c *completion) serveUnstreamed() {
	if !sleep.For(c.ctx, time.Duration(c.req.MaxTokens)*c.cfg.TokenTime) {
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
	if c.failure == AbortMidResponse {
		fmt.Fprint(c.w, body[:len(body)/2])
		_ = http.NewResponseController(c.w).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(c.w, body)
}

func (c *completion) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d}`, c.promptTokens, c.req.MaxTokens)
}

// writeRefusal writes a response that says that the request was not started.
func writeRefusal(w http.ResponseWriter) {
	w.Header().Set("Badgerspoke-Refused", "true")
	http.Error(w, `{"error":{"message":"refused"}}`, http.StatusServiceUnavailable)
}
