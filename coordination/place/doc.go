// SPDX-License-Identifier: Apache-2.0

// Package place chooses the backend server of a request among those on which
// the router holds a free slot.
//
// The model: every candidate has a price, the lowest wins. The price is the
// work that must be done before the first token: what waits in front of the
// request on that server, and the part of its prompt that the server's cache
// does not hold. Both are guesses:
//
//   - Load is what this router runs there itself, plus what the server last
//     reported, discounted by the age of the report.
//   - The cache is an approximate index of prompt blocks ([Index]): what this
//     router sent where, corrected by the servers' late events. A gap in a
//     server's event numbers makes all that was known of it doubtful, which
//     halves the benefit instead of forgetting it.
//   - Where nobody knows anything, routers agree without a message: the prompt's
//     first block prefers one server by rendezvous hashing.
//
// Affinity never makes a request wait: only servers with a free slot are
// candidates, so a hot server costs at most its price, never idle capacity
// elsewhere.
//
// Servers that fail are left alone by the judgement of package outlier.
//
// All types are pure and not safe for concurrent use.
package place
