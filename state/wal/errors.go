// SPDX-License-Identifier: Apache-2.0

package wal

import "fmt"

// This file defines the two errors that callers handle differently.

// Damaged reports a file whose content differs from what was written. The replica must
// not start from it.
type Damaged struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and the kind of damage.
func (e Damaged) Error() string {
	return fmt.Sprintf("wal: %s damaged at byte %d: %s; treat this replica as one that lost its disk",
		e.File, e.Offset, e.Reason)
}

// Failed reports a failed write or sync. No later record may be acknowledged.
type Failed struct {
	Op  string
	Err error
}

// Error names the operation and the disk's error.
func (e Failed) Error() string { return "wal: " + e.Op + " failed: " + e.Err.Error() }

// Unwrap returns the disk's error.
func (e Failed) Unwrap() error { return e.Err }
