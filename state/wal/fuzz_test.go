// SPDX-License-Identifier: Apache-2.0

package wal_test

import (
	"errors"
	"testing"

	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// FuzzOpen opens a folder whose log holds arbitrary bytes. Opening must either fail with
// Damaged or yield a log that can be appended to and opened again with the same records.
func FuzzOpen(f *testing.F) {
	d := fakedisk.New(1)
	l, _, err := wal.Open(d)
	if err != nil {
		f.Fatal(err)
	}
	_ = l.Append([]byte("one"), []byte("two"))
	_ = l.Append([]byte("three"))
	b, _ := d.ReadFile(firstLog)
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add(append(b[:20:20], make([]byte, 600)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := fakedisk.New(1)
		w, _ := d.OpenAppend(firstLog, 0)
		_, _ = w.Write(b)
		l, rec, err := wal.Open(d)
		if err != nil {
			if !errors.As(err, new(wal.Damaged)) {
				t.Fatalf("open failed with an error other than Damaged: %v", err)
			}
			return
		}
		if err := l.Append([]byte("after")); err != nil {
			t.Fatal(err)
		}
		_, again, err := wal.Open(d)
		if err != nil || len(again.Records) != len(rec.Records)+1 {
			t.Fatalf("%d records before one append, %d after: %v", len(rec.Records), len(again.Records), err)
		}
	})
}
