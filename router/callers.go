// SPDX-License-Identifier: Apache-2.0

package router

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines the callers' interface: paths, API keys, and how an HTTP request becomes a
// call.

// Headers that callers may set.
const (
	keyHeader    = "Idempotency-Key"
	repeatHeader = "Badgerspoke-Repeat" // safe or never
	classHeader  = "Badgerspoke-Class"  // interactive or batch
	userHeader   = "Badgerspoke-User"
)

// Headers that backend servers receive.
const (
	accountHeader  = "Badgerspoke-Account"
	priorityHeader = "Badgerspoke-Priority" // 0 is served before 1
)

// classes maps the classes that a caller may name to their priorities.
var classes = map[string]string{"interactive": "0", "batch": "1"}

const defaultClass = "interactive"

// maxUser bounds the length of a user's name, in bytes.
const maxUser = 128

// ServeHTTP serves callers and health probes.
func (r *Router) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	w := response.New(rw, req, r.recordSecondHead)
	defer w.Close()
	path := req.URL.Path
	switch {
	case path == "/healthz":
		r.writeText(w, http.StatusOK, "ok\n")
	case path == "/readyz":
		r.serveReady(w)
	case path == "/v1/models":
		r.withAccount(w, req, http.MethodGet, r.serveModels)
	case path == "/v1/chat/completions" || path == "/v1/completions":
		r.withAccount(w, req, http.MethodPost, r.serveEngine)
	case strings.HasPrefix(path, "/services/"):
		r.withAccount(w, req, "", r.serveService)
	default:
		r.refuse(w, failPath)
	}
}

// refuse responds with a failure. A response that has begun is cut off instead.
func (r *Router) refuse(w *response.Writer, f *Failure) {
	r.stats.countFailure(f)
	if err := f.write(w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// recordSecondHead records a head that was refused because the response had begun.
func (r *Router) recordSecondHead(e response.SecondHead) {
	r.stats.secondHeads.Inc()
	r.cfg.Log.Error("second response head", "status", e.Second, "begun_with", e.First)
}

func (r *Router) serveReady(w *response.Writer) {
	if !r.Ready() {
		r.writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	r.writeText(w, http.StatusOK, "ready\n")
}

// writeText responds to a health probe.
func (r *Router) writeText(w *response.Writer, status int, text string) {
	_ = w.Respond(status, []byte(text), func(http.Header) {}) // recorded by the writer
}

// handler serves a request of an account. A returned failure has not been written to the caller.
type handler func(w *response.Writer, req *http.Request, a config.Account) *Failure

// withAccount calls h with the request's account and writes the failure if h returns one. It
// refuses requests with another method, without a valid key, or during a stop.
func (r *Router) withAccount(w *response.Writer, req *http.Request, method string, h handler) {
	if f := r.admit(w, req, method, h); f != nil {
		r.refuse(w, f)
	}
}

func (r *Router) admit(w *response.Writer, req *http.Request, method string, h handler) *Failure {
	if method != "" && req.Method != method {
		return failMethod.WithMessage("use " + method)
	}
	if r.refusing.Load() {
		return failStopping
	}
	key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	a, ok := r.routes.Load().account(key)
	switch {
	case ok:
		return h(w, req, a)
	case r.Revision() == 0 && !r.lease.valid(r.now()):
		return failNoLease // without a configuration, every key would be refused as invalid
	}
	return failAPIKey
}

func (r *Router) serveModels(w *response.Writer, _ *http.Request, _ config.Account) *Failure {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	t := r.routes.Load()
	for _, name := range slices.Sorted(maps.Keys(t.models)) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: t.models[name]})
	}
	text, _ := json.Marshal(list) // marshalling strings cannot fail
	// A second head is recorded by the writer.
	_ = w.Respond(http.StatusOK, append(text, '\n'), func(h http.Header) { h.Set("Content-Type", "application/json") })
	return nil
}

// engineRequest is the part of a completion request that routing reads.
type engineRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"` // not used, but a body in which it is not a boolean is refused
	User   string `json:"user"`
}

func (r *Router) serveEngine(w *response.Writer, req *http.Request, a config.Account) *Failure {
	c, f := r.newCall(w, req, a)
	if f != nil {
		return f
	}
	defer r.releaseBody(c)
	var er engineRequest
	if err := json.Unmarshal(c.body, &er); err != nil {
		return failMalformed.WithMessage("the body is no valid JSON: " + err.Error())
	}
	if er.Model == "" {
		return failMalformed.WithMessage("the field model is missing")
	}
	pool, ok := r.routes.Load().models[er.Model]
	if !ok {
		return failModel.WithMessage("no pool serves model " + strconv.Quote(er.Model))
	}
	c.pool, c.engine = pool, true
	c.blocks = place.Blocks(c.body)
	if c.flow == "" && len(er.User) <= maxUser {
		c.flow = er.User
	}
	c.forwardCall.Path = req.URL.Path
	c.forwardCall.Header.Set("Content-Type", "application/json")
	return r.serveCall(w, req, c)
}

