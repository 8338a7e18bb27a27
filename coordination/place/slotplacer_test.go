// SPDX-License-Identifier: Apache-2.0

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

func prompt(blocks int, text string) []Block {
	b := make([]byte, blocks*BlockBytes)
	copy(b, text)
	return Blocks(b)
}

func freeServers(n int) []FreeServer {
	var out []FreeServer
	for i := range n {
		out = append(out, FreeServer{Server: fmt.Sprintf("s%d", i), Slots: 8})
	}
	return out
}

func TestSlotPlacerChoice(t *testing.T) {
	p := prompt(16, "the parcel history of")
	tests := []struct {
		name string
		set  func(pl *SlotPlacer, c []FreeServer)
		want string
	}{
		{"server that caches the prefix", func(pl *SlotPlacer, _ []FreeServer) { pl.Index.Sent("s2", p) }, "s2"},
		{"loaded server that caches the prefix", func(pl *SlotPlacer, c []FreeServer) {
			pl.Index.Sent("s2", p[:4])
			c[2].Running = 8
			for i := range c {
				if i != 1 {
					c[i].Running = 8
				}
			}
		}, "s1"},
		{"least loaded server by recent reports", func(pl *SlotPlacer, _ []FreeServer) {
			for _, s := range []string{"s0", "s1", "s2"} {
				pl.RecordLoad(s, LoadReport{Running: 8, Waiting: 8, At: 10 * time.Second})
			}
		}, "s3"},
		{"ejected server", func(pl *SlotPlacer, _ []FreeServer) {
			pl.Health.SetSize(4)
			pl.Index.Sent("s2", p)
			for pl.Health.Usable(10*time.Second, "s2") {
				pl.Health.Failed(10*time.Second, "s2")
			}
			pl.Index.Sent("s1", p[:2])
		}, "s1"},
		{"uncertain cache entries count half", func(pl *SlotPlacer, _ []FreeServer) {
			pl.Index.Apply("s2", CacheEvent{Seq: 1})
			pl.Index.Apply("s2", CacheEvent{Seq: 3, Stored: p}) // event 2 was lost
			pl.Index.Sent("s1", p[:10])
		}, "s1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pl, c := NewSlotPlacer(1000), freeServers(4)
			pl.Health.SetSize(4)
			tt.set(pl, c)
			got, ok := pl.Choose(10*time.Second, c, p)
			is.True(ok)
			is.Equal(got, tt.want)
		})
	}
}

func TestRoutersAgreeOnPreferredServer(t *testing.T) {
	is := is.New(t)
	spread := map[string]bool{}
	for i := range 50 {
		p := prompt(4, fmt.Sprint("question ", i))
		a, _ := NewSlotPlacer(10).Choose(0, freeServers(6), p)
		b, _ := NewSlotPlacer(10).Choose(time.Hour, freeServers(6), p)
		is.Equal(a, b)
		spread[a] = true
	}
	is.Equal(len(spread), 6) // they are spread over all servers
}

func TestLoadReportDecays(t *testing.T) {
	is := is.New(t)
	pl := NewSlotPlacer(10)
	c := FreeServer{Server: "s0", Slots: 8}
	pl.RecordLoad("s0", LoadReport{Running: 8, At: 0})
	pl.RecordLoad("s0", LoadReport{Running: 0, At: -time.Second}) // dropped as older
	is.Equal(pl.load(0, c), 1.0)
	is.Equal(pl.load(loadHalfLife, c), 0.5)
}

func TestIndexCacheEvents(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	p := prompt(4, "map sheet 12")
	x.Apply("s", CacheEvent{Seq: 5, Stored: p})
	is.Equal(x.ExpectedCachedBlocks("s", p), 4.0)
	x.Apply("s", CacheEvent{Seq: 5, Evicted: p}) // duplicate
	is.Equal(x.ExpectedCachedBlocks("s", p), 4.0)
	x.Apply("s", CacheEvent{Seq: 6, Evicted: p[2:]})
	is.Equal(x.ExpectedCachedBlocks("s", p), 2.0)
	x.Apply("s", CacheEvent{Seq: 9}) // gap in the sequence
	is.Equal(x.ExpectedCachedBlocks("s", p), 1.0)
	x.Apply("s", CacheEvent{Seq: 10, Cleared: true, Stored: p[:1]})
	is.Equal(x.ExpectedCachedBlocks("s", p), 1.0) // certain again
}

// TestIndexIsBounded applies random operations. The index must never exceed its bound or hold a block
// without a server.
func TestIndexIsBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		x := NewIndex(20)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			server := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "server"))
			p := prompt(rapid.IntRange(0, 8).Draw(t, "blocks"), fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "text")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				x.Apply(server, CacheEvent{Seq: uint64(rapid.IntRange(0, 9).Draw(t, "seq")), Evicted: p})
			case 1:
				x.Forget(server)
			default:
				x.Sent(server, p)
			}
			if x.Len() > 20 || x.order.Len() != x.Len() {
				t.Fatalf("%d blocks, %d in order", x.Len(), x.order.Len())
			}
			for b, el := range x.byBlock {
				if n := len(el.Value.(*cachedBlock).servers); n == 0 || n > serversPerBlock {
					t.Fatalf("block %v has %d servers", b, n)
				}
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	pl, c, p := NewSlotPlacer(8192), freeServers(12), prompt(32, "a long prompt")
	pl.Index.Sent("s3", p)
	for b.Loop() {
		pl.Choose(0, c, p)
	}
}
