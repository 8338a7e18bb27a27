// SPDX-License-Identifier: Apache-2.0

// Package settings reads the daemon's settings from flags and environment variables and
// validates them together.
//
// Every flag -some-name has an environment variable BADGERSPOKE_SOME_NAME. A flag on the
// command line takes precedence over the variable, and the variable over the default. [Parse]
// reports all mistakes in one [Invalid]; only a malformed flag on the command line ends parsing
// early. Secrets are read from files only, so that they appear neither in a process list nor in
// an environment.
//
// The package keeps no state after Parse and has no locks. Package state/config defines which
// names are valid.
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

// EnvPrefix is the prefix of every environment variable.
const EnvPrefix = "BADGERSPOKE_"

// Daemon holds the validated settings of one box.
type Daemon struct {
	Roles             []string // Router, Control, or both
	Name              string
	Hall              string
	ListenCallers     string // IP:PORT, like the next two
	ListenOperators   string
	ListenFleet       string
	Control           map[string]string // control replicas: name → fleet address
	DataDir           string
	FleetKey          []byte
	TLS               *TLS // nil without certificates
	OperatorToken     string
	Lease             time.Duration // duration of a router's lease, from the time it sends a renewal
	Wait              time.Duration // longest wait of a request in the queue
	Grace             time.Duration // time for which a stopping router accepts new requests
	StopTimeout       time.Duration // time limit for running requests to end after a stop
	ControlBudget     float64       // bytes per second on one link in one direction
	Overcommit        float64       // fraction of an engine's slots granted beyond its capacity
	StopWithoutLeader bool          // a router without a leader stops, even if a majority of replicas reports that there is none
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
	minLease         = 500 * time.Millisecond // a router renews its lease six times in this time
	maxLease         = 8 * time.Second        // with the margin, below the 9 s of docs/CAPACITY.md
	minControlBudget = 500                    // bytes per second
)

// Invalid is the error that lists every mistake in the settings.
type Invalid struct{ Mistakes []string }

// Error returns the mistakes, one per line.
func (e Invalid) Error() string {
	return "invalid settings:\n  " + strings.Join(e.Mistakes, "\n  ")
}

// rawSettings holds the values of the flags before they are checked.
type rawSettings struct {
	d                               Daemon
	role, control, withoutLeader    string
	fleetKeyFile, operatorTokenFile string
	tlsCert, tlsKey, tlsCA          string
}

// Parse reads args and the environment. It returns [flag.ErrHelp] for -h, the flag package's
// error for a malformed flag, and [Invalid] for all other mistakes. Usage is written to usage.
func Parse(args []string, getenv func(string) string, usage io.Writer) (Daemon, error) {
	var r rawSettings
	fs := r.flags(usage)
	var mistakes []string
	fs.VisitAll(func(f *flag.Flag) {
		if v := getenv(EnvName(f.Name)); v != "" {
			if err := f.Value.Set(v); err != nil {
				mistakes = append(mistakes, fmt.Sprintf("%s: %v", EnvName(f.Name), err))
			}
		}
	})
	if err := fs.Parse(args); err != nil {
		return Daemon{}, err
	}
	if fs.NArg() > 0 {
		mistakes = append(mistakes, fmt.Sprintf("unexpected argument %q", fs.Arg(0)))
	}
	mistakes = append(mistakes, r.check()...)
	if len(mistakes) > 0 && !r.d.Version {
		return r.d, Invalid{Mistakes: mistakes}
	}
	return r.d, nil
}

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// flags returns the flag set that fills r. The defaults of -lease and -control-budget are
// slots.DefaultLease and slots.DefaultPace; docs/design/fair-sharing.md explains that of
// -overcommit.
func (r *rawSettings) flags(usage io.Writer) *flag.FlagSet {
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
	fs.StringVar(&r.operatorTokenFile, "operator-token-file", "", "file with the operators' token (role control)")
	fs.StringVar(&r.tlsCert, "tls-cert-file", "", "this box's certificate, PEM; callers, operators and boxes then connect over TLS only")
	fs.StringVar(&r.tlsKey, "tls-key-file", "", "private key of this box's certificate, PEM")
	fs.StringVar(&r.tlsCA, "tls-ca-file", "", "certificate of the authority that signs all boxes' certificates, PEM")
	fs.DurationVar(&d.Lease, "lease", 3*time.Second, "how long a router may act without renewing its lease; the same on all boxes")
	fs.DurationVar(&d.Wait, "wait", time.Minute, "longest time that a request waits in the queue")
	fs.DurationVar(&d.Grace, "grace", 2*time.Second, "how long a stopping router still accepts requests")
	fs.DurationVar(&d.StopTimeout, "stop-timeout", 10*time.Minute, "longest time for running requests to end after a stop")
	fs.Float64Var(&d.ControlBudget, "control-budget", 2000, "bytes per second of control traffic on one link in one direction")
	fs.Float64Var(&d.Overcommit, "overcommit", 0.125, "fraction of an engine's slots granted beyond its capacity; such requests wait in the engine's own queue (role control)")
	fs.StringVar(&r.withoutLeader, "without-leader", "continue", "continue or stop: what a router does when a majority of control replicas reports no leader")
	fs.StringVar(&d.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&d.LogFormat, "log-format", "text", "text or json")
	fs.BoolVar(&d.Dev, "dev", false, "run a whole fleet in one process, with stand-in backend servers and the key \"dev\"")
	fs.BoolVar(&d.Version, "version", false, "print the version and exit")
	fs.BoolVar(&d.Check, "check", false, "check the settings and exit")
	return fs
}

