// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/decision"
)

// This file defines Reload, which applies changed settings while the process runs.

// reloadPeriod is the interval at which the settings are read even without a SIGHUP, because they
// can change without one.
const reloadPeriod = 2 * time.Second

// Reload loads the settings on SIGHUP and every two seconds until ctx ends, and sends them to
// reloads when their seeds have changed. Settings that cannot be loaded are ignored.
func Reload(ctx context.Context, load func() (Settings, error), reloads chan<- Settings, log *decision.Log) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t := time.NewTicker(reloadPeriod)
	defer t.Stop()
	var last []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-t.C:
		}
		cfg, err := load()
		if err != nil {
			log.Failure("reload refused", slog.String("error", err.Error()))
			continue
		}
		if slices.Equal(cfg.Seeds, last) {
			continue
		}
		if last != nil {
			log.StateChange("reloaded", slog.Any("seeds", cfg.Seeds), slog.Any("before", last))
		}
		last = cfg.Seeds
		select {
		case reloads <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
