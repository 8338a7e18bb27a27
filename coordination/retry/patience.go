// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// This file defines Patience, which tells how long ago a caller asked for the first time.
//
// A caller that comes back sends another identifier, and says only how long it will still
// wait. What those wait that ask for the first time is the longest, and most ask once.

// patienceSpan is how long the longest wait is remembered at least. Chosen, not measured:
// callers of one route wait alike, until their software changes.
const patienceSpan = 10 * time.Second

// Patience is the longest that callers of one route said lately that they will wait. The
// zero value knows of none.
type Patience struct {
	longest, before time.Duration // of this span and of the one before
	since           time.Duration // when this span began
}

// Observe takes how long a caller will still wait, 0 if it does not say, and returns how
// long ago it asked first: 0 if nothing shows that it did before.
func (p *Patience) Observe(now, left time.Duration) (spent time.Duration) {
	if now-p.since >= patienceSpan {
		p.before, p.longest, p.since = p.longest, 0, now
	}
	if left <= 0 {
		return 0
	}
	p.longest = max(p.longest, left)
	return max(p.longest, p.before) - left
}
