// SPDX-License-Identifier: Apache-2.0

package config

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

func putAccount(name string, share float64) Op {
	a := Account{Name: name, Share: share}
	return Op{PutAccount: &a}
}

func engineServer(name, address string) Server {
	return Server{Name: name, Pool: "llm", Address: address, Kind: Engine, Mark: Serving, Slots: 4, Models: []string{"m"}}
}

func TestInvalidChangeListsEveryMistake(t *testing.T) {
	key := HashKey("k")
	service := Server{Name: "s", Pool: "llm", Address: "10.0.0.9:1", Kind: Service, Mark: Serving, Slots: 1}
	e1, same := engineServer("e1", "10.0.0.1:1"), engineServer("e2", "10.0.0.1:1")
	other := engineServer("e3", "10.0.0.3:1")
	other.Models = []string{"another"}
	tests := []struct {
		name string
		ops  []Op
		want []string
	}{
		{"nothing", nil, []string{"change: ops: holds no operation"}},
		{"empty operation", []Op{{}}, []string{"change: ops: an operation sets no field"}},
		{"bad account", []Op{putAccount("no spaces", -1)}, []string{
			"account no spaces: name: must be 1 to 63 letters, digits, dots, dashes or underscores",
			"account no spaces: share: must be above 0 and at most 1000000",
		}},
		{"one key twice", []Op{
			{PutAccount: &Account{Name: "a", Share: 1, Keys: []KeyHash{key}}}, {PutAccount: &Account{Name: "b", Share: 1, Keys: []KeyHash{key}}},
		}, []string{"account b: keys: a key belongs to account a already"}},
		{"unknown names", []Op{{RemoveAccount: "x"}, {RemoveServer: "y"}}, []string{
			"account x: name: does not exist", "server y: name: does not exist",
		}},
		{"removing a serving server", []Op{{PutServer: &e1}, {RemoveServer: "e1"}}, []string{
			"server e1: mark: is serving; mark it leaving first",
		}},
		{"two servers at one address", []Op{{PutServer: &e1}, {PutServer: &same}}, []string{"server e2: address: belongs to server e1 already"}},
		{"two kinds in one pool", []Op{{PutServer: &e1}, {PutServer: &service}}, []string{"server s: kind: pool llm holds servers of kind engine"}},
		{"models that differ from the pool", []Op{{PutServer: &e1}, {PutServer: &other}}, []string{
			"server e3: models: must be those of server e1 of the same pool",
		}},
		{"bad rule", []Op{{PutServer: &Server{Name: "s", Pool: "p", Address: "1.1.1.1:1", Kind: Service, Mark: Serving, Slots: 1, NeverRepeat: []string{"POST"}}}},
			[]string{`server s: never: must be "METHOD /path" or "* /path", not POST`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := Config{}
			after, err := before.Apply(tt.ops)
			var invalid Invalid
			is.True(errors.As(err, &invalid))
			var got []string
			for _, m := range invalid.Mistakes {
				got = append(got, m.String())
			}
			is.Equal(got, tt.want)
			is.Equal(after.Revision(), uint64(0)) // the configuration is unchanged
		})
	}
}

func TestConflictsAndResends(t *testing.T) {
	is := is.New(t)
	var s Store
	revision, err := s.Apply(Change{ID: "ada", Base: 0, Ops: []Op{putAccount("a", 1)}})
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	_, err = s.Apply(Change{ID: "bob", Base: 0, Ops: []Op{putAccount("a", 2)}})
	var conflict Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.ID, "ada")
	revision, err = s.Apply(Change{ID: "bob", Base: 1, Ops: []Op{putAccount("a", 2)}})
	is.NoErr(err)
	is.Equal(revision, uint64(2))
	// A resend returns the first result, also after a snapshot.
	image, err := s.MarshalBinary()
	is.NoErr(err)
	var restored Store
	is.NoErr(restored.UnmarshalBinary(image))
	for _, st := range []*Store{&s, &restored} {
		revision, err = st.Apply(Change{ID: "ada", Base: 0, Ops: []Op{putAccount("a", 1)}})
		is.NoErr(err)
		is.Equal(revision, uint64(1)) // same identifier
		revision, err = st.Apply(Change{ID: "carol", Base: 0, Ops: []Op{putAccount("a", 1)}})
		is.NoErr(err)
		is.Equal(revision, uint64(1)) // same base revision, same content
		_, err = st.Apply(Change{ID: "ada", Base: 2, Ops: []Op{putAccount("b", 1)}})
		is.Equal(err, ReusedID{ID: "ada"})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var s Store
	for i := range HistoryLength + 10 {
		_, err := s.Apply(Change{ID: fmt.Sprint(i), Base: uint64(i), Ops: []Op{putAccount("a", float64(i+1))}})
		is.NoErr(err)
	}
	is.Equal(len(s.history), HistoryLength)
	is.Equal(len(s.byID), HistoryLength)
	_, ok := s.DeltaFrom(5)
	is.True(!ok) // too old, a snapshot is required
	d, ok := s.DeltaFrom(20)
	is.True(ok)
	is.Equal(d.To(), s.Current().Revision())
}

