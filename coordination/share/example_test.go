// SPDX-License-Identifier: Apache-2.0

package share_test

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/coordination/share"
)

// Two accounts have waiting requests. The one with three times the share is served three of
// four requests.
func ExampleQueue() {
	q := share.NewQueue(share.Limits{})
	q.SetAccount("large", 3, share.Limits{})
	q.SetAccount("small", 1, share.Limits{})
	for range 6 {
		for _, account := range []string{"large", "small"} {
			if _, err := q.Push(share.Request{Account: account}); err != nil {
				fmt.Println(err)
			}
		}
	}
	for range 8 {
		next, _ := q.Next()
		q.Start(next, 30)
		fmt.Print(next.Account, " ")
		q.Finish(next.Account)
	}
	// Output: large small large large large small large large
}

// An estimate is charged at the start, more when the request exceeds it, and the difference
// is settled at the end.
func ExampleMeter() {
	var m share.Meter
	fmt.Println(m.Start(100), m.Progress(80), m.Progress(130), m.Finish(120))
	// Output: 100 0 30 -10
}
