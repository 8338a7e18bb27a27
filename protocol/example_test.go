// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// A message is sent in an envelope with its kind. A kind of a later version decodes to nil
// without an error.
func ExampleEncode() {
	b, err := protocol.Encode(protocol.Renew{Seq: 5})
	if err != nil {
		fmt.Println(err)
	}
	m, err := protocol.Decode(b)
	fmt.Printf("%s %+v %v\n", protocol.KindOf(m), m, err)
	fmt.Println(protocol.Decode([]byte{0x82, 0x18, 0xc8, 0xa0})) // kind 200
	// Output:
	// renew {Seq:5 Revision:0} <nil>
	// <nil> <nil>
}
