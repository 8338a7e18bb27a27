// SPDX-License-Identifier: Apache-2.0

// Command badgerspoke-node runs one process of a fleet on the users' platform. Its settings file
// selects the role: gateway or directory replica.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/platform"
	"github.com/badgerspoke/badgerspoke/process"
)

// Exit codes.
const (
	exitOK       = 0 // stopped by a signal, or only a check was requested
	exitFailed   = 1 // failed to listen on an address
	exitSettings = 2 // the settings are invalid
)

func main() { os.Exit(run()) }

func run() int {
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	cfg, role, err := platform.LoadSettings(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	metricSet := metrics.NewSet()
	log := decision.New(os.Stdout, cfg.LogLevel, decision.DefaultBudget, metricSet)
	defer log.Close()
	log.StateChange("started", slog.String("node", cfg.Name), slog.String("role", string(role)), slog.Any("seeds", cfg.Seeds),
		slog.Bool("first", cfg.Bootstrap), slog.Int64("memory", cfg.MemoryLimit))
	if err := serve(cfg, role, log, metricSet); err != nil {
		log.StateChange("stopped", slog.String("error", err.Error()))
		return exitFailed
	}
	log.StateChange("stopped")
	return exitOK
}

// serve runs the gateway or directory replica until SIGTERM or SIGINT.
func serve(cfg process.Settings, role platform.Role, log *decision.Log, metricSet *metrics.Set) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	load := func() (process.Settings, error) {
		cfg, _, err := platform.LoadSettings(os.Getenv)
		return cfg, err
	}
	reloads := make(chan process.Settings, 1)
	go process.Reload(ctx, load, reloads, log)
	context.AfterFunc(ctx, func() { log.StateChange("stopping") })
	if role == platform.DirectoryRole {
		return process.Directory(ctx, cfg, reloads, platform.NewAPI(cfg.APIAddress), log, metricSet)
	}
	return process.Gateway(ctx, cfg, reloads, platform.HeaderCodec{Log: log}, platform.IsRefusal, log, metricSet)
}
