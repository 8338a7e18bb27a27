// SPDX-License-Identifier: Apache-2.0

//go:build race

package rollout

// This file defines raced, with the race detector.

// raced is whether the race detector is on.
const raced = true
