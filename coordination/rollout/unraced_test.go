// SPDX-License-Identifier: Apache-2.0

//go:build !race

package rollout

// raced is whether the race detector is on.
const raced = false
