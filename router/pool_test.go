// SPDX-License-Identifier: Apache-2.0

package router

import (
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file tests how a pool refuses work.

// TestAccountRemovedBeforeItsRequestIsQueued checks that a request whose account is removed between
// its admission and the queue gets the same answer as one that is already queued.
func TestAccountRemovedBeforeItsRequestIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := Start(t.Context(), Settings{
			Random: func() uint64 { return 1 }, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		})
		account := config.Account{Name: "a", Share: 1}
		server := config.Server{Name: "s", Pool: "p", Address: "10.0.0.1:80", Kind: config.Service, Mark: config.Serving, Slots: 1}
		with, err := config.Config{}.Apply([]config.Op{{PutAccount: &account}, {PutServer: &server}})
		is.NoErr(err)
		r.apply(with)
		p, c := r.pool("p"), &call{account: with.Accounts()[0], pool: "p"}
		waiter, fail := p.enqueue(c)
		is.True(fail == nil)
		without, err := with.Apply([]config.Op{{RemoveAccount: account.Name}})
		is.NoErr(err)
		r.apply(without)
		is.Equal((<-waiter.result).fail, failAPIKey)
		_, fail = p.enqueue(c)
		is.Equal(fail, failAPIKey)
		r.stop()
		synctest.Wait()
	})
}
