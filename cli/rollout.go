// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines the commands about rollouts.

// Times of a command about a rollout.
const (
	// rolloutTimeout bounds all tries of one command together: for as long replicas surely
	// take a repeated order for a copy, so that no repeat begins a second attempt.
	rolloutTimeout = rollout.MinWindow
	// defaultWithin is the time of an order that names none.
	defaultWithin = 10 * time.Minute
)

// rolloutCommand is one command about rollouts.
type rolloutCommand struct {
	act     protocol.OrderAct
	args    []string
	summary string
	example string
}

var rolloutCommands = map[string]rolloutCommand{
	"start": {
		protocol.OrderStart, []string{"POOL", "VERSION"}, "move a pool's requests to a version of its backend servers",
		"badgerspoke rollout start llm v8 -within 20m -fleet 10.0.0.3:7400 -fleet-key-file fleet.key",
	},
	"status": {
		protocol.OrderStatus, []string{"POOL"}, "show the newest rollout of a pool",
		"badgerspoke rollout status llm -fleet 10.0.0.3:7400 -fleet-key-file fleet.key",
	},
	"abort": {
		protocol.OrderAbort, []string{"POOL"}, "end the rollout under way as rolled back",
		"badgerspoke rollout abort llm -fleet 10.0.0.3:7400 -fleet-key-file fleet.key",
	},
}

// rolloutInput is the flags of a command about a rollout.
type rolloutInput struct {
	fleetFlags
	order protocol.RolloutOrder
}

// runRollout runs a command about a rollout and returns the exit code.
func runRollout(ctx context.Context, args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	var cmd rolloutCommand
	known := false
	if len(args) > 0 {
		cmd, known = rolloutCommands[args[0]]
	}
	if !known {
		usage(stderr)
		return ExitUsage
	}
	in, err := parseRollout(cmd, args[0], args[1:], getenv, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		fmt.Fprintf(stderr, "badgerspoke rollout %s: %v\n", args[0], err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	answer, err := carryOut(ctx, in)
	if err != nil {
		fmt.Fprintf(stderr, "badgerspoke rollout %s: %v\n", args[0], err)
		if errors.As(err, new(link.WrongKey)) {
			return ExitRefused
		}
		return ExitUnavailable
	}
	if answer.Outcome != protocol.OrderDone {
		fmt.Fprintf(stderr, "badgerspoke rollout %s: %s\n", args[0], answer.Reason)
		return orderExit(answer.Outcome)
	}
	printRollout(stdout, in, answer.Newest)
	return ExitOK
}

// parseRollout takes the positional arguments first and the flags behind them.
func parseRollout(cmd rolloutCommand, name string, args []string, getenv func(string) string, stderr io.Writer) (*rolloutInput, error) {
	in := &rolloutInput{order: protocol.RolloutOrder{Act: cmd.act}}
	fs := flag.NewFlagSet("badgerspoke rollout "+name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	in.define(fs, getenv)
	if cmd.act == protocol.OrderStart {
		fs.DurationVar(&in.order.Duration, "within", defaultWithin, "from the order until the version is to have all requests")
	}
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s\n\n  badgerspoke rollout %s %s\n\nExample:\n  %s\n\nFlags:\n", cmd.summary, name, strings.Join(cmd.args, " "), cmd.example)
		fs.PrintDefaults()
	}
	if len(args) > 0 && (args[0] == "-h" || args[0] == "-help" || args[0] == "--help") {
		fs.Usage()
		return nil, flag.ErrHelp
	}
	if len(args) < len(cmd.args) {
		return nil, fmt.Errorf("wants %s; -h shows an example", strings.Join(cmd.args, " "))
	}
	if err := fs.Parse(args[len(cmd.args):]); err != nil {
		return nil, err
	}
	if fs.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q; flags come behind %s", fs.Arg(0), strings.Join(cmd.args, " "))
	}
	in.order.Pool = args[0]
	if len(cmd.args) > 1 {
		in.order.Target = args[1]
	}
	return in, in.readKey()
}

// carryOut sends an order until it is answered. An abort is of the attempt that is the newest
// now: a copy of it that comes late must not end the next one.
func carryOut(ctx context.Context, in *rolloutInput) (protocol.RolloutAnswer, error) {
	if in.order.Act != protocol.OrderAbort {
		return order(ctx, in)
	}
	status, abort := *in, *in
	status.order = protocol.RolloutOrder{Act: protocol.OrderStatus, Pool: in.order.Pool}
	answer, err := order(ctx, &status)
	if err != nil || answer.Outcome != protocol.OrderDone {
		return answer, err
	}
	if answer.Newest == nil {
		return answer, errors.New("the answer does not say which attempt is the newest")
	}
	abort.order.Attempt = answer.Newest.Attempt
	return order(ctx, &abort)
}

// order sends an order about a rollout until it is answered.
func order(ctx context.Context, in *rolloutInput) (protocol.RolloutAnswer, error) {
	return ask(ctx, &in.fleetFlags, in.order, func(a protocol.RolloutAnswer) (protocol.OrderOutcome, string) { return a.Outcome, a.Leader })
}

// rolloutWords are the states as they are printed.
var rolloutWords = map[document.RolloutState]string{
	document.RolloutUnderWay: "under way", document.RolloutComplete: "complete", document.RolloutRolledBack: "rolled back",
}

// rolloutJSON is the answer as JSON.
type rolloutJSON struct {
	Pool           string   `json:"pool"`
	Target         string   `json:"target"`
	State          string   `json:"state"`
	Attempt        uint64   `json:"attempt"`
	WithinSeconds  float64  `json:"withinSeconds"`
	ElapsedSeconds float64  `json:"elapsedSeconds"`
	RolledBack     []string `json:"rolledBack"`
	Replaced       []string `json:"replaced"`
}

// printRollout prints the newest rollout of a pool after an order that was done.
func printRollout(w io.Writer, in *rolloutInput, r *protocol.RolloutStatus) {
	if r == nil {
		fmt.Fprintln(w, "done; what became of it can't be read now")
		return
	}
	state := rolloutWords[document.RolloutState(r.State)]
	if in.json {
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		// Standard output that takes nothing has nobody to be told.
		_ = out.Encode(rolloutJSON{
			Pool: in.order.Pool, Target: r.Target, State: state, Attempt: r.Attempt, WithinSeconds: r.Duration.Seconds(),
			ElapsedSeconds: r.Elapsed.Seconds(), RolledBack: r.Barred, Replaced: r.Replaced,
		})
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "POOL\tVERSION\tSTATE\tATTEMPT\tELAPSED\tWITHIN\tROLLED BACK\tREPLACED\n")
	fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%v\t%s\t%s\n", in.order.Pool, r.Target, state, r.Attempt,
		r.Elapsed.Round(time.Second), r.Duration, orNone(r.Barred), orNone(r.Replaced))
}

func orNone(versions []string) string {
	if len(versions) == 0 {
		return "none"
	}
	return strings.Join(versions, " ")
}
