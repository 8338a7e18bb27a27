// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests the token totals per account.

// TestTokensAreCounted checks that all demanded tokens are counted as begun or refused for a cause,
// even if log lines of single requests are dropped.
func TestTokensAreCounted(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.2, Extra: 0.2}}, nil, true)
		for range 500 {
			x.request("/engine/x", "Tokens", "1000")
		}
		x.setOverload(func(d *overload.Detector) { d.Delay = overload.DelayTooLong + 1 })
		x.request("/engine/x", "Tokens", "700", "Key", "other")
		sorted := byAccount(x.g.tokenCounters.takeSums())
		is.Equal(len(sorted), 2)
		is.Equal(sorted[0].account, "u") // refused within its share
		is.Equal(sorted[0].withinShare, 700)
		is.Equal(sorted[0].refused, map[string]int{string(ProcessorOverload): 700})
		is.Equal(sorted[1].demanded, 500_000)
		is.Equal(sorted[1].begun+sorted[1].refused[string(BeyondShare)], 500_000)
		is.Equal(sorted[1].withinShare, 0)
		is.Equal(len(x.g.tokenCounters.takeSums()), 0)
		var text bytes.Buffer
		x.g.cfg.Metrics.WritePrometheus(&text)
		is.True(strings.Contains(text.String(), `badgerspoke_gateway_tokens_total{tenant="u",standing="covered",end="processor-pressure"} 700`))
	})
}

// TestAccountsAreOrdered checks that accounts refused within their share come first, then those
// with the largest demand.
func TestAccountsAreOrdered(t *testing.T) {
	is := is.New(t)
	sums := map[tokenKey]int{
		{"a", entitlement.Covered, tokensDemanded}:           10,
		{"a", entitlement.Covered, tokensBegun}:              10,
		{"b", entitlement.Entitled, tokensDemanded}:          30,
		{"b", entitlement.Entitled, string(Overloaded)}:      20,
		{"b", entitlement.Beyond, string(BeyondShare)}:       10,
		{"c", entitlement.Beyond, tokensDemanded}:            90,
		{"c", entitlement.Beyond, string(BeyondShare)}:       90,
		{"c", entitlement.Entitled, string(Stopping)}:        5,
		{"c", entitlement.Beyond, string(ProcessorOverload)}: 1,
	}
	is.Equal(byAccount(sums), []accountTokens{
		{"b", 30, 0, 20, map[string]int{string(Overloaded): 20, string(BeyondShare): 10}},
		{"c", 90, 0, 5, map[string]int{string(BeyondShare): 90, string(Stopping): 5, string(ProcessorOverload): 1}},
		{"a", 10, 10, 0, map[string]int{}},
	})

}
