// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines the commands about condemned requests and prompt parts, whose backend servers ended
// while running them.

// quarantineTimeout bounds all attempts of one command together. It allows for several
// elections.
const quarantineTimeout = 10 * time.Second

// quarantineCommand is one command about condemned requests.
type quarantineCommand struct{ name, args, summary, example string }

var quarantineCommands = []quarantineCommand{
	{"list", "", "list the condemned requests and prompt parts, which are sent to no backend server", "badgerspoke quarantine list -fleet 10.0.0.3:7400 -fleet-key-file fleet.key"},
	{"release", "KEY", "allow a condemned request to be sent again, or those with condemned prompt parts", "badgerspoke quarantine release 5f0c41d07be2a35f9c41d07be2a35f68 -fleet 10.0.0.3:7400 -fleet-key-file fleet.key"},
}

// runQuarantine runs a command about condemned requests and returns the exit code.
func runQuarantine(ctx context.Context, args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	for _, cmd := range quarantineCommands {
		if len(args) > 0 && args[0] == cmd.name {
			return cmd.run(ctx, args[1:], getenv, stdout, stderr)
		}
	}
	usage(stderr)
	return ExitUsage
}

func (cmd quarantineCommand) run(ctx context.Context, args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	var f fleetFlags
	order, err := cmd.parse(&f, args, getenv, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		fmt.Fprintf(stderr, "badgerspoke quarantine %s: %v\n", cmd.name, err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	answer, err := sendOrder(ctx, &f, order, func(a protocol.QuarantineAnswer) (protocol.OrderOutcome, string) { return a.Outcome, a.Leader })
	switch {
	case errors.As(err, new(link.WrongKey)):
		fmt.Fprintf(stderr, "badgerspoke quarantine %s: %v\n", cmd.name, err)
		return ExitRefused
	case err != nil:
		fmt.Fprintf(stderr, "badgerspoke quarantine %s: %v\n", cmd.name, err)
		return ExitUnavailable
	case answer.Outcome != protocol.OrderDone:
		fmt.Fprintf(stderr, "badgerspoke quarantine %s: %s\n", cmd.name, answer.Reason)
		return orderExitCode(answer.Outcome)
	}
	printCondemned(stdout, f.json, answer.Condemned)
	return ExitOK
}

// parse parses the key, if the command has one, and the flags that follow it.
func (cmd quarantineCommand) parse(f *fleetFlags, args []string, getenv func(string) string, stderr io.Writer) (order protocol.QuarantineOrder, err error) {
	fs := flag.NewFlagSet("badgerspoke quarantine "+cmd.name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	f.define(fs, getenv)
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s\n\n  badgerspoke quarantine %s %s\n\nExample:\n  %s\n\nFlags:\n", cmd.summary, cmd.name, cmd.args, cmd.example)
		fs.PrintDefaults()
	}
	if cmd.args != "" && (len(args) == 0 || !strings.HasPrefix(args[0], "-")) {
		if len(args) == 0 {
			return order, fmt.Errorf("requires %s; run with -h for an example", cmd.args)
		}
		if order.Release, err = hex.DecodeString(args[0]); err != nil || len(order.Release) == 0 {
			return order, fmt.Errorf("%q is not a key: keys are hexadecimal, as in logs and in quarantine list", args[0])
		}
		args = args[1:]
	}
	if err := fs.Parse(args); err != nil {
		return order, err
	}
	if fs.NArg() > 0 {
		return order, fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	if cmd.args != "" && order.Release == nil {
		return order, fmt.Errorf("requires %s before the flags", cmd.args)
	}
	return order, f.readKey()
}

// condemnedJSON is the JSON form of a condemned request or set of prompt parts.
type condemnedJSON struct {
	Key     string   `json:"key"`
	Account string   `json:"account"`
	Pool    string   `json:"pool"`
	Servers []string `json:"servers"`
	Parts   []string `json:"parts,omitempty"`
	Model   string   `json:"model,omitempty"`
}

func printCondemned(w io.Writer, asJSON bool, condemned []protocol.CondemnedRequest) {
	if asJSON {
		all := []condemnedJSON{}
		for _, c := range condemned {
			all = append(all, condemnedJSON{Key: hex.EncodeToString(c.Key), Account: c.Account, Pool: c.Pool, Servers: c.Servers, Parts: c.Parts, Model: c.Model})
		}
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		// A failed write to standard output cannot be reported anywhere.
		_ = out.Encode(all)
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "KEY\tACCOUNT\tPOOL\tENDED UNDER IT\tPROMPT PARTS\n")
	for _, c := range condemned {
		fmt.Fprintf(t, "%x\t%s\t%s\t%s\t%s\n", c.Key, c.Account, c.Pool, strings.Join(c.Servers, " "), strings.Join(c.Parts, " "))
	}
}
