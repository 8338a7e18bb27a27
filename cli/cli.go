// SPDX-License-Identifier: Apache-2.0

// Package cli implements the operators' command line. It parses one command, calls the
// operators' interface and prints the answer as a table or as JSON.
//
// A command is a row of a table ([commands]) with its arguments, its flags and the function
// that calls the fleet. Each change has a random identifier, under which it is resent until the
// fleet answers, so that a lost answer neither loses nor duplicates a change. A replica that
// does not lead names the leader, and the call is repeated there.
//
// The package holds no state beyond one call and has no locks and no goroutines. It depends on
// the operators' schema (protocol/operator/v1), on package decision for explain, and on fleet
// links for rollout and quarantine commands, which go to the directory.
package cli

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
	"github.com/badgerspoke/badgerspoke/settings"
)

// This file defines Run and the code that all commands share. The commands are in commands.go,
// the tables in table.go.

// Exit codes. Scripts rely on the numbers.
const (
	ExitOK          = 0 // done
	ExitRefused     = 1 // the fleet refused the call, or explain found nothing
	ExitUsage       = 2 // wrong command, argument or flag
	ExitUnavailable = 3 // no leader, no answer, or an unknown outcome: try again
	ExitConflict    = 4 // another change based on the same revision was applied first
)

// Defaults of the calls to the fleet.
const (
	defaultServer  = "127.0.0.1:8081"       // the default of badgerspoked's -listen-operators
	commandTimeout = 10 * time.Second       // for all calls of one command together
	retryPause     = 200 * time.Millisecond // between two calls of one command
)

// command is an entry of the command table.
type command struct {
	name    string   // one or two words, such as "account create"
	args    []string // positional arguments, as printed in usage
	example string
	summary string // for usage
	flags   func(fs *flag.FlagSet, in *input)
	run     func(ctx context.Context, c fleetClient, in *input) (proto.Message, error)
}

// input holds the arguments and flags of a command.
type input struct {
	args   []string
	change *operatorv1.Change
	server string
	token  string
	caFile string

	authority   *x509.CertPool // nil without -tls-ca-file
	json        bool
	share       float64
	limits      operatorv1.Limits
	address     string
	pool        string
	kind        string
	mark        string
	slots       uint
	models      string
	adapters    string
	version     string
	neverRepeat string
	checksFence bool
	keepOld     bool
	set         map[string]bool // names of the flags given on the command line
}

// Run runs one command and returns the exit code.
func Run(ctx context.Context, args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "explain" {
		return explainRequest(args[1:], stdout, stderr)
	}
	if len(args) > 0 && args[0] == "rollout" {
		return runRollout(ctx, args[1:], getenv, stdout, stderr)
	}
	if len(args) > 0 && args[0] == "quarantine" {
		return runQuarantine(ctx, args[1:], getenv, stdout, stderr)
	}
	cmd, rest := findCommand(args)
	if cmd == nil {
		usage(stderr)
		if len(args) == 1 && (args[0] == "-h" || args[0] == "help") {
			return ExitOK
		}
		return ExitUsage
	}
	in, err := parse(cmd, rest, getenv, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		fmt.Fprintf(stderr, "badgerspoke %s: %v\n", cmd.name, err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answer, err := callLeader(ctx, cmd, in)
	if err != nil {
		fmt.Fprintf(stderr, "badgerspoke %s: %s\n", cmd.name, formatError(err))
		return exitCode(err)
	}
	if in.json {
		fmt.Fprintln(stdout, protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Format(answer))
		return ExitOK
	}
	printAnswer(stdout, answer)
	return ExitOK
}

func findCommand(args []string) (*command, []string) {
	for i := range commands {
		words := strings.Fields(commands[i].name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == commands[i].name {
			return &commands[i], args[len(words):]
		}
	}
	return nil, nil
}

// parse parses the positional arguments, which come first, and the flags.
func parse(cmd *command, args []string, getenv func(string) string, stderr io.Writer) (*input, error) {
	in := &input{set: map[string]bool{}}
	fs := flag.NewFlagSet("badgerspoke "+cmd.name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&in.server, "server", cmp.Or(getenv(settings.EnvPrefix+"SERVER"), defaultServer), "operators' address of any control box")
	fs.StringVar(&in.token, "token", getenv(settings.EnvPrefix+"TOKEN"), "operators' token, or @FILE")
	fs.StringVar(&in.caFile, "tls-ca-file", getenv(settings.EnvName("tls-ca-file")), "certificate of the authority that signs the boxes' certificates, PEM; calls then use TLS")
	fs.BoolVar(&in.json, "json", false, "print the answer as JSON")
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s\n\n  badgerspoke %s %s\n\nExample:\n  %s\n\nFlags:\n", cmd.summary, cmd.name, strings.Join(cmd.args, " "), cmd.example)
		fs.PrintDefaults()
	}
	in.change = &operatorv1.Change{Id: newChangeID()}
	if cmd.flags != nil {
		cmd.flags(fs, in)
	}
	if len(args) > 0 && (args[0] == "-h" || args[0] == "-help" || args[0] == "--help") {
		fs.Usage()
		return nil, flag.ErrHelp
	}
	if len(args) < len(cmd.args) {
		return nil, fmt.Errorf("requires %s; run with -h for an example", strings.Join(cmd.args, " "))
	}
	in.args = args[:len(cmd.args)]
	if err := fs.Parse(args[len(cmd.args):]); err != nil {
		return nil, err
	}
	if fs.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q; flags must follow %s", fs.Arg(0), strings.Join(cmd.args, " "))
	}
	fs.Visit(func(f *flag.Flag) { in.set[f.Name] = true })
	if err := in.readAuthority(); err != nil {
		return nil, err
	}
	return in, in.readToken()
}

// readAuthority reads the file of -tls-ca-file.
func (in *input) readAuthority() error {
	if in.caFile == "" {
		return nil
	}
	b, err := os.ReadFile(in.caFile)
	if err != nil {
		return err
	}
	in.authority = x509.NewCertPool()
	if !in.authority.AppendCertsFromPEM(b) {
		return fmt.Errorf("%s contains no certificate", in.caFile)
	}
	return nil
}

// readToken reads the token from a file if it is given as @FILE.
func (in *input) readToken() error {
	path, isFile := strings.CutPrefix(in.token, "@")
	if !isFile {
		return nil
	}
	b, err := os.ReadFile(path)
	in.token = strings.TrimSpace(string(b))
	return err
}

// callLeader runs the command at the given box or at the leader that it names, and repeats it
// while there is no leader or an answer was lost.
func callLeader(ctx context.Context, cmd *command, in *input) (proto.Message, error) {
	server := in.server
	for {
		answer, err := cmd.run(ctx, newClient(server, in), in)
		if err == nil || !isRetryable(err) {
			return answer, err
		}
		server = in.server
		if l, ok := errorDetail[*operatorv1.NotLeader](err); ok && l.GetOperatorsAddress() != "" {
			server = l.GetOperatorsAddress()
		}
		if !sleep.For(ctx, retryPause) {
			return nil, err
		}
	}
}

// isRetryable reports whether the same call may succeed if it is repeated. Repeating is safe
// because changes carry an identifier.
func isRetryable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

func newClient(server string, in *input) fleetClient {
	scheme, httpClient := "http://", http.DefaultClient
	if in.authority != nil {
		scheme = "https://"
		httpClient = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: in.authority, MinVersion: tls.VersionTLS13}}}
	}
	return operatorv1connect.NewOperatorServiceClient(httpClient, scheme+server, connect.WithInterceptors(Authorize(in.token)))
}

