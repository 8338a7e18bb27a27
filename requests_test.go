// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/matryer/is"
)

// This file defines the requests of callers to a testFleet, sent one by one,
// concurrently or as a load, and the checks of their responses.

// request is a caller's request to one router.
type request struct {
	router string
	method string
	path   string
	key    string // API key of the account
	body   string
	header map[string]string
	ctx    context.Context
}

// completion returns a request for a completion by model "m".
func completion(router, account string, tokens int, stream bool) request {
	return request{
		router: router, path: "/v1/chat/completions", key: account,
		body: fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d}`, stream, tokens),
	}
}

// order returns a request to the plain service, with an idempotency key unless it is empty.
func order(router, account, body, idempotencyKey string) request {
	r := request{router: router, path: "/services/stock/orders", key: account, body: body}
	if idempotencyKey != "" {
		r.header = map[string]string{"Idempotency-Key": idempotencyKey}
	}
	return r
}

// response is what a caller received: a response, or the error of the request.
type response struct {
	status  int
	outcome string
	body    string
	header  http.Header
	framed  bool // it has a length or chunks
	err     error
	took    time.Duration
}

// do sends a request and reads its response.
func (f *testFleet) do(r request) response {
	began := time.Now()
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.ctx == nil {
		r.ctx = context.Background()
	}
	req, err := http.NewRequestWithContext(r.ctx, r.method, f.scheme+f.boxes[r.router].ip+":8080"+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		f.t.Error(err)
		return response{err: err}
	}
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, outcome: resp.Header.Get("Badgerspoke-Outcome"), body: string(body),
		header: resp.Header, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, err: err, took: time.Since(began),
	}
}

// startAll sends requests concurrently and returns a function that waits for
// their responses.
func (f *testFleet) startAll(rs ...request) func() []response {
	out := make([]response, len(rs))
	var wg sync.WaitGroup
	for i, r := range rs {
		wg.Go(func() { out[i] = f.do(r) })
	}
	return func() []response { wg.Wait(); return out }
}

// startLoad sends the same request from n concurrent callers, each in a loop, until
// stop is called. stop returns all responses.
func (f *testFleet) startLoad(n int, r request) (stop func() []response) {
	done := make(chan struct{})
	out := make(chan []response, n)
	for range n {
		go func() {
			var responses []response
			for {
				select {
				case <-done:
					out <- responses
					return
				default:
					responses = append(responses, f.do(r))
				}
			}
		}()
	}
	return func() []response {
		close(done)
		var all []response
		for range n {
			all = append(all, <-out...)
		}
		return all
	}
}

// checkComplete checks that every response is a complete stream, and that there are at least atLeast.
func checkComplete(is *is.I, all []response, atLeast int) {
	is.Helper()
	is.True(len(all) >= atLeast)
	for _, a := range all {
		is.NoErr(a.err)
		if a.status != 200 {
			is.Equal(a.body, "") // the status isn't 200; shows the body
		}
		is.True(strings.HasSuffix(a.body, "data: [DONE]\n\n"))
	}
}
