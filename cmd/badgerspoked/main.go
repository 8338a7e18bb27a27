// SPDX-License-Identifier: Apache-2.0

// Command badgerspoked is the daemon on each box of a router fleet.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/dev"
	"github.com/badgerspoke/badgerspoke/internal/boottime"
	"github.com/badgerspoke/badgerspoke/router"
	"github.com/badgerspoke/badgerspoke/settings"
)

// Exit codes.
const (
	exitOK       = 0 // stopped by a signal, or only help, version or a check was requested
	exitFailed   = 1 // failed to start, or its disk failed
	exitSettings = 2 // the settings are invalid
)

func main() { os.Exit(run()) }

func run() int {
	d, err := settings.Parse(os.Args[1:], os.Getenv, os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	case d.Version:
		fmt.Println("badgerspoked", version())
		return exitOK
	case d.Check:
		fmt.Println("settings are valid")
		return exitOK
	}
	log := newLog(d)
	if err := serve(d, log); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}

// serve runs the box until it fails or a signal arrives. A second signal cuts the graceful stop short.
func serve(d settings.Daemon, log *slog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.Dev {
		removeData, err := devDefaults(&d)
		if err != nil {
			return err
		}
		defer removeData()
	}
	box, err := start(ctx, d, log)
	if err != nil {
		return err
	}
	if d.Dev {
		stop, err := startDevServers(ctx, d)
		if err != nil {
			return err
		}
		defer stop()
	}
	log.Info("started", "name", d.Name, "roles", d.Roles, "callers", d.ListenCallers, "operators", d.ListenOperators)
	select {
	case <-box.Done():
		return box.Err()
	case s := <-signals:
		log.Info("stopping", "signal", s.String())
	}
	stopCtx, stopNow := context.WithTimeout(ctx, d.StopTimeout)
	defer stopNow()
	go func() {
		<-signals
		log.Warn("stopping at once")
		stopNow()
	}()
	box.Stop(stopCtx)
	log.Info("stopped")
	return nil
}

func start(ctx context.Context, d settings.Daemon, log *slog.Logger) (*badgerspoke.Box, error) {
	limits := router.DefaultLimits
	limits.QueueTimeout = d.Wait
	pace := slots.DefaultPace
	pace.Budget, pace.Burst = d.ControlBudget, 2*d.ControlBudget
	cfg := badgerspoke.Settings{
		Name: d.Name, Hall: d.Hall, FleetKey: d.FleetKey, TLS: d.TLS, Replicas: d.Control,
		Router: d.Has(settings.Router), Control: d.Has(settings.Control),
		DataDir: d.DataDir, OperatorToken: d.OperatorToken,
		Lease:      slots.Lease{Length: d.Lease, Margin: slots.DefaultLease.Margin},
		Overcommit: d.Overcommit, Pace: pace, Limits: limits, StopWithoutLeader: d.StopWithoutLeader, Grace: d.Grace, Log: log,
		Clock: boottime.Clock(),
	}
	var err error
	if cfg.Operators, err = net.Listen("tcp", d.ListenOperators); err != nil {
		return nil, err
	}
	if cfg.Router {
		if cfg.Callers, err = net.Listen("tcp", d.ListenCallers); err != nil {
			return nil, err
		}
	}
	if cfg.Control {
		if cfg.Fleet, err = net.Listen("tcp", d.ListenFleet); err != nil {
			return nil, err
		}
	}
	return badgerspoke.Start(ctx, cfg)
}

// devDefaults fills in the settings of a development fleet. If no data folder is set, it creates a
// temporary one, which removeData removes.
func devDefaults(d *settings.Daemon) (removeData func(), err error) {
	d.Roles = []string{settings.Router, settings.Control}
	if d.Name == "" {
		d.Name = "dev"
	}
	d.Control = map[string]string{d.Name: d.ListenFleet}
	d.FleetKey, d.OperatorToken = []byte(dev.FleetKey), dev.Token
	d.Grace = 0
	if d.DataDir != "" {
		return func() {}, nil
	}
	d.DataDir, err = os.MkdirTemp("", "badgerspoke-dev-")
	return func() { os.RemoveAll(d.DataDir) }, err
}

// devSetupTimeout is the time limit for configuring a development fleet, which includes waiting until the
// group has a leader.
const devSetupTimeout = 20 * time.Second

// startDevServers starts the backend servers of a development fleet and adds them to its
// configuration.
func startDevServers(ctx context.Context, d settings.Daemon) (stop func(), err error) {
	servers, err := dev.StartServers()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, devSetupTimeout)
	defer cancel()
	if err := servers.Configure(ctx, d.ListenOperators); err != nil {
		servers.Close()
		return nil, err
	}
	return servers.Close, nil
}

func newLog(d settings.Daemon) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(d.LogLevel)) // validated by package settings
	opts := &slog.HandlerOptions{Level: level}
	if d.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
