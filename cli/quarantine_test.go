// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file runs the commands about condemned requests against fakes of directory replicas.

var condemned = protocol.QuarantineAnswer{Outcome: protocol.OrderDone, Condemned: []protocol.CondemnedRequest{
	{Key: []byte("0123456789abcdef"), Account: "hotel", Pool: "llm", Servers: []string{"e1", "e2", "e3"}},
	{Key: []byte("fedcba9876543210"), Pool: "web", Servers: []string{"w1", "w2", "w3"}},
	{Key: []byte("0011223344556677"), Pool: "llm", Servers: []string{"e4", "e5", "e6"}, Parts: []string{"5c1e07a2", "91bd3f06"}, Model: "badger-small"},
}}

func TestQuarantineCommands(t *testing.T) {
	const key = "30313233343536373839616263646566"
	for _, tt := range []struct {
		name   string
		args   []string
		answer protocol.Message
		code   int
		text   string
	}{
		{"list", []string{"list"}, condemned, ExitOK, key + "  hotel    llm   e1 e2 e3"},
		{"empty list", []string{"list"}, protocol.QuarantineAnswer{Outcome: protocol.OrderDone}, ExitOK, "KEY"},
		{"empty list as JSON", []string{"list", "-json"}, protocol.QuarantineAnswer{Outcome: protocol.OrderDone}, ExitOK, "[]"},
		{"release", []string{"release", key}, protocol.QuarantineAnswer{Outcome: protocol.OrderDone}, ExitOK, "KEY"},
		{"refused", []string{"release", key}, protocol.QuarantineAnswer{Outcome: protocol.OrderRefused, Reason: "is not condemned"}, ExitRefused, "is not condemned"},
		{"no key", []string{"release"}, nil, ExitUsage, "requires KEY"},
		{"flag instead of the key", []string{"release", "-json"}, nil, ExitUsage, "requires KEY before"},
		{"not a key", []string{"release", "llm"}, nil, ExitUsage, "is not a key"},
		{"unexpected argument", []string{"list", "llm"}, nil, ExitUsage, "unexpected argument"},
		{"no such command", []string{"explode"}, nil, ExitUsage, "badgerspoke manages a router fleet"},
		{"help", []string{"release", "-h"}, nil, ExitOK, "allow a condemned request to be sent again"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeReplica(t, tt.answer)
			code, stdout, stderr := runCommand(t, f, fleetKey, append([]string{"quarantine"}, tt.args...)...)
			is.Equal(code, tt.code)
			is.True(strings.Contains(stdout+stderr, tt.text))
		})
	}
}

// TestQuarantineOrderIsRedirected checks that a command is sent to the leader that a replica
// names.
func TestQuarantineOrderIsRedirected(t *testing.T) {
	is := is.New(t)
	leader := newFakeReplica(t, condemned)
	other := newFakeReplica(t, protocol.QuarantineAnswer{Outcome: protocol.OrderNotLeader, Leader: leader.address})
	code, stdout, _ := runCommand(t, other, fleetKey, "quarantine", "list")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(stdout, "hotel"))
}

// TestQuarantineTable pins the printed table and JSON.
func TestQuarantineTable(t *testing.T) {
	var got strings.Builder
	printCondemned(&got, false, condemned.Condemned)
	printCondemned(&got, true, condemned.Condemned)
	golden.Text(t, "quarantine.txt", got.String())
}
