// SPDX-License-Identifier: Apache-2.0

// Command badgerspoke-node is one process of a routed-HTTP fleet on the users'
// platform: a gateway or a directory replica, by its settings file.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/node"
	"github.com/badgerspoke/badgerspoke/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	set, role, err := platform.LoadSettings(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	figures := metrics.NewSet()
	log := decision.New(os.Stdout, set.LogLevel, decision.DefaultBudget, figures)
	defer log.Close()
	log.Belief("started", slog.String("node", set.Name), slog.String("role", string(role)), slog.Any("seeds", set.Seeds),
		slog.Bool("first", set.First), slog.Int64("memory", set.Memory))
	if err := serve(set, role, log, figures); err != nil {
		log.Belief("stopped", slog.String("error", err.Error()))
		return exitFailed
	}
	log.Belief("stopped")
	return exitOK
}

// serve runs the node until SIGTERM or SIGINT.
func serve(set node.Settings, role platform.Role, log *decision.Log, figures *metrics.Set) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan node.Settings, 1)
	go reload(ctx, reloads, log)
	context.AfterFunc(ctx, func() { log.Belief("stopping") })
	if role == platform.ControlRole {
		return node.Directory(ctx, set, reloads, platform.NewDoor(set.Door), log, figures)
	}
	return node.Gateway(ctx, set, reloads, platform.HeaderCodec{}, platform.Refused, log, figures)
}

// reloadPeriod is how often the settings are looked at without a signal.
const reloadPeriod = 2 * time.Second

// reload reads the settings again on SIGHUP and from time to time, and passes
// on what has changed. What is invalid changes nothing.
func reload(ctx context.Context, reloads chan<- node.Settings, log *decision.Log) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	var last []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
		}
		set, _, err := platform.LoadSettings(os.Getenv)
		if err != nil {
			log.Failure("reload refused", slog.String("error", err.Error()))
			continue
		}
		if slices.Equal(set.Seeds, last) {
			continue
		}
		if last != nil {
			log.Belief("reloaded", slog.Any("seeds", set.Seeds), slog.Any("before", last))
		}
		last = set.Seeds
		select {
		case reloads <- set:
		case <-ctx.Done():
			return
		}
	}
}
