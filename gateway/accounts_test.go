// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestEstimateUnread checks that connections not accepted are estimated as one request
// each, with the accounts and sizes of the requests that were read.
func TestEstimateUnread(t *testing.T) {
	is := is.New(t)
	read := []protocol.Demand{{Account: "a", Tokens: 900}, {Account: "b", Tokens: 300}}
	is.Equal(estimateUnread(read, 8, 4), []protocol.Demand{{Account: "a", Tokens: 1800}, {Account: "b", Tokens: 600}})
	is.Equal(estimateUnread(read, 0, 4), nil)
	is.Equal(estimateUnread(nil, 8, 0), nil) // without a request read there is no estimate
}
