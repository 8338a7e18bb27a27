// SPDX-License-Identifier: Apache-2.0

// Command badgerspoke is the command-line client for operators of a router fleet.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/badgerspoke/badgerspoke/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
