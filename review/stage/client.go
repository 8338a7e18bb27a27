//go:build review

// SPDX-License-Identifier: Apache-2.0

package stage

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	ID     string
	Status int // zero without an answer
	Seal   string
	Body   []byte
	Wait   time.Duration // of Retry-After
	Err    error
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, Key string
	Deadline                time.Duration
	Body                    string
}

// NewID returns an id for an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Client keeps one connection to a gateway.
type Client struct {
	Address string
	conn    net.Conn
	r       *bufio.Reader
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Do sends one attempt and reads the answer.
func (c *Client) Do(ctx context.Context, q Request) Answer {
	a := Answer{ID: NewID()}
	if c.conn == nil {
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(ctx, "tcp", c.Address)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.Deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", q.Method, q.Path, q.Host, a.ID, q.Deadline.Milliseconds(), q.Key)
	if q.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, a.Err = io.WriteString(c.conn, head+"\r\n"+q.Body); a.Err != nil {
		c.Close()
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
	if err != nil {
		a.Err = err
		c.Close()
		return a
	}
	a.Status, a.Seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.Wait = time.Duration(seconds * float64(time.Second))
	}
	a.Body, a.Err = io.ReadAll(resp.Body)
	resp.Body.Close()
	if a.Err != nil || resp.Close {
		c.Close()
	}
	return a
}

// Open reports whether the client has a connection that the gateway has not closed.
func (c *Client) Open() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	if _, err := c.r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.Close()
		return false
	}
	return true
}
