// SPDX-License-Identifier: Apache-2.0

package wal_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// This file pins the files of a log in testdata/golden, because running boxes hold such
// files on disk. The format has no random and no time-dependent part. Run with -update
// to rewrite the files, which only a deliberate change of the stored format justifies.

var goldenRecords = [][]byte{[]byte("one"), {}, []byte("three\x00\xff"), []byte("four")}

// writeFirst writes generation 0 with two frames.
func writeFirst(t *testing.T, folder string) {
	is := is.New(t)
	l, _, err := wal.Open(wal.OSDir(folder))
	is.NoErr(err)
	is.NoErr(l.Append(goldenRecords[:3]...))
	is.NoErr(l.Append(goldenRecords[3]))
	is.NoErr(l.Close())
}

// writeRotated writes generation 1: a snapshot, the frame of the rotation and one more
// frame.
func writeRotated(t *testing.T, folder string) {
	is := is.New(t)
	l, _, err := wal.Open(wal.OSDir(folder))
	is.NoErr(err)
	is.NoErr(l.Append([]byte("covered by the snapshot")))
	is.NoErr(l.Rotate([]byte("the snapshot"), goldenRecords[:3]...))
	is.NoErr(l.Append(goldenRecords[3]))
	is.NoErr(l.Close())
}

func TestGoldenFiles(t *testing.T) {
	for _, tt := range []struct {
		name     string
		write    func(*testing.T, string)
		snapshot string
	}{
		{"first", writeFirst, ""},
		{"rotated", writeRotated, "the snapshot"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			folder := golden.Folder(t, tt.name, tt.write)
			l, rec, err := wal.Open(wal.OSDir(folder))
			is.NoErr(err)
			defer l.Close()
			is.Equal(string(rec.Snapshot), tt.snapshot)
			is.Equal(len(rec.Records), len(goldenRecords))
			for i, r := range rec.Records {
				is.Equal(string(r), string(goldenRecords[i]))
			}
			is.Equal(rec.DroppedBytes, 0)
		})
	}
}
