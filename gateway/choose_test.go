// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// TestLargePoolChoosesByRanking checks the choice in a large pool: equal prompts go to the same
// engine. If that engine has left, is in a hall out of service or has been tried already, the
// prompt goes to another one. Prompts without shared parts find an engine as well.
func TestLargePoolChoosesByRanking(t *testing.T) {
	is := is.New(t)
	table := newTable("g", "hall-0", monotonic())
	table.setSite("", topology.Topology{}, 0)
	list := protocol.Servers{Term: 1, Whole: true}
	for i := range 400 {
		list.Set = append(list.Set, listedEngine(i))
	}
	table.update(list)
	req := requirements{pool: document.Pool{Name: "engines", Engine: true}, route: document.Route{Objective: 400 * time.Millisecond}}
	choose := func(promptID int) *knownServer {
		req.prompt = place.Prompt{Own: 900, Shared: []place.Part{{Name: fmt.Sprint(promptID), Tokens: 2000}}}
		a, _ := table.acquire(table.now(), req)
		return a.entry
	}
	used := map[string]bool{}
	for promptID := range 200 {
		k := choose(promptID)
		is.Equal(choose(promptID), k)
		used[k.ID] = true
		k.ownLoad = place.Work{}
	}
	is.True(len(used) > 130) // 157 of 400 are expected from random choice
	k := choose(7)
	req.triedServers = map[string]bool{k.ID: true}
	is.True(choose(7) != k)
	req.triedServers = nil
	table.update(protocol.Servers{Term: 1, HallsOut: []string{k.Hall}, HallChanges: 1})
	is.True(choose(7).Hall != k.Hall)
	table.update(protocol.Servers{Term: 1, HallChanges: 2, Removed: []string{k.ID}})
	is.True(choose(7) != k)
	req.prompt = place.Prompt{Own: 900}
	a, _ := table.acquire(table.now(), req)
	is.True(a != nil)
}

// listedEngine returns the i-th engine of the pool as listed by the directory.
func listedEngine(i int) protocol.Server {
	return protocol.Server{Handle: uint32(i + 1), Registration: protocol.Registration{
		ID: fmt.Sprintf("i-%05d", i), Pool: "engines", Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250),
		Hall: fmt.Sprint("hall-", i%5), Slots: 16,
	}}
}