// Authorize returns an interceptor that adds the operators' token to every call.
func Authorize(token string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	})
}

func exitCode(err error) int {
	switch {
	case isRetryable(err):
		return ExitUnavailable
	case connect.CodeOf(err) == connect.CodeAborted:
		return ExitConflict
	}
	return ExitRefused
}

// formatError formats an error with the details that an operator needs to act on it.
func formatError(err error) string {
	if bad, ok := errorDetail[*operatorv1.Invalid](err); ok {
		lines := []string{"refused:"}
		for _, m := range bad.GetMistakes() {
			lines = append(lines, fmt.Sprintf("  %s: %s %s", m.GetSubject(), m.GetField(), m.GetReason()))
		}
		return strings.Join(lines, "\n")
	}
	if c, ok := errorDetail[*operatorv1.Conflict](err); ok {
		return fmt.Sprintf("conflict: change %q created revision %d (it changed %s); the current revision is %d",
			c.GetWinnerId(), c.GetBaseRevision()+1, strings.Join(c.GetWinnerSubjects(), ", "), c.GetCurrentRevision())
	}
	if u, ok := errorDetail[*operatorv1.Undecided](err); ok {
		return fmt.Sprintf("the outcome is unknown; run the command again with -change-id %q", u.GetChangeId())
	}
	return err.Error()
}

// errorDetail returns the detail of type T in an error, if there is one.
func errorDetail[T proto.Message](err error) (T, bool) {
	var ce *connect.Error
	if errors.As(err, &ce) {
		for _, d := range ce.Details() {
			if v, err := d.Value(); err == nil {
				if typed, ok := v.(T); ok {
					return typed, true
				}
			}
		}
	}
	var none T
	return none, false
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "badgerspoke manages a router fleet.")
	fmt.Fprintln(w)
	for _, c := range commands {
		fmt.Fprintf(w, "  badgerspoke %-40s %s\n", strings.TrimSpace(c.name+" "+strings.Join(c.args, " ")), c.summary)
	}
	for _, name := range slices.Sorted(maps.Keys(rolloutCommands)) {
		c := rolloutCommands[name]
		fmt.Fprintf(w, "  badgerspoke %-40s %s\n", "rollout "+name+" "+strings.Join(c.args, " "), c.summary)
	}
	for _, c := range quarantineCommands {
		fmt.Fprintf(w, "  badgerspoke %-40s %s\n", strings.TrimSpace("quarantine "+c.name+" "+c.args), c.summary)
	}
	fmt.Fprintf(w, "  badgerspoke %-40s %s\n", "explain ID [FILE ...]", "print the history of a request from logs")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "Every command but explain, rollout and quarantine takes -h, -json, -server IP:PORT and -token TOKEN or @FILE; the")
	fmt.Fprintf(w, "last two may come from %sSERVER and %sTOKEN. rollout and quarantine take -h, -json, -fleet IP:PORT and\n", settings.EnvPrefix, settings.EnvPrefix)
	fmt.Fprintf(w, "-fleet-key-file FILE, or %s and %s. Exit codes: 0 done, 1 refused, 2 wrong\n", settings.EnvName("fleet"), settings.EnvName("fleet-key-file"))
	fmt.Fprintln(w, "usage, 3 no leader or no answer, 4 conflict with another change.")
}
