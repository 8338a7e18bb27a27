// SPDX-License-Identifier: Apache-2.0

package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// counter is a state machine that counts the commands that it applied.
type counter struct{ n int }

func (c *counter) Apply([]byte) any          { c.n++; return c.n }
func (c *counter) Snapshot() ([]byte, error) { return []byte(fmt.Sprint(c.n)), nil }
func (c *counter) Restore(image []byte) error {
	_, err := fmt.Sscan(string(image), &c.n)
	return ignoreEmpty(image, err)
}
func ignoreEmpty(image []byte, err error) error {
	if len(image) == 0 {
		return nil
	}
	return err
}

func testSettings(dir wal.Dir, m StateMachine) Settings {
	return Settings{
		Group: "g", Name: "a", Names: []string{"a"}, Dir: dir, StateMachine: m, Send: func(protocol.Consensus) {},
		Tuning: Tuning{ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond, CompactAt: 2000},
		Random: rand.New(rand.NewPCG(1, 1)).Uint64, Log: slog.New(slog.DiscardHandler),
	}
}

// mustPropose proposes a command, and retries until there is a leader.
func mustPropose(t testing.TB, r *Replica) any {
	t.Helper()
	for range 500 {
		got, err := r.Propose(context.Background(), []byte("x"))
		if err == nil {
			return got
		}
		if !errors.As(err, new(consensus.NotLeader)) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader")
	return nil
}

func TestAcknowledgedCommandsSurviveCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := fakedisk.New(1)
		total := 0
		for range 5 {
			ctx, stop := context.WithCancel(context.Background())
			m := &counter{}
			r, err := Start(ctx, testSettings(d, m))
			is.NoErr(err)
			for range 60 { // enough to trigger compaction
				total++
				is.Equal(mustPropose(t, r), total)
			}
			stop()
			<-r.Done()
			d.Crash()
		}
	})
}

func TestFailedSyncStopsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := fakedisk.New(1)
		r, err := Start(t.Context(), testSettings(d, &counter{}))
		is.NoErr(err)
		mustPropose(t, r)
		d.FailSync()
		_, err = r.Propose(t.Context(), []byte("x"))
		is.True(errors.As(err, new(Stopped))) // the outcome is undecided: the entry may be on the disk
		is.True(errors.As(err, new(Undecided)) || errors.As(err, new(Stopped)))
		<-r.Done()
		is.True(errors.As(r.Err(), new(wal.Failed)))
		_, err = r.Propose(t.Context(), []byte("x"))
		is.True(errors.As(err, new(Stopped)))
	})
}

// TestAppendedProposalIsUndecidedAfterFailedSync checks the error of an appended proposal when the
// sync fails: the entry may be durable on this replica or on others, so its outcome is unknown.
func TestAppendedProposalIsUndecidedAfterFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := fakedisk.New(1)
		r, err := Start(t.Context(), testSettings(d, &counter{}))
		is.NoErr(err)
		mustPropose(t, r)
		d.FailSync()
		_, err = r.Propose(t.Context(), []byte("x"))
		is.True(errors.As(err, new(Undecided)))
		is.True(errors.As(err, new(Stopped))) // its cause
	})
}

func TestProposalsShareSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := fakedisk.New(1)
		cfg := testSettings(d, &counter{})
		cfg.CompactAt = 0
		r, err := Start(t.Context(), cfg)
		is.NoErr(err)
		mustPropose(t, r)
		d.SetSyncTime(5 * time.Millisecond) // the other proposals arrive during the first sync
		before := d.Syncs()
		done := make(chan error, 200)
		for range 200 {
			go func() { _, err := r.Propose(t.Context(), []byte("x")); done <- err }()
		}
		for range 200 {
			is.NoErr(<-done)
		}
		is.True(d.Syncs()-before <= 3) // for 200 proposals
	})
}

// syncCountingDir counts the syncs of appends. Files with temporary names are not counted.
type syncCountingDir struct {
	wal.Dir
	syncs atomic.Int64
}

func (d *syncCountingDir) OpenAppend(name string, size int64) (wal.File, error) {
	f, err := d.Dir.OpenAppend(name, size)
	if err != nil || strings.HasSuffix(name, ".tmp") {
		return f, err
	}
	return syncCountingFile{f, &d.syncs}, nil
}

type syncCountingFile struct {
	wal.File
	syncs *atomic.Int64
}

func (f syncCountingFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
}

// BenchmarkPropose reports commits per second and syncs per commit on the local disk,
// by the number of proposers.
func BenchmarkPropose(b *testing.B) {
	for _, perProcessor := range []int{1, 4, 32} {
		b.Run(fmt.Sprintf("proposers=%d", perProcessor*runtime.GOMAXPROCS(0)), func(b *testing.B) {
			folder, err := wal.MakeDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			dir := &syncCountingDir{Dir: folder}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			r, err := Start(ctx, testSettings(dir, &counter{}))
			if err != nil {
				b.Fatal(err)
			}
			mustPropose(b, r)
			before := dir.syncs.Load()
			b.SetParallelism(perProcessor)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := r.Propose(ctx, []byte("a command of usual length, some dozens of bytes")); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.StopTimer()
			stop()
			<-r.Done()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(dir.syncs.Load()-before)/float64(b.N), "syncs/commit")
		})
	}
}

// TestSeedKeepsBootstrapFlagOnDisk checks that a seed whose first start ended at once founds the group at its second
// one, when the settings no longer have the flag.
func TestSeedKeepsBootstrapFlagOnDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := fakedisk.New(1)
		cfg := testSettings(d, &counter{})
		cfg.Open = &OpenGroup{Bootstrap: true, Voters: 1}
		ctx, stop := context.WithCancel(context.Background())
		r, err := Start(ctx, cfg)
		is.NoErr(err)
		stop() // before the first tick
		<-r.Done()
		d.Crash()
		cfg.Open = &OpenGroup{Voters: 1}
		r, err = Start(t.Context(), cfg)
		is.NoErr(err)
		is.Equal(mustPropose(t, r), 1)
	})
}
