// SPDX-License-Identifier: Apache-2.0

package pool_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests what a pool decides from the failures of a server.

// TestAnswerWithdrawsFailuresOfSilentServer guards against a server that stays ejected although it has answered the
// work during which its failures were recorded.
func TestAnswerWithdrawsFailuresOfSilentServer(t *testing.T) {
	is := is.New(t)
	p := pool.New("llm", pool.Settings{PrefixBlocks: 1, FirstEstimate: 1})
	p.Configure([]pool.Account{{Name: "hotel", Share: 1}}, []pool.Server{{Name: "s1", Slots: 1}, {Name: "s2", Slots: 1}})
	start := func() (w *pool.Work, started []pool.Start) {
		w = &pool.Work{Account: "hotel"}
		is.NoErr(p.Push(w))
		return w, p.Dispatch(0, true)
	}
	p.Grant(0, protocol.ServerSlots{Server: "s1", Slots: 1})
	first, started := start()
	is.Equal(len(started), 1)
	is.True(!p.RecordFailure(0, "s1"))
	is.True(!p.RecordFailure(0, "s1"))
	is.True(p.RecordFailure(0, "s1")) // the third in a row ejects it
	p.Grant(0, protocol.ServerSlots{Server: "s1", Slots: 1})
	_, started = start()
	is.Equal(len(started), 0)
	p.Finish(0, first, "s1", 1, pool.Served)
	is.Equal(len(p.Dispatch(0, true)), 1)
}
