// SPDX-License-Identifier: Apache-2.0

package wal_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/internal/seeds"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

func mustOpen(t interface {
	Helper()
	Fatalf(string, ...any)
}, d wal.Dir) (*wal.Log, []string, wal.Recovered) {
	t.Helper()
	l, rec, err := wal.Open(d)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	var texts []string
	for _, r := range rec.Records {
		texts = append(texts, string(r))
	}
	return l, texts, rec
}

const firstLog = "0000000000000000.log"

// diskWithThreeFrames returns a disk with three frames of one record each, and the offset
// of each frame's end.
func diskWithThreeFrames(t *testing.T) (*fakedisk.Disk, []int) {
	t.Helper()
	d := fakedisk.New(1)
	l, _, _ := mustOpen(t, d)
	var ends []int
	for _, s := range []string{"one", "two", "three"} {
		if err := l.Append([]byte(s)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, d.Size(firstLog))
	}
	return d, ends
}

func TestTornTailIsDroppedAndDamageRefused(t *testing.T) {
	tests := []struct {
		name    string
		damage  func(d *fakedisk.Disk, ends []int)
		kept    int  // records
		refused bool // Damaged
	}{
		{"none", func(*fakedisk.Disk, []int) {}, 3, false},
		{"truncated inside the last payload", func(d *fakedisk.Disk, e []int) { d.Truncate(firstLog, e[2]-1) }, 2, false},
		{"truncated inside the last header", func(d *fakedisk.Disk, e []int) { d.Truncate(firstLog, e[1]+5) }, 2, false},
		{"bit flipped in the first payload", func(d *fakedisk.Disk, e []int) { d.FlipBit(firstLog, e[0]-1) }, 0, true},
		{"bit flipped in the first header", func(d *fakedisk.Disk, e []int) { d.FlipBit(firstLog, 5) }, 0, true},
		{"bit flipped in the middle", func(d *fakedisk.Disk, e []int) { d.FlipBit(firstLog, e[1]-2) }, 0, true},
		{"bit flipped in the last payload", func(d *fakedisk.Disk, e []int) { d.FlipBit(firstLog, e[2]-1) }, 0, true},
		{"bit flipped in the last header", func(d *fakedisk.Disk, e []int) { d.FlipBit(firstLog, e[1]+1) }, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, ends := diskWithThreeFrames(t)
			tt.damage(d, ends)
			l, rec, err := wal.Open(d)
			var damaged wal.Damaged
			is.Equal(errors.As(err, &damaged), tt.refused)
			if tt.refused {
				return
			}
			is.NoErr(err)
			is.Equal(len(rec.Records), tt.kept)
			is.NoErr(l.Append([]byte("after"))) // the dropped frame does not reappear
			_, texts, _ := mustOpen(t, d)
			is.Equal(len(texts), tt.kept+1)
			is.Equal(texts[tt.kept], "after")
		})
	}
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	d, _ := diskWithThreeFrames(t)
	l, _, _ := mustOpen(t, d)
	is.NoErr(l.Rotate([]byte("image"), []byte("tail")))
	d.FlipBit("0000000000000001.snapshot", 20)
	_, _, err := wal.Open(d)
	var damaged wal.Damaged
	is.True(errors.As(err, &damaged))
	is.Equal(damaged.File, "0000000000000001.snapshot")
}

func TestMissingLogIsRefused(t *testing.T) {
	is := is.New(t)
	d, _ := diskWithThreeFrames(t)
	l, _, _ := mustOpen(t, d)
	is.NoErr(l.Rotate([]byte("image")))
	is.NoErr(d.Remove("0000000000000001.log"))
	_, _, err := wal.Open(d)
	var damaged wal.Damaged
	is.True(errors.As(err, &damaged))
}

func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	d, _ := diskWithThreeFrames(t)
	l, _, _ := mustOpen(t, d)
	d.FailSync()
	err := l.Append([]byte("four"))
	var failed wal.Failed
	is.True(errors.As(err, &failed))
	is.True(errors.Is(err, fakedisk.ErrSync))
	d.Crash() // syncs work again, but the failure is final for this log
	is.True(errors.As(l.Append([]byte("five")), &failed))
	_, texts, _ := mustOpen(t, d)
	is.Equal(texts[:3], []string{"one", "two", "three"})
}

func TestFullDiskLosesNoAcknowledgedRecord(t *testing.T) {
	is := is.New(t)
	d, _ := diskWithThreeFrames(t)
	l, _, _ := mustOpen(t, d)
	d.SetFreeSpace(7)
	err := l.Append([]byte("does not fit"))
	is.True(errors.Is(err, fakedisk.ErrFull))
	d.SetFreeSpace(-1)
	_, texts, rec := mustOpen(t, d)
	is.Equal(texts, []string{"one", "two", "three"})
	is.Equal(rec.DroppedBytes, 7)
}

// TestAcknowledgedRecordsSurviveCrashes appends, rotates and crashes in random order. Acknowledged records must
// survive in order, and an unacknowledged append must survive as a whole or not at all.
func TestAcknowledgedRecordsSurviveCrashes(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		d := fakedisk.New(rapid.Uint64().Draw(t, "seed"))
		l, _, _ := mustOpen(t, d)
		var base, acked []string // records in the snapshot, and after it
		n := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				var batch [][]byte
				for range rapid.IntRange(1, 4).Draw(t, "batch") {
					text := fmt.Sprintf("%d:%s", n, string(make([]byte, rapid.IntRange(0, 900).Draw(t, "pad"))))
					n++
					batch = append(batch, []byte(text))
					acked = append(acked, text)
				}
				if err := l.Append(batch...); err != nil {
					t.Fatalf("append: %v", err)
				}
			case 7:
				all := append(base, acked...)
				cut := rapid.IntRange(len(base), len(all)).Draw(t, "cut")
				var tail [][]byte
				for _, s := range all[cut:] {
					tail = append(tail, []byte(s))
				}
				if err := l.Rotate([]byte(fmt.Sprint(cut)), tail...); err != nil {
					t.Fatalf("rotate: %v", err)
				}
				base, acked = all[:cut:cut], all[cut:]
			case 8, 9:
				// An append that is never acknowledged, then a crash.
				d.SetFreeSpace(rapid.IntRange(0, 3000).Draw(t, "room"))
				_ = l.Append([]byte("lost"), make([]byte, 2000))
				d.SetFreeSpace(-1)
				d.Crash()
				var rec wal.Recovered
				var texts []string
				l, texts, rec = mustOpen(t, d)
				if len(base) > 0 && string(rec.Snapshot) != fmt.Sprint(len(base)) {
					t.Fatalf("snapshot is %q, want %d", rec.Snapshot, len(base))
				}
				if len(texts) == len(acked)+2 && texts[len(acked)] == "lost" {
					acked = texts // the whole frame reached the disk
				}
				if fmt.Sprint(texts) != fmt.Sprint(acked) {
					t.Fatalf("recovered %q, acknowledged %q", texts, acked)
				}
			}
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			dir, err := wal.MakeDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			l, _, err := wal.Open(dir)
			if err != nil {
				b.Fatal(err)
			}
			records := make([][]byte, batch)
			for i := range records {
				records[i] = make([]byte, 128)
			}
			for b.Loop() {
				if err := l.Append(records...); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "records/s")
			b.ReportMetric(1/float64(batch), "syncs/record")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			d := fakedisk.New(1)
			l, _, err := wal.Open(d)
			if err != nil {
				b.Fatal(err)
			}
			for range n {
				if err := l.Append(make([]byte, 128)); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if _, _, err := wal.Open(d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
