// SPDX-License-Identifier: Apache-2.0

// Package settings reads the daemon's settings from flags and environment
// variables and checks them all at once.
//
// The model: every flag -some-name has an environment variable
// BADGERSPOKE_SOME_NAME; a flag given on the command line goes before the
// variable, the variable before the default. [Parse] lists every mistake in
// [Invalid]; only a malformed flag on the command line ends it at once. Secrets
// come from files only, so that they appear neither in a process list nor in an
// environment.
//
// The package owns nothing after Parse, relies on state/config for what a valid name
// is, and has no locks.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines Daemon, the settings of badgerspoked, and Parse.

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "BADGERSPOKE_"

// Daemon is the checked settings of one box.
type Daemon struct {
	Roles             []string // Router, Control, or both
	Name              string
	Hall              string
	ListenCallers     string // IP:PORT, as the next two
	ListenOperators   string
	ListenFleet       string
	Control           map[string]string // control replicas: name → fleet address
	DataDir           string
	FleetKey          []byte
	TLS               *TLS // nil without certificates
	OperatorToken     string
	Lease             time.Duration // of a router, from the sending of its renewal
	Wait              time.Duration // longest wait of a request for its turn
	Grace             time.Duration // for which a stopping router still takes requests
	StopTimeout       time.Duration // for running requests to end after a stop
	ControlBudget     float64       // bytes a second on one link in one direction
	Overcommit        float64       // part of an engine's slots that is granted beyond them
	StopWithoutLeader bool          // a router stops without a leader, whatever a majority reports
	LogLevel          string
	LogFormat         string
	Dev               bool
	Version           bool
	Check             bool
}

// Has reports whether the box has a role.
func (d Daemon) Has(role string) bool { return slices.Contains(d.Roles, role) }

// The roles of a box.
const (
	Router  = "router"
	Control = "control"
)

// Bounds of settings.
const (
	MinFleetKey      = 16                     // bytes of the fleet key
	minLease         = 500 * time.Millisecond // of a router, which renews six times in a lease
	maxLease         = 8 * time.Second        // with the margin still below the 9 s of docs/CAPACITY.md
	minControlBudget = 500                    // bytes a second
)

// Invalid lists everything wrong with the settings.
type Invalid struct{ Mistakes []string }

// Error lists the mistakes, one a line.
func (e Invalid) Error() string {
	return "invalid settings:\n  " + strings.Join(e.Mistakes, "\n  ")
}

// raw holds the values of the flags before they are checked.
type raw struct {
	d                           Daemon
	role, control, noLeader     string
	fleetKeyFile, operatorsFile string
	tlsCert, tlsKey, tlsCA      string
}

// Parse reads args and the environment. It returns [flag.ErrHelp] for -h, the flag
// package's error for a malformed flag, and [Invalid] for all else that is wrong.
// Usage is written to usage.
func Parse(args []string, getenv func(string) string, usage io.Writer) (Daemon, error) {
	var r raw
	fs := r.flags(usage)
	var found []string
	fs.VisitAll(func(f *flag.Flag) {
		if v := getenv(EnvName(f.Name)); v != "" {
			if err := f.Value.Set(v); err != nil {
				found = append(found, fmt.Sprintf("%s: %v", EnvName(f.Name), err))
			}
		}
	})
	if err := fs.Parse(args); err != nil {
		return Daemon{}, err
	}
	if fs.NArg() > 0 {
		found = append(found, fmt.Sprintf("unexpected argument %q", fs.Arg(0)))
	}
	found = append(found, r.check()...)
	if len(found) > 0 && !r.d.Version {
		return r.d, Invalid{Mistakes: found}
	}
	return r.d, nil
}

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// flags returns the flags that fill r. The defaults of -lease and -control-budget are
// slots.DefaultLease and slots.DefaultPace, that of -overcommit is measured in docs/design/fair-
// sharing.md.
func (r *raw) flags(usage io.Writer) *flag.FlagSet {
	d := &r.d
	fs := flag.NewFlagSet("badgerspoked", flag.ContinueOnError)
	fs.SetOutput(usage)
	fs.StringVar(&r.role, "role", "router,control", "roles of this box: router, control, or both")
	fs.StringVar(&d.Name, "name", "", "name of this box, unique in the fleet")
	fs.StringVar(&d.Hall, "hall", "", "data hall of this box")
	fs.StringVar(&d.ListenCallers, "listen-callers", "127.0.0.1:8080", "callers' address (role router)")
	fs.StringVar(&d.ListenOperators, "listen-operators", "127.0.0.1:8081", "operators' and metrics address")
	fs.StringVar(&d.ListenFleet, "listen-fleet", "127.0.0.1:8082", "address for other boxes (role control)")
	fs.StringVar(&r.control, "control", "", "fleet addresses of all control replicas: NAME=IP:PORT,…")
	fs.StringVar(&d.DataDir, "data-dir", "", "data folder (role control)")
	fs.StringVar(&r.fleetKeyFile, "fleet-key-file", "", "file with the key that all boxes share")
	fs.StringVar(&r.operatorsFile, "operator-token-file", "", "file with the operators' token (role control)")
	fs.StringVar(&r.tlsCert, "tls-cert-file", "", "this box's certificate, PEM; callers, operators and boxes then speak TLS only")
	fs.StringVar(&r.tlsKey, "tls-key-file", "", "its private key, PEM")
	fs.StringVar(&r.tlsCA, "tls-ca-file", "", "the authority that signs all boxes' certificates, PEM")
	fs.DurationVar(&d.Lease, "lease", 3*time.Second, "how long a router may act without hearing from control; equal on all boxes")
	fs.DurationVar(&d.Wait, "wait", time.Minute, "longest wait of a request for its turn")
	fs.DurationVar(&d.Grace, "grace", 2*time.Second, "how long a stopping router still takes requests")
	fs.DurationVar(&d.StopTimeout, "stop-timeout", 10*time.Minute, "longest time for running requests to end after a stop")
	fs.Float64Var(&d.ControlBudget, "control-budget", 2000, "bytes a second of control traffic on one link in one direction")
	fs.Float64Var(&d.Overcommit, "overcommit", 0.125, "part of an engine's slots that is granted beyond them, to wait in its own queue (role control)")
	fs.StringVar(&r.noLeader, "without-leader", "continue", "continue or stop: what a router does when a majority of control replicas has no leader")
	fs.StringVar(&d.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&d.LogFormat, "log-format", "text", "text or json")
	fs.BoolVar(&d.Dev, "dev", false, "a whole fleet in one process, with stand-in backend servers and the key \"dev\"")
	fs.BoolVar(&d.Version, "version", false, "print the version and exit")
	fs.BoolVar(&d.Check, "check", false, "check the settings and exit")
	return fs
}

