// SPDX-License-Identifier: Apache-2.0

package config_test

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/state/config"
)

// A change names the revision that it builds on. Sending it again returns the first
// result. A different change for the same revision returns a conflict with the winner.
func ExampleStore() {
	var s config.Store
	account := config.Account{Name: "hotel", Share: 1}
	first := config.Change{ID: "c1", Base: 0, Ops: []config.Op{{PutAccount: &account}}}
	fmt.Println(s.Apply(first))
	fmt.Println(s.Apply(first))
	other := account.WithShare(2)
	fmt.Println(s.Apply(config.Change{ID: "c2", Base: 0, Ops: []config.Op{{PutAccount: &other}}}))
	// Output:
	// 1 <nil>
	// 1 <nil>
	// 0 change builds on revision 0, which change "c1" took; the current one is 1
}
