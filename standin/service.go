// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines Service, the stand-in for a plain service.

// Service responds to every request with a description of it and the number of requests so far with
// the same body.
type Service struct {
	failures
	ResponseTime time.Duration // time before a response

	mu   sync.Mutex
	runs map[string]int
}

var _ http.Handler = (*Service)(nil)

// Runs returns the number of requests with the given body that were started.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// ServeHTTP runs a request with any method and path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	failure := s.takeFailure()
	if s.refuseIfDue(w, failure) {
		return
	}
	runs := s.run(string(body))
	if !sleep.For(r.Context(), s.ResponseTime) {
		return
	}
	switch failure {
	case Hang:
		<-r.Context().Done()
		return
	case AbortBeforeResponse:
		panic(http.ErrAbortHandler)
	case AbortMidResponse:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	// Encoding strings does not fail.
	text, _ := json.Marshal(map[string]string{
		"method": r.Method, "path": r.URL.RequestURI(), "body": string(body),
		"account": r.Header.Get("Badgerspoke-Account"), "authorization": r.Header.Get("Authorization"),
		"runs": strconv.Itoa(runs),
	})
	w.Header().Set("Content-Type", "application/json")
	if failure == Unframed || failure == TruncateUnframed {
		w.Header().Set("Transfer-Encoding", "identity") // makes net/http frame nothing
	}
	text = append(text, '\n')
	if failure == TruncateUnframed {
		text = text[:len(text)/2]
	}
	_, _ = w.Write(text) // fails only if the caller has disconnected
}

func (s *Service) run(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[body]++
	return s.runs[body]
}