func (r *Router) serveService(w *response.Writer, req *http.Request, a config.Account) *Failure {
	rest := strings.TrimPrefix(req.URL.EscapedPath(), "/services/")
	name, path, _ := strings.Cut(rest, "/")
	t := r.routes.Load()
	if !t.services[name] {
		return failService.WithMessage("no service " + strconv.Quote(name))
	}
	c, f := r.newCall(w, req, a)
	if f != nil {
		return f
	}
	defer r.releaseBody(c)
	c.pool = name
	c.forwardCall.Path = "/" + path
	if req.URL.RawQuery != "" {
		c.forwardCall.Path += "?" + req.URL.RawQuery
	}
	copyServiceHeader(c.forwardCall.Header, req.Header)
	plain, err := url.PathUnescape("/" + path)
	if err != nil {
		return failMalformed.WithMessage("the path is no valid URL path")
	}
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead || req.Header.Get(repeatHeader) == "safe"
	c.repeatable = c.repeatable && safe && !t.neverRepeats(name, req.Method, plain)
	return r.serveCall(w, req, c)
}

// serveCall runs a call. If its answer broke off and the body cannot show that, it aborts the
// connection, see package response.
func (r *Router) serveCall(w *response.Writer, req *http.Request, c *call) *Failure {
	if c.claim != nil {
		c.repeatable = false
		c.claim.Digest = xxh3.Hash(append([]byte(req.Method+" "+c.forwardCall.Path+"\n"), c.body...))
	}
	r.serve(w, req, c)
	if c.abortConnection {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// newCall checks the headers that callers may set on any call and reads the body. The caller must
// release the body.
func (r *Router) newCall(w *response.Writer, req *http.Request, a config.Account) (*call, *Failure) {
	c := &call{account: a, class: defaultClass, flow: req.Header.Get(userHeader), http2: req.ProtoMajor >= 2}
	if len(c.flow) > maxUser {
		return nil, failHeader.WithMessage(userHeader + " is longer than 128 bytes")
	}
	if given := req.Header.Get(classHeader); given != "" {
		if _, ok := classes[given]; !ok {
			return nil, failHeader.WithMessage(classHeader + " must be interactive or batch")
		}
		c.class = given
	}
	repeat := req.Header.Get(repeatHeader)
	if repeat != "" && repeat != "safe" && repeat != "never" {
		return nil, failHeader.WithMessage(repeatHeader + " must be safe or never")
	}
	key := req.Header.Get(keyHeader)
	if len(key) > claim.MaxKeyBytes {
		return nil, failHeader.WithMessage(keyHeader + " is longer than 255 bytes")
	}
	if key != "" {
		c.claim = &protocol.Claim{Account: a.Name, Key: key, Attempt: r.cfg.Random()}
	}
	body, f := r.readBody(w, req, c)
	if f != nil {
		return nil, f
	}
	c.body = body
	c.forwardCall = forward.Call{Method: req.Method, Header: http.Header{}, Body: body}
	c.repeatable = repeat != "never"
	c.forwardCall.Header.Set(accountHeader, a.Name)
	c.forwardCall.Header.Set(priorityHeader, classes[c.class])
	return c, nil
}

// readBody reads a body within the limit on all bodies together. A body of unknown length
// counts with the largest allowed size until releaseBody.
func (r *Router) readBody(w *response.Writer, req *http.Request, c *call) ([]byte, *Failure) {
	limits := r.cfg.Limits
	if req.ContentLength > limits.BodyBytes {
		return nil, failTooLarge
	}
	reserved := req.ContentLength
	if reserved < 0 {
		reserved = limits.BodyBytes
	}
	if r.bodyBytes.Add(reserved) > limits.TotalBodyBytes {
		r.bodyBytes.Add(-reserved)
		return nil, failFull.WithMessage("the bodies of all requests together are at their limit")
	}
	c.reservedBytes = reserved
	_ = w.SetReadDeadline(time.Now().Add(limits.ReadTimeout)) // fails only on a closed connection, and then the read fails as well
	body, err := io.ReadAll(w.LimitBody(req.Body, limits.BodyBytes))
	if err != nil {
		// The deadline is kept: without it, the server would wait for the rest of
		// the body before it closes the connection.
		w.CloseConnection()
		r.releaseBody(c)
		return nil, bodyFailure(err)
	}
	_ = w.SetReadDeadline(time.Time{}) // as above
	return body, nil
}

// releaseBody releases the bytes that readBody reserved.
func (r *Router) releaseBody(c *call) {
	r.bodyBytes.Add(-c.reservedBytes)
	c.reservedBytes = 0
}

func bodyFailure(err error) *Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failTooLarge
	}
	return failMalformed.WithMessage("the body could not be read: " + err.Error())
}

// copyServiceHeader copies the headers that a plain service may receive: all but API keys, cookies,
// the fleet's own headers and hop-by-hop headers.
func copyServiceHeader(to, from http.Header) {
	for name, values := range from {
		if hopByHop[name] || withheldHeaders[name] || strings.HasPrefix(name, "Badgerspoke-") {
			continue
		}
		to[name] = values
	}
}

// withheldHeaders are the headers of a caller that are not forwarded to a plain service.
var withheldHeaders = map[string]bool{
	"Authorization": true, "Cookie": true, "Content-Length": true, "Host": true, "X-Api-Key": true,
	"Forwarded": true, "X-Forwarded-For": true, "X-Forwarded-Host": true, "X-Forwarded-Proto": true,
}
