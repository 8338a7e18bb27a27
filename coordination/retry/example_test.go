// SPDX-License-Identifier: Apache-2.0

package retry_test

import (
	"fmt"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// A request that a server refused may be sent elsewhere, which is charged to the budget. One that may
// have run may not, unless its route allows a second run.
func ExampleRequest_MayRetry() {
	r := retry.Request{Route: document.Route{MaxAttempts: 1}, TimeLeft: true}
	for _, last := range []retry.Execution{retry.NotSent, retry.Refused, retry.MayHaveRun} {
		after := r
		after.Counts = r.With(last)
		fmt.Println(after.MayRetry(last))
	}
	// Output:
	// true false
	// true true
	// false false
}

// A router's budget allows one retry per ten requests.
func ExampleBudget() {
	b := retry.DefaultBudget
	for range 11 {
		b.RecordRequest()
	}
	fmt.Println(b.AllowRetry(), b.AllowRetry())
	// Output: true false
}

// Each gateway gets an equal part of the fleet's extra retries.
func ExampleWindow() {
	w := retry.NewWindow(retry.Limits{Ratio: 0.1, Extra: 10, Window: 10 * time.Second})
	allowed := 0
	for w.AllowRetry(time.Second, 2) {
		allowed++
	}
	fmt.Println(allowed)
	// Output: 3
}
