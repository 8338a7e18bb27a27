// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// This file defines Begun, the parts whose requests have begun to be answered lately.

const (
	// begunPeriod is the time after which the older half of a Begun is dropped. A part that was at two
	// crashes within it is cleared by an answer in between.
	begunPeriod = 20 * time.Second
	// maxBegun bounds the parts of one half.
	maxBegun = 2048
)

// Begun holds for parts the time at which an answer to a request with them last began. It keeps parts for
// begunPeriod at least, unless there are too many. It is not safe for concurrent use. The zero value is
// empty.
type Begun struct {
	current, older map[Key]time.Duration
	rotatedAt      time.Duration
}

// Record records that an answer has begun.
func (b *Begun) Record(now time.Duration, parts []Key) {
	if b.current == nil || now-b.rotatedAt >= begunPeriod || len(b.current) >= maxBegun {
		b.older, b.current, b.rotatedAt = b.current, map[Key]time.Duration{}, now
	}
	for _, k := range parts {
		b.current[k] = now
	}
}

// Has reports whether an answer to a request with a part has begun lately.
func (b *Begun) Has(k Key) bool { return b.Since(k, -1) }

// Since reports whether an answer to a request with a part has begun after the given time.
func (b *Begun) Since(k Key, at time.Duration) bool {
	last, known := b.current[k]
	if !known {
		last, known = b.older[k]
	}
	return known && last > at
}