// check fills what follows from the raw values and returns every mistake.
func (r *raw) check() []string {
	var c checks
	d := &r.d
	d.Roles = strings.Split(r.role, ",")
	for _, role := range d.Roles {
		c.that(role == Router || role == Control, "-role: %q is neither router nor control", role)
	}
	c.address("-listen-operators", d.ListenOperators)
	if d.Has(Router) {
		c.address("-listen-callers", d.ListenCallers)
	}
	if d.Has(Control) {
		c.address("-listen-fleet", d.ListenFleet)
	}
	c.that(d.Lease >= minLease && d.Lease <= maxLease, "-lease: must be between 500ms and 8s")
	c.that(d.Wait > 0, "-wait: must be positive")
	c.that(d.Grace >= 0, "-grace: must not be negative")
	c.that(d.StopTimeout > 0, "-stop-timeout: must be positive")
	c.that(d.ControlBudget >= minControlBudget, "-control-budget: must be at least 500 bytes a second")
	c.that(d.Overcommit >= 0 && d.Overcommit <= 1, "-overcommit: must be between 0 and 1")
	c.oneOf("-log-level", d.LogLevel, "debug", "info", "warn", "error")
	c.oneOf("-log-format", d.LogFormat, "text", "json")
	c.oneOf("-without-leader", r.noLeader, "continue", "stop")
	d.StopWithoutLeader = r.noLeader == "stop"
	d.TLS = c.tls(r.tlsCert, r.tlsKey, r.tlsCA)
	if d.Dev {
		c.that(r.operatorsFile == "" && r.fleetKeyFile == "",
			"-dev: has its own token and key; -operator-token-file and -fleet-key-file can't be used with it")
		return c.found
	}
	r.checkFleet(&c)
	return c.found
}

// checkFleet checks the settings that -dev replaces by its own.
func (r *raw) checkFleet(c *checks) {
	d := &r.d
	c.that(config.ValidName(d.Name), "-name: must be 1 to 63 letters, digits, dots, dashes or underscores")
	d.Control = c.replicas(r.control)
	d.FleetKey = c.secret("-fleet-key-file", r.fleetKeyFile)
	c.that(len(d.FleetKey) == 0 || len(d.FleetKey) >= MinFleetKey, "-fleet-key-file: the key is shorter than %d bytes", MinFleetKey)
	if !d.Has(Control) {
		return
	}
	d.OperatorToken = string(c.secret("-operator-token-file", r.operatorsFile))
	c.that(d.DataDir != "", "-data-dir: is missing")
	_, listed := d.Control[d.Name]
	c.that(listed, "-control: does not list this box, %q, which has the role control", d.Name)
}

// checks collects mistakes.
type checks struct{ found []string }

func (c *checks) that(ok bool, format string, args ...any) {
	if !ok {
		c.found = append(c.found, fmt.Sprintf(format, args...))
	}
}

func (c *checks) address(flagName, v string) {
	_, err := netip.ParseAddrPort(v)
	c.that(err == nil, "%s: must be IP:PORT, not %q", flagName, v)
}

func (c *checks) oneOf(flagName, v string, allowed ...string) {
	c.that(slices.Contains(allowed, v), "%s: must be one of %s, not %q", flagName, strings.Join(allowed, ", "), v)
}

func (c *checks) replicas(v string) map[string]string {
	out := map[string]string{}
	if v == "" {
		c.that(false, "-control: is missing")
		return out
	}
	for _, part := range strings.Split(v, ",") {
		name, address, ok := strings.Cut(part, "=")
		c.that(ok && config.ValidName(name), "-control: %q is not NAME=IP:PORT", part)
		c.address("-control", address)
		_, twice := out[name]
		c.that(!twice, "-control: lists %q twice", name)
		out[name] = address
	}
	return out
}

// secret reads a file that holds one secret, without the white space around
// it.
func (c *checks) secret(flagName, path string) []byte {
	if path == "" {
		c.that(false, "%s: is missing", flagName)
		return nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		c.that(false, "%s: %v", flagName, err)
		return nil
	}
	s := strings.TrimSpace(string(b))
	c.that(s != "", "%s: the file is empty", flagName)
	return []byte(s)
}
