// SPDX-License-Identifier: Apache-2.0

//go:build !race

package rollout

// This file defines raced, without the race detector.

// raced is whether the race detector is on.
const raced = false