// check validates the raw values, derives the remaining settings from them and returns every
// mistake.
func (r *rawSettings) check() []string {
	var c checks
	d := &r.d
	d.Roles = strings.Split(r.role, ",")
	for _, role := range d.Roles {
		c.require(role == Router || role == Control, "-role: %q is neither router nor control", role)
	}
	c.address("-listen-operators", d.ListenOperators)
	if d.Has(Router) {
		c.address("-listen-callers", d.ListenCallers)
	}
	if d.Has(Control) {
		c.address("-listen-fleet", d.ListenFleet)
	}
	c.require(d.Lease >= minLease && d.Lease <= maxLease, "-lease: must be between 500ms and 8s")
	c.require(d.Wait > 0, "-wait: must be positive")
	c.require(d.Grace >= 0, "-grace: must not be negative")
	c.require(d.StopTimeout > 0, "-stop-timeout: must be positive")
	c.require(d.ControlBudget >= minControlBudget, "-control-budget: must be at least 500 bytes per second")
	c.require(d.Overcommit >= 0 && d.Overcommit <= 1, "-overcommit: must be between 0 and 1")
	c.oneOf("-log-level", d.LogLevel, "debug", "info", "warn", "error")
	c.oneOf("-log-format", d.LogFormat, "text", "json")
	c.oneOf("-without-leader", r.withoutLeader, "continue", "stop")
	d.StopWithoutLeader = r.withoutLeader == "stop"
	d.TLS = c.tls(r.tlsCert, r.tlsKey, r.tlsCA)
	if d.Dev {
		c.require(r.operatorTokenFile == "" && r.fleetKeyFile == "",
			"-dev: uses its own token and key and cannot be combined with -operator-token-file or -fleet-key-file")
		return c.mistakes
	}
	r.checkFleet(&c)
	return c.mistakes
}

// checkFleet checks the settings that -dev replaces with its own.
func (r *rawSettings) checkFleet(c *checks) {
	d := &r.d
	c.require(config.ValidName(d.Name), "-name: must be 1 to 63 letters, digits, dots, dashes or underscores")
	d.Control = c.replicas(r.control)
	d.FleetKey = c.secret("-fleet-key-file", r.fleetKeyFile)
	c.require(len(d.FleetKey) == 0 || len(d.FleetKey) >= MinFleetKey, "-fleet-key-file: the key is shorter than %d bytes", MinFleetKey)
	if !d.Has(Control) {
		return
	}
	d.OperatorToken = string(c.secret("-operator-token-file", r.operatorTokenFile))
	c.require(d.DataDir != "", "-data-dir: is missing")
	_, listed := d.Control[d.Name]
	c.require(listed, "-control: does not list this box, %q, which has the role control", d.Name)
}

// checks collects mistakes.
type checks struct{ mistakes []string }

func (c *checks) require(ok bool, format string, args ...any) {
	if !ok {
		c.mistakes = append(c.mistakes, fmt.Sprintf(format, args...))
	}
}

func (c *checks) address(flagName, v string) {
	_, err := netip.ParseAddrPort(v)
	c.require(err == nil, "%s: must be IP:PORT, not %q", flagName, v)
}

func (c *checks) oneOf(flagName, v string, allowed ...string) {
	c.require(slices.Contains(allowed, v), "%s: must be one of %s, not %q", flagName, strings.Join(allowed, ", "), v)
}

func (c *checks) replicas(v string) map[string]string {
	addresses := map[string]string{}
	if v == "" {
		c.require(false, "-control: is missing")
		return addresses
	}
	for _, part := range strings.Split(v, ",") {
		name, address, ok := strings.Cut(part, "=")
		c.require(ok && config.ValidName(name), "-control: %q is not NAME=IP:PORT", part)
		c.address("-control", address)
		_, duplicate := addresses[name]
		c.require(!duplicate, "-control: lists %q twice", name)
		addresses[name] = address
	}
	return addresses
}

// secret reads a file that holds one secret and trims the white space around it.
func (c *checks) secret(flagName, path string) []byte {
	if path == "" {
		c.require(false, "%s: is missing", flagName)
		return nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		c.require(false, "%s: %v", flagName, err)
		return nil
	}
	s := strings.TrimSpace(string(b))
	c.require(s != "", "%s: the file is empty", flagName)
	return []byte(s)
}
