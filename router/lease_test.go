// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// This file tests the expiry of a lease at a router that reaches no replica.

// TestLeaseExpiryIsCountedOnce checks that each expiry of a lease is counted once and that renewals are
// not counted.
func TestLeaseExpiryIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		r := Start(ctx, Settings{
			Random: func() uint64 { return 1 }, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		})
		time.Sleep(time.Second)
		is.Equal(r.stats.leaseExpired.Get(), uint64(0)) // there has been no lease yet
		for ended := range uint64(2) {
			r.lease.extend(r.now(), time.Second)
			time.Sleep(900 * time.Millisecond)
			r.lease.extend(r.now(), time.Second)
			time.Sleep(900 * time.Millisecond)
			is.Equal(r.stats.leaseExpired.Get(), ended) // renewed in time
			time.Sleep(time.Minute)
			is.Equal(r.stats.leaseExpired.Get(), ended+1)
		}
		stop()
		synctest.Wait()
	})
}

// TestLeaseExpiresDuringSuspension checks that a router whose box is suspended until after the end of its
// lease has no lease when it resumes.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		began := time.Now()
		var suspended atomic.Int64
		r := Start(ctx, Settings{
			Random: func() uint64 { return 1 }, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
			Clock: func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) },
		})
		r.lease.extend(r.now(), 3*time.Second)
		is.True(r.lease.valid(r.now()))
		suspended.Store(int64(5 * time.Second)) // the process does not run in that time
		is.True(!r.lease.valid(r.now()))
		stop()
		synctest.Wait()
	})
}
