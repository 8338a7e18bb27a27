//go:build review

// SPDX-License-Identifier: Apache-2.0

package stage

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callOnce sends one call to a control address and follows 307 twice.
func callOnce(method, address, path string, body []byte) (int, []byte, error) {
	client := &http.Client{
		Timeout:       time.Second,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	url := "http://" + address + path
	for hop := 0; ; hop++ {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		if len(body) > 0 {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, nil, err
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode == http.StatusTemporaryRedirect && hop < 2 {
			url = resp.Header.Get("Location")
			continue
		}
		return resp.StatusCode, b, nil
	}
}

// Order sends an order of the operator, at one control address after the other, until it gets a clear answer.
func (s *Stage) Order(method, path string, body []byte, limit time.Duration) error {
	controls, pause := s.Controls(), 100*time.Millisecond
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		status, answer, err := callOnce(method, controls[i%len(controls)], path, body)
		s.Logf("operator: %s %s (%d bytes) at %s: %d %.80q %v", method, path, len(body), controls[i%len(controls)], status, answer, err)
		if err == nil && status/100 == 2 {
			return nil
		}
		if err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return fmt.Errorf("%s %s: status %d", method, path, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return fmt.Errorf("%s %s: no acknowledgement in %v", method, path, limit)
}

// AwaitReady waits until all gateways are ready.
func (s *Stage) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, f := range s.fronts {
		for {
			status, _, err := callOnce(http.MethodGet, fmt.Sprintf("%s:%d", f.IP, readyPort), "/readyz", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("gateway %s is not ready after %v", f.Name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
