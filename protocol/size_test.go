// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"
	"testing"
)

// TestLossMessageSizes checks the bytes that each running request takes on a link when a server
// with all slots in use ends, and the bytes that the start time adds to a server's list entry.
func TestLossMessageSizes(t *testing.T) {
	size := func(m Message) int {
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	var u Usage
	var set, changed Quarantine
	for i := range 64 {
		key := fmt.Appendf(nil, "key of 16 bytes%c", 'a'+i)[:16]
		u.Losses = append(u.Losses, Loss{
			Key: key, Hint: 1 << 30, Account: "account-12", Pool: "lm-pool", Server: "i-7f3a91c2e0~1790000000123", Address: "10.3.64.24:8143",
			RanMillis: 300, AgeMillis: 20, Serving: true,
		})
		set.Set = append(set.Set, Quarantined{Key: key, Hint: 1 << 30, Ends: 1})
		changed.Removed = append(changed.Removed, key)
	}
	loss := (size(u) - size(Usage{})) / 64
	suspect, cleared := (size(set)-size(Quarantine{}))/64, (size(changed)-size(Quarantine{}))/64
	r := Registration{ID: "i-7f3a91c2e0", Pool: "lm-pool", Address: "10.3.64.24:8143", Hall: "hall-a", Slots: 64, Version: "v1"}
	born := r
	born.Born = 1790000000123
	entry, start := size(Servers{Set: []Server{{Registration: r, Handle: 70000}}}), size(Servers{Set: []Server{{Registration: born, Handle: 70000}}})
	t.Logf("loss %d B, suspect %d B, cleared suspect %d B; server entry %d B, %d B with start time", loss, suspect, cleared,
		entry-size(Servers{}), start-size(Servers{}))
	if loss > 120 || suspect > 32 || cleared > 20 || start-entry > 10 {
		t.Error("messages are larger than docs/CAPACITY.md allows")
	}
}

// TestPartMessageSizes checks the bytes that prompt parts take on a link: of a lost request with three parts,
// and of a listed, a condemned and a removed part.
func TestPartMessageSizes(t *testing.T) {
	size := func(m Message) int {
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	var u, begun Usage
	var suspects, condemned, removed Quarantine
	for i := range 64 {
		key := fmt.Appendf(nil, "key of 16 bytes%c", 'a'+i)[:16]
		u.LostParts = append(u.LostParts, LostParts{Loss: uint32(i), Model: "badger-small", Names: []string{"5c1e07a2", "91bd3f06", "e4402b7d"}})
		begun.BegunParts = append(begun.BegunParts, key)
		suspects.SuspectParts = append(suspects.SuspectParts, SuspectPart{Key: key, Crashes: 3, AgeMillis: 100_000})
		condemned.CondemnedParts = append(condemned.CondemnedParts, CondemnedParts{Parts: [][]byte{key}})
		removed.RemovedParts = append(removed.RemovedParts, key)
	}
	lost, cleared := (size(u)-size(Usage{}))/64, (size(begun)-size(Usage{}))/64
	empty := size(Quarantine{})
	suspect, set, gone := (size(suspects)-empty)/64, (size(condemned)-empty)/64, (size(removed)-empty)/64
	t.Logf("lost request's parts %d B, begun part %d B, suspected part %d B, condemned part %d B, removed part %d B", lost, cleared, suspect, set, gone)
	if lost > 50 || cleared > 20 || suspect > 28 || set > 24 || gone > 20 {
		t.Error("messages are larger than docs/CAPACITY.md allows")
	}
}

// TestStreamMessageSizes checks the bytes that a stream takes on a gateway's link, and those of a query and its answer.
func TestStreamMessageSizes(t *testing.T) {
	size := func(m Message) int {
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	streams := func(n int) int {
		return size(Streams{List: []StreamsBegun{{Pool: "lm-pool", Version: "v1.12.3", IDs: make([]byte, 8*n)}}})
	}
	query := size(StreamQuery{Seq: 1 << 20, ID: 1 << 60, Pool: "lm-pool", Versions: []string{"v1.12.3", "v1.12.4"}})
	answer := size(StreamAnswer{Seq: 1 << 20, Known: true, Pool: "lm-pool", Version: "v1.12.3"})
	t.Logf("report of 1 stream %d B, of 2 %d B, of 25 %d B; query %d B, answer %d B", streams(1), streams(2), streams(25), query, answer)
	if streams(1) > 40 || streams(25) > 240 || query > 60 || answer > 40 {
		t.Error("messages are larger than docs/CAPACITY.md allows")
	}
}
