// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests the memory for bytes that servers send without end.

// endless is a body of bytes without an empty line. It pauses for a second before its last 4 KiB.
type endless struct {
	ctx  context.Context
	left int // bytes until the pause
}

func (e *endless) Read(b []byte) (int, error) {
	if e.left <= 0 && !sleep.For(e.ctx, time.Second) {
		return 0, e.ctx.Err()
	}
	n := min(len(b), 4<<10)
	e.left -= n
	copy(b, strings.Repeat("x", n))
	return n, nil
}

func (e *endless) Close() error { return nil }

// sendsEndlessly answers with a body that pauses after some bytes.
func sendsEndlessly(size int) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return &forward.Response{Status: http.StatusOK, Header: answerHeader(call), Length: -1, Body: &endless{ctx: ctx, left: size}}, nil
	}
}

// TestAnswersWithoutEndAreBoundedTogether guards against a gateway that runs out of memory, and ends with the requests of
// all its callers, because many answers send bytes without end at once. Each of them is within its own bound.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		limit    = 8 << 20
		requests = 150
		servers  = 25 // each takes 8
	)
	for path, size := range map[string]int{"/stream/x": maxEvent - 16<<10, "/once/x": maxHeldAnswer - 16<<10} {
		t.Run(path, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.g.answers.limit = limit
				before := heapInUse()
				var group sync.WaitGroup
				for range requests {
					group.Go(func() {
						ctx, leave := context.WithTimeout(x.t.Context(), 600*time.Millisecond)
						defer leave()
						x.requestInto(ctx, path, discardWriter{http.Header{}})
					})
				}
				time.Sleep(300 * time.Millisecond) // all pause, or have been ended
				synctest.Wait()
				grown := heapInUse() - before
				t.Logf("%d requests hold %d MiB, accounted %d MiB", requests, grown>>20, x.g.answers.inUse()>>20)
				is.True(grown < 2*limit)
				is.True(x.g.answers.inUse() <= limit)
				for i := range servers {
					x.servers.set(fmt.Sprintf("10.0.5.%d:80", i), answers(200, "small", 0))
				}
				is.Equal(x.request("/once/small").body, "small") // others are served
				group.Wait()
				is.Equal(x.g.answers.inUse(), int64(0))
			}, slices.Repeat([]behaviour{sendsEndlessly(size)}, servers)...)
		})
	}
}

// discardWriter is the connection of a caller who takes all that comes.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

// heapInUse returns the bytes of reachable objects.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeldAnswerWithoutMemory checks that a plain answer for which there is no memory reaches its caller all the same, as
// it arrives.
func TestHeldAnswerWithoutMemory(t *testing.T) {
	body := strings.Repeat("whole ", 20<<10)
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.answers.limit = 32 << 10
		got := x.request("/once/x")
		is.Equal(got.status, 200)
		is.Equal(got.body, body)
		is.Equal(x.g.answers.inUse(), int64(0))
	}, answers(200, body, 0))
}

// TestReadHeld checks the bounds on what is held of one answer.
func TestReadHeld(t *testing.T) {
	is := is.New(t)
	total := &bodyMemory{limit: 64 << 20}
	for _, size := range []int{0, 1, readSize - 1, readSize, 20 << 10, maxHeldAnswer - 1} {
		m := &answerMemory{total: total}
		b, whole, err := m.readHeld(io.LimitReader(strings.NewReader(strings.Repeat("x", maxHeldAnswer)), int64(size)))
		is.NoErr(err)
		is.Equal(len(b), size)
		is.True(whole)
		m.release()
	}
	m := &answerMemory{total: total}
	b, whole, err := m.readHeld(strings.NewReader(strings.Repeat("x", maxHeldAnswer)))
	is.NoErr(err)
	is.Equal(len(b), maxHeldAnswer)
	is.True(!whole)
	is.Equal(total.inUse(), int64(maxHeldAnswer-freeAnswerBytes))
	m.release()
	is.Equal(total.inUse(), int64(0))
	is.True(!m.grow(0, maxHeldAnswer)) // a hedge that ends after its request
	_, _, err = (&answerMemory{total: total}).readHeld(io.MultiReader(strings.NewReader("x"), failingReader{}))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
