// SPDX-License-Identifier: Apache-2.0

//go:build review

package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// This file defines Client, a client on one connection that shows what exactly came back.

// Request is one client attempt.
type Request struct {
	Method, Path, ID string
	Header           []string // further lines
	Deadline         time.Duration
	Body             []byte
	Rate             int // bytes a second at which the body is sent; 0 means at once
}

// Answer is what a client got.
type Answer struct {
	Status   int // 0 without an answer
	Header   http.Header
	Body     []byte
	Complete bool // the answer ended as the protocol states it
	Err      error
}

// LongestWait is the longest time in nanoseconds that a piece of a body has waited to be taken.
var LongestWait atomic.Int64

// Client is a client with one connection to one front. It is used by one goroutine.
type Client struct {
	Front *Node
	conn  net.Conn
	in    *bufio.Reader
	Used  int // requests that were answered on the connection
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.Used = nil, 0
}

// Do sends a request on the kept connection, or on a new one if there is none, and reads the answer.
func (c *Client) Do(r Request) (a Answer) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Front.Front(), time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c.conn, c.in, c.Used = conn, bufio.NewReader(conn), 0
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.Deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n",
		r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), Key, len(r.Body))
	for _, line := range r.Header {
		head += line + "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		c.Close()
		return Answer{Err: err}
	}
	// A front may answer before it has read the whole body.
	sent := make(chan error, 1)
	go func(conn net.Conn) { sent <- sendBody(conn, r) }(c.conn)
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	if err != nil {
		c.Close()
		<-sent
		return Answer{Err: err}
	}
	a = Answer{Status: resp.StatusCode, Header: resp.Header}
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Complete = a.Err == nil
	resp.Body.Close()
	select {
	case err = <-sent:
	case <-time.After(100 * time.Millisecond):
		err = io.ErrShortWrite
	}
	c.Used++
	if err != nil || !a.Complete || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.Close()
	}
	return a
}

// sendBody sends the body, in pieces if it has a rate.
func sendBody(conn net.Conn, r Request) error {
	piece := len(r.Body)
	if r.Rate > 0 {
		piece = max(r.Rate/50, 1)
	}
	for rest := r.Body; len(rest) > 0; {
		n := min(piece, len(rest))
		began := time.Now()
		_, err := conn.Write(rest[:n])
		if took := time.Since(began).Nanoseconds(); took > LongestWait.Load() {
			LongestWait.Store(took) // an approximate maximum is enough
		}
		if err != nil {
			return err
		}
		if rest = rest[n:]; r.Rate > 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
