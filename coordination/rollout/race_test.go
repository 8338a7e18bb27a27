// SPDX-License-Identifier: Apache-2.0

//go:build race

package rollout

// This file defines raceEnabled for builds with the race detector.

// raceEnabled reports whether the tests run under the race detector.
const raceEnabled = true
