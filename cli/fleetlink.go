// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/settings"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines the commands' connection to a directory replica: a fleet link with the
// fleet key, instead of a call with a token to a control replica.

// operatorName identifies the operator's side of a fleet link.
const operatorName = "operator"

// orderAttemptTimeout bounds one attempt, from the dial to the answer, so that an unreachable
// replica leaves time to try another. A replica answers within 2 s.
const orderAttemptTimeout = 2500 * time.Millisecond

// fleetFlags holds the flags of a command that goes to the directory.
type fleetFlags struct {
	fleet   string // fleet address of any directory replica
	keyFile string
	key     []byte
	json    bool
}

// define adds the flags to fs.
func (f *fleetFlags) define(fs *flag.FlagSet, getenv func(string) string) {
	fs.StringVar(&f.fleet, "fleet", getenv(settings.EnvName("fleet")), "fleet address of any directory replica: IP:PORT")
	fs.StringVar(&f.keyFile, "fleet-key-file", getenv(settings.EnvName("fleet-key-file")), "file with the key that all boxes share")
	fs.BoolVar(&f.json, "json", false, "print the answer as JSON")
}

// readKey reads the fleet key from its file.
func (f *fleetFlags) readKey() error {
	if f.fleet == "" || f.keyFile == "" {
		return errors.New("requires -fleet IP:PORT and -fleet-key-file FILE")
	}
	b, err := os.ReadFile(f.keyFile)
	f.key = bytes.TrimSpace(b)
	return err
}

// sendOrder sends an order to the given replica or to the leader that it names, and repeats it
// while there is no leader or an answer was lost. outcome extracts from an answer the order's
// outcome and the leader's address. If no attempt got an answer, sendOrder returns the error of
// the last one.
func sendOrder[A protocol.Message](ctx context.Context, f *fleetFlags, order protocol.Message, outcome func(A) (protocol.OrderOutcome, string)) (A, error) {
	replica := f.fleet
	var last A
	var answered bool
	for {
		answer, err := sendOrderTo[A](ctx, replica, f.key, order)
		if errors.As(err, new(link.WrongKey)) {
			return answer, err
		}
		replica = f.fleet
		if err == nil {
			result, leader := outcome(answer)
			if result != protocol.OrderNotLeader && result != protocol.OrderUnknown {
				return answer, nil
			}
			last, answered = answer, true
			if result == protocol.OrderNotLeader && leader != "" {
				replica = leader
			}
		}
		if sleep.For(ctx, retryPause) {
			continue
		}
		if answered {
			return last, nil
		}
		return last, err
	}
}

// sendOrderTo sends an order to one replica and waits for its answer.
func sendOrderTo[A protocol.Message](ctx context.Context, replica string, key []byte, order protocol.Message) (answer A, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	l, err := link.Dial(ctx, replica, link.Identity{Name: operatorName, Key: key}, nil)
	if err != nil {
		return answer, err
	}
	defer l.Close()
	if err := l.Send(ctx, order); err != nil {
		return answer, err
	}
	m, err := l.Receive(ctx)
	if err != nil {
		return answer, err
	}
	answer, ok := m.(A)
	if !ok {
		return answer, fmt.Errorf("unexpected kind of answer from %s", replica)
	}
	return answer, nil
}

// orderExitCode returns the exit code for an order that was not carried out.
func orderExitCode(o protocol.OrderOutcome) int {
	switch o {
	case protocol.OrderConflict:
		return ExitConflict
	case protocol.OrderNotLeader, protocol.OrderUnknown:
		return ExitUnavailable
	}
	return ExitRefused
}
