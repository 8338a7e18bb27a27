// SPDX-License-Identifier: Apache-2.0

package wal_test

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// TestDirContract runs the same checks against every implementation of wal.Dir: folders
// of the operating system, and the in-memory disk that replaces them in tests.
func TestDirContract(t *testing.T) {
	dirs := map[string]func(t *testing.T) wal.Dir{
		"OSDir": func(t *testing.T) wal.Dir {
			d, err := wal.MakeDir(t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			return d
		},
		"fakedisk": func(*testing.T) wal.Dir { return fakedisk.New(1) },
	}
	for name, open := range dirs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := open(t)
			_, err := d.ReadFile("none")
			is.True(errors.Is(err, fs.ErrNotExist))
			is.True(d.Rename("none", "other") != nil)
			is.True(d.Remove("none") != nil)

			f, err := d.OpenAppend("a", 0) // creates the file
			is.NoErr(err)
			write(is, f, "hello")
			write(is, f, " world")
			is.NoErr(f.Sync())
			is.NoErr(f.Close())
			is.Equal(content(is, d, "a"), "hello world")

			f, err = d.OpenAppend("a", 5) // truncates the file
			is.NoErr(err)
			write(is, f, "!")
			is.NoErr(f.Sync())
			is.NoErr(f.Close())
			is.Equal(content(is, d, "a"), "hello!")

			is.NoErr(d.Rename("a", "b"))
			is.NoErr(d.Sync())
			names, err := d.List()
			is.NoErr(err)
			is.Equal(names, []string{"b"})
			is.NoErr(d.Remove("b"))
			names, err = d.List()
			is.NoErr(err)
			is.Equal(len(names), 0)
		})
	}
}

func write(is *is.I, f wal.File, text string) {
	is.Helper()
	n, err := f.Write([]byte(text))
	is.NoErr(err)
	is.Equal(n, len(text))
}

func content(is *is.I, d wal.Dir, name string) string {
	is.Helper()
	b, err := d.ReadFile(name)
	is.NoErr(err)
	return string(b)
}
