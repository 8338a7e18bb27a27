// SPDX-License-Identifier: Apache-2.0

package claim_test

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// A keyed request is granted once; a resend gets the answer of the first run.
func ExampleRegister() {
	r := claim.New()
	holder := claim.Holder{Router: "r1", Boot: 7}
	request := protocol.Claim{Account: "hotel", Key: "booking-1", Digest: 42, Attempt: 1}
	first := r.Apply(claim.Command{Holder: holder, Claim: &request})
	fmt.Println("granted:", first.State == protocol.ClaimGranted)
	r.Apply(claim.Command{Holder: holder, Settle: &protocol.Settle{
		Account: "hotel", Key: "booking-1", Attempt: 1, State: protocol.ClaimRan,
		Answer: &protocol.Answer{Status: 200, Body: []byte("booked")},
	}})
	request.Attempt = 2
	again := r.Apply(claim.Command{Holder: holder, Claim: &request})
	fmt.Printf("has run: %t, answer: %s\n", again.State == protocol.ClaimRan, again.Answer.Body)
	// Output:
	// granted: true
	// has run: true, answer: booked
}
