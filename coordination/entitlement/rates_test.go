// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestAccountRatesAsJSON guards the field names that operators search for in the log line "shares".
func TestAccountRatesAsJSON(t *testing.T) {
	is := is.New(t)
	b, err := json.Marshal(AccountRates{Account: "a", Demand: 1, Served: 2, Unread: 3})
	is.NoErr(err)
	is.Equal(string(b), `{"Account":"a","Demand":1,"Given":2,"Unread":3}`)
}
