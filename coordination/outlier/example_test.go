// SPDX-License-Identifier: Apache-2.0

package outlier_test

import (
	"fmt"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// A router ejects a server after consecutive failures, then sends it one trial.
func ExampleConsecutive() {
	c := outlier.NewConsecutive()
	c.SetSize(2)
	for range 3 {
		fmt.Println("ejected:", c.Failed(0, "s1"))
	}
	later := 2 * time.Second
	fmt.Println("usable:", c.Usable(later, "s1"))
	c.Sent(later, "s1")
	fmt.Println("usable during the trial:", c.Usable(later, "s1"))
	c.Succeeded("s1")
	fmt.Println("usable after it:", c.Usable(later, "s1"))
	// Output:
	// ejected: false
	// ejected: false
	// ejected: true
	// usable: true
	// usable during the trial: false
	// usable after it: true
}

// A gateway ejects a server with a much higher failure rate than its pool.
func ExamplePoolRate() {
	var pool outlier.PoolRate
	var good, bad outlier.FailureRate
	for range 20 {
		pool.Record(0, &good, outlier.Answered, false)
	}
	for range outlier.MinSamples {
		fmt.Println("ejected:", pool.Record(0, &bad, outlier.Faulty, false))
	}
	fmt.Println("left alone:", bad.State(outlier.MinGatewayEjection-1) == outlier.Ejected)
	fmt.Println("trial due:", bad.State(outlier.MinGatewayEjection) == outlier.Trial)
	// Output:
	// ejected: false
	// ejected: false
	// ejected: false
	// ejected: true
	// left alone: true
	// trial due: true
}
