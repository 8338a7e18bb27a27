// SPDX-License-Identifier: Apache-2.0

package wal_test

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/state/wal"
)

// Records that Append acknowledged survive a crash.
func ExampleLog() {
	disk := fakedisk.New(1)
	l, _, err := wal.Open(disk)
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := l.Append([]byte("one"), []byte("two")); err != nil {
		fmt.Println(err)
	}
	disk.Crash()
	_, recovered, err := wal.Open(disk)
	fmt.Printf("%s %v\n", recovered.Records, err)
	// Output: [one two] <nil>
}
