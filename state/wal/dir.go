// SPDX-License-Identifier: Apache-2.0

package wal

import (
	"io"
	"os"
	"path/filepath"
)

// This file defines Dir, the folder operations that the log needs, and its
// implementation on the operating system. Tests replace it with a disk that loses
// unsynced data, tears writes and flips bits.

// Dir is one folder. Names have no separators.
type Dir interface {
	// ReadFile returns the content of a file. If the file does not exist,
	// errors.Is(err, fs.ErrNotExist) holds.
	ReadFile(name string) ([]byte, error)
	// OpenAppend truncates a file to size bytes and opens it for appending. It
	// creates a missing file.
	OpenAppend(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// Sync makes renames, creations and removals durable.
	Sync() error
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync makes everything written so far durable.
	Sync() error
}

// OSDir is a folder of the operating system.
type OSDir string

var _ Dir = OSDir("")

// MakeDir returns the folder at path, and creates it if it is missing.
func MakeDir(path string) (OSDir, error) {
	return OSDir(path), os.MkdirAll(path, 0o700)
}

// ReadFile implements [Dir].
func (d OSDir) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

// OpenAppend implements [Dir].
func (d OSDir) OpenAppend(name string, size int64) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Rename implements [Dir].
func (d OSDir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove implements [Dir].
func (d OSDir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List implements [Dir].
func (d OSDir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Sync implements [Dir].
func (d OSDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
