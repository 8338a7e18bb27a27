// SPDX-License-Identifier: Apache-2.0

// Package golden compares the output of tests with files in the folder testdata/golden of the tested
// package.
//
// The files pin formats that other processes, stored data and people rely on: bytes on the wire and
// on disk, and the names of metrics, flags and log attributes. Any difference fails the test. The
// flag -update rewrites the files; use it only for a deliberate change of a format.
//
// Only tests import this package.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// This file defines the comparisons, and the check that a value written to a golden file has no unset
// field.

var update = flag.Bool("update", false, "rewrite the golden files")

// Update reports whether the flag -update is set.
func Update() bool { return *update }

// Text compares a text with a golden file.
func Text(t *testing.T, name, got string) {
	t.Helper()
	if want := string(readGolden(t, name, []byte(got))); got != want {
		t.Errorf("%s differs from the pinned text\n got:\n%s\nwant:\n%s", name, got, want)
	}
}

// Bytes compares bytes with a golden file that holds them in hexadecimal. It returns the bytes of the
// golden file, so that the test can decode them.
func Bytes(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	text := readGolden(t, name+".hex", []byte(hex.EncodeToString(got)+"\n"))
	want, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: bytes differ from the pinned ones\n got %x\nwant %x\n got %s\nwant %s",
			name, got, want, diagnosticNotation(got), diagnosticNotation(want))
	}
	return want
}

// Folder compares the files that write creates with a folder of golden files and returns a copy of
// that folder that tests may open and modify. The flag -update does not remove files that are no
// longer written; delete those manually.
func Folder(t *testing.T, name string, write func(t *testing.T, folder string)) string {
	t.Helper()
	fresh, pinned := t.TempDir(), t.TempDir()
	write(t, fresh)
	written := listFiles(t, fresh)
	for _, e := range written {
		got, err := os.ReadFile(filepath.Join(fresh, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if want := readGolden(t, filepath.Join(name, e.Name()), got); !bytes.Equal(got, want) {
			t.Errorf("%s/%s: bytes differ from the pinned ones\n got %x\nwant %x", name, e.Name(), got, want)
		}
	}
	if err := os.CopyFS(pinned, os.DirFS(filepath.Join("testdata", "golden", name))); err != nil {
		t.Fatal(err)
	}
	if pinnedFiles := listFiles(t, pinned); len(pinnedFiles) != len(written) {
		t.Errorf("%s: %d files are written, %d are pinned", name, len(written), len(pinnedFiles))
	}
	return pinned
}

func listFiles(t *testing.T, folder string) []os.DirEntry {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// readGolden returns the content of a golden file. With -update it first writes got to the file.
func readGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// diagnosticNotation returns CBOR in diagnostic notation.
func diagnosticNotation(b []byte) string {
	s, err := cbor.Diagnose(b)
	if err != nil {
		return err.Error()
	}
	return s
}

// AllSet fails the test for every field of v with a zero value, recursively. In a slice of structs it
// checks the first element only.
func AllSet(t *testing.T, where string, v any) {
	t.Helper()
	allSet(t, where, reflect.ValueOf(v))
}

func allSet(t *testing.T, where string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", where)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		allSet(t, where, v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", where)
		} else if v.Index(0).Kind() == reflect.Struct {
			allSet(t, where+"[0]", v.Index(0))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				allSet(t, where+"."+f.Name, v.Field(i))
			}
		}
	}
}
