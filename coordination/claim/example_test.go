// SPDX-License-Identifier: Apache-2.0

package claim_test

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// ExampleRegister claims a key at one router and repeats the request at another one after it
// ran.
func ExampleRegister() {
	r := claim.New()
	first := claim.Holder{Router: "r1", Boot: 1}
	c := protocol.Claim{Account: "hotel", Key: "k1", Digest: 7, Attempt: 1}
	granted := r.Apply(claim.Command{Millis: 1000, Holder: first, Claim: &c})
	fmt.Println(granted.State == protocol.ClaimGranted)

	r.Apply(claim.Command{Millis: 2000, Holder: first, Settle: &protocol.Settle{
		Account: "hotel", Key: "k1", Attempt: 1, State: protocol.ClaimRan,
		Answer: &protocol.Answer{Status: 200, Body: []byte("booked")},
	}})
	again := r.Apply(claim.Command{Millis: 3000, Holder: claim.Holder{Router: "r2", Boot: 1}, Claim: &c})
	fmt.Println(again.State == protocol.ClaimRan, string(again.Answer.Body))

	seen, ok := r.Lookup("hotel", "k1") // makes no claim
	fmt.Println(ok, seen.State == protocol.ClaimRan)
	// Output:
	// true
	// true booked
	// true true
}
