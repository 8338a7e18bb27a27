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

// This file defines the rollout commands.

// Times of a rollout command.
const (
	// rolloutTimeout bounds all attempts of one command together. Within rollout.MinWindow,
	// replicas are certain to recognize a repeated order as a copy, so that no repeat starts a
	// second rollout.
	rolloutTimeout = rollout.MinWindow
	// defaultWithin is the duration of an order without -within.
	defaultWithin = 10 * time.Minute
)

// rolloutCommand is one of the rollout commands.
type rolloutCommand struct {
	act     protocol.OrderAction
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
		protocol.OrderAbort, []string{"POOL"}, "roll back the rollout under way",
		"badgerspoke rollout abort llm -fleet 10.0.0.3:7400 -fleet-key-file fleet.key",
	},
}

// rolloutInput holds the flags and the order of a rollout command.
type rolloutInput struct {
	fleetFlags
	order protocol.RolloutOrder
}

// runRollout runs a rollout command and returns the exit code.
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
	answer, err := executeRolloutOrder(ctx, in)
	if err != nil {
		fmt.Fprintf(stderr, "badgerspoke rollout %s: %v\n", args[0], err)
		if errors.As(err, new(link.WrongKey)) {
			return ExitRefused
		}
		return ExitUnavailable
	}
	if answer.Outcome != protocol.OrderDone {
		fmt.Fprintf(stderr, "badgerspoke rollout %s: %s\n", args[0], answer.Reason)
		return orderExitCode(answer.Outcome)
	}
	printRollout(stdout, in, answer.Newest)
	return ExitOK
}

// parseRollout parses the positional arguments, which come first, and the flags.
func parseRollout(cmd rolloutCommand, name string, args []string, getenv func(string) string, stderr io.Writer) (*rolloutInput, error) {
	in := &rolloutInput{order: protocol.RolloutOrder{Action: cmd.act}}
	fs := flag.NewFlagSet("badgerspoke rollout "+name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	in.define(fs, getenv)
	if cmd.act == protocol.OrderStart {
		fs.DurationVar(&in.order.Duration, "within", defaultWithin, "time limit, from the order, for moving all requests to the version")
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
		return nil, fmt.Errorf("requires %s; run with -h for an example", strings.Join(cmd.args, " "))
	}
	if err := fs.Parse(args[len(cmd.args):]); err != nil {
		return nil, err
	}
	if fs.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q; flags must follow %s", fs.Arg(0), strings.Join(cmd.args, " "))
	}
	in.order.Pool = args[0]
	if len(cmd.args) > 1 {
		in.order.Target = args[1]
	}
	return in, in.readKey()
}

// executeRolloutOrder sends the order of a command until it is answered. An abort names the
// attempt that is the newest now, so that a delayed copy of the order cannot abort a later
// attempt.
func executeRolloutOrder(ctx context.Context, in *rolloutInput) (protocol.RolloutAnswer, error) {
	if in.order.Action != protocol.OrderAbort {
		return sendRolloutOrder(ctx, in)
	}
	status, abort := *in, *in
	status.order = protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: in.order.Pool}
	answer, err := sendRolloutOrder(ctx, &status)
	if err != nil || answer.Outcome != protocol.OrderDone {
		return answer, err
	}
	if answer.Newest == nil {
		return answer, errors.New("the answer lacks the newest attempt")
	}
	abort.order.Attempt = answer.Newest.Attempt
	return sendRolloutOrder(ctx, &abort)
}

// sendRolloutOrder sends a rollout order until it is answered.
func sendRolloutOrder(ctx context.Context, in *rolloutInput) (protocol.RolloutAnswer, error) {
	return sendOrder(ctx, &in.fleetFlags, in.order, func(a protocol.RolloutAnswer) (protocol.OrderOutcome, string) { return a.Outcome, a.Leader })
}

// rolloutStateNames are the printed names of the rollout states.
var rolloutStateNames = map[document.RolloutState]string{
	document.RolloutUnderWay: "under way", document.RolloutComplete: "complete", document.RolloutRolledBack: "rolled back",
}

// rolloutJSON is the JSON form of a pool's newest rollout.
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

// printRollout prints the newest rollout of a pool after a successful order.
func printRollout(w io.Writer, in *rolloutInput, r *protocol.RolloutStatus) {
	if r == nil {
		fmt.Fprintln(w, "done; the state of the rollout is not available")
		return
	}
	state := rolloutStateNames[document.RolloutState(r.State)]
	if in.json {
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		// A failed write to standard output cannot be reported anywhere.
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
		r.Elapsed.Round(time.Second), r.Duration, joinOrNone(r.Barred), joinOrNone(r.Replaced))
}

func joinOrNone(versions []string) string {
	if len(versions) == 0 {
		return "none"
	}
	return strings.Join(versions, " ")
}
