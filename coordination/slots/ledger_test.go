// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestEndedSessionLeavesNoGrantsInFlight ends a session at each stage of a grant's
// delivery. The account must not stay charged for slots that never arrive.
func TestEndedSessionLeavesNoGrantsInFlight(t *testing.T) {
	ends := map[string]func(a *Allocator){
		"link breaks":         func(a *Allocator) { a.Disconnect("r", 1) },
		"lease expires":       func(a *Allocator) { a.EndSession("r") },
		"session is replaced": func(a *Allocator) { a.OpenSession(0, protocol.Hello{Router: "r", BootID: 1}) },
		"process restarts":    func(a *Allocator) { a.OpenSession(0, protocol.Hello{Router: "r", BootID: 2}) },
		"goodbye with work":   func(a *Allocator) { a.Report(0, "r", protocol.Report{Goodbye: true}) },
		"account is removed":  func(a *Allocator) { a.configureAccounts(nil) },
	}
	for name, end := range ends {
		for _, sent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				a := NewAllocator(1, 0, DefaultLease, Pace{}, nil)
				a.Configure([]Server{{Name: "s", Pool: "p", Slots: 2, Serving: true}}, []Account{{Name: "a", Share: 1}})
				a.OpenSession(0, protocol.Hello{Router: "r", BootID: 1})
				a.Report(0, "r", protocol.Report{Pools: []protocol.PoolReport{{
					Pool: "p", Accounts: []protocol.AccountReport{{Account: "a", Waiting: 5, Running: 1}},
				}}})
				a.Allocate(0)
				if sent {
					a.Views(0)
				}
				end(a)
				p := a.pools["p"]
				is.Equal(p.unmetRequests, 0)
				is.Equal(p.slotlessAccounts, 0)
				is.Equal(p.recallsOutstanding, 0)
				is.Equal(p.backlogged.Len(), 0)
				if acc := p.accounts["a"]; acc != nil {
					is.Equal(acc.grantsInFlight, 0)
					is.Equal(acc.running, 0)
					is.Equal(len(acc.backlogs), 0)
				}
			})
		}
	}
}

// TestEndOfSessionIsDeterministic ends a session that holds slots of several servers and has work of
// several accounts, and checks the order of the free servers afterwards. If it depended on
// map iteration, the same steps would lead to different grants.
func TestEndOfSessionIsDeterministic(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	var servers []Server
	var accounts []Account
	var held []protocol.ServerSlots
	var waiting []protocol.AccountReport
	for _, n := range names {
		servers = append(servers, Server{Name: n, Pool: "p", Slots: 1, Serving: true})
		accounts = append(accounts, Account{Name: n, Share: 1})
		held = append(held, protocol.ServerSlots{Server: n, Slots: 1})
		waiting = append(waiting, protocol.AccountReport{Account: n, Waiting: 1})
	}
	report := protocol.Report{Pools: []protocol.PoolReport{{Pool: "p", Accounts: waiting}}}
	ends := map[string]func(a *Allocator){
		"lease expires":        func(a *Allocator) { a.EndSession("r1") },
		"link breaks, unsent":  func(a *Allocator) { a.Disconnect("r1", 1) },
		"servers are removed":  func(a *Allocator) { a.EndSession("r1"); a.Configure(servers[3:], accounts) },
		"session is replaced":  func(a *Allocator) { a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1}) },
		"accounts are removed": func(a *Allocator) { a.EndSession("r1"); a.Configure(servers, accounts[3:]) },
	}
	run := func(end func(a *Allocator), hello protocol.Hello) (free []string) {
		a := NewAllocator(1, 0, DefaultLease, Pace{}, nil)
		a.Configure(servers, accounts)
		a.OpenSession(0, hello)
		a.Report(0, "r1", report)
		a.Allocate(0)
		end(a)
		for _, s := range a.pools["p"].freeServers {
			free = append(free, s.Name)
		}
		return free
	}
	for name, end := range ends {
		for _, h := range []protocol.Hello{{Router: "r1", BootID: 1, Held: held}, {Router: "r1", BootID: 1}} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				first := run(end, h)
				for range 20 {
					is.Equal(run(end, h), first)
				}
			})
		}
	}
}