func TestIdentifiersAreStableAndNeverReused(t *testing.T) {
	is := is.New(t)
	c, err := Config{}.Apply([]Op{putAccount("a", 1)})
	is.NoErr(err)
	first, _ := c.Account("a")
	c, _ = c.Apply([]Op{putAccount("a", 2)})
	changed, _ := c.Account("a")
	is.Equal(changed.ID, first.ID)
	c, _ = c.Apply([]Op{{RemoveAccount: "a"}})
	c = FromSnapshot(c.Snapshot())
	c, _ = c.Apply([]Op{putAccount("a", 1)})
	recreated, _ := c.Account("a")
	is.True(recreated.ID != first.ID)
}

// TestDeltasNeverDecreaseRevision applies random deltas of one history, delayed, duplicated and
// out of order. The revision must never decrease, and every resulting configuration
// must be part of the history.
func TestDeltasNeverDecreaseRevision(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var s Store
		history := []Config{{}}
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			name := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "name")))
			if _, err := s.Apply(Change{ID: fmt.Sprint(i), Base: uint64(i), Ops: []Op{putAccount(name, float64(i+1))}}); err != nil {
				t.Fatal(err)
			}
			history = append(history, s.Current())
		}
		var held Config
		for range rapid.IntRange(1, 30).Draw(t, "deltas") {
			from := rapid.IntRange(0, len(history)-1).Draw(t, "from")
			to := rapid.IntRange(from, len(history)-1).Draw(t, "to")
			d, _ := s.DeltaFrom(uint64(from))
			d.Steps = d.Steps[:to-from]
			next, err := held.ApplyDelta(d)
			var gap DeltaGap
			if (uint64(from) > held.Revision()) != errors.As(err, &gap) {
				t.Fatalf("delta %d..%d at %d: %v", from, to, held.Revision(), err)
			}
			if next.Revision() < held.Revision() {
				t.Fatalf("revision decreased from %d to %d", held.Revision(), next.Revision())
			}
			held = next
			a, _ := cbor.Marshal(held.Snapshot())
			b, _ := cbor.Marshal(history[held.Revision()].Snapshot())
			if string(a) != string(b) {
				t.Fatalf("revision %d differs from the history", held.Revision())
			}
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	c, _ := Config{}.Apply([]Op{putAccount("a", 1)})
	b, _ := cbor.Marshal(c.Snapshot())
	f.Add(b)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Snapshot
		if cbor.Unmarshal(b, &s) == nil {
			_ = FromSnapshot(s).Accounts()
		}
		var st Store
		_ = st.UnmarshalBinary(b)
	})
}

// BenchmarkSnapshot reports the encoded size of one configuration object.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 1000, 5800} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			var ops []Op
			for i := range n {
				a := Account{Name: fmt.Sprintf("account-%05d", i), Share: 1}.WithKey(HashKey(fmt.Sprint(i)))
				ops = append(ops, Op{PutAccount: &a})
			}
			c, err := Config{}.Apply(ops)
			if err != nil {
				b.Fatal(err)
			}
			var image []byte
			for b.Loop() {
				image, _ = cbor.Marshal(c.Snapshot())
			}
			b.ReportMetric(float64(len(image))/float64(n), "B/object")
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 15800} {
		b.Run(fmt.Sprintf("objects=%d", n), func(b *testing.B) {
			var ops []Op
			for i := range n {
				ops = append(ops, putAccount(fmt.Sprintf("account-%05d", i), 1))
			}
			c, err := Config{}.Apply(ops)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := c.Apply([]Op{putAccount("account-00001", 2)}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
