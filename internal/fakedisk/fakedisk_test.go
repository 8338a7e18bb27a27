// SPDX-License-Identifier: Apache-2.0

package fakedisk_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
)

// This file tests the state of a fake disk after a crash.

// TestCrashOutcomeDependsOnSeedOnly checks that the seed alone determines which parts of several files
// survive a crash.
func TestCrashOutcomeDependsOnSeedOnly(t *testing.T) {
	is := is.New(t)
	sizesAfterCrash := func() (sizes []int) {
		d := fakedisk.New(1)
		for n := range 8 {
			f, err := d.OpenAppend(fmt.Sprint(n), 0)
			is.NoErr(err)
			_, err = f.Write(make([]byte, 10000))
			is.NoErr(err)
		}
		is.NoErr(d.Sync())
		d.Crash()
		for n := range 8 {
			sizes = append(sizes, d.Size(fmt.Sprint(n)))
		}
		return sizes
	}
	first := sizesAfterCrash()
	for range 20 {
		is.Equal(sizesAfterCrash(), first)
	}
}
