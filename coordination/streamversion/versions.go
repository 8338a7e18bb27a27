// SPDX-License-Identifier: Apache-2.0

package streamversion

import (
	"maps"
	"slices"
	"time"
)

// This file defines Versions, which may have begun a stream without a record.

// Versions are the versions of one pool's servers that are or were listed. The zero value has none.
type Versions struct {
	lastListed map[string]time.Duration
}

// Observe records that a server of a version is listed, or was until now.
func (v *Versions) Observe(now time.Duration, version string) {
	if v.lastListed == nil {
		v.lastListed = map[string]time.Duration{}
	}
	v.lastListed[version] = now
}

// Possible returns the versions that were listed within the retention time, in order, and forgets the
// others.
func (v *Versions) Possible(now, retention time.Duration) []string {
	maps.DeleteFunc(v.lastListed, func(_ string, last time.Duration) bool { return now-last > retention })
	return slices.Sorted(maps.Keys(v.lastListed))
}
