// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"context"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file compares the commands, their flags, environment variables and exit codes with
// testdata/golden, which pins the public names. Run with -update to rewrite it.

var (
	changeID     = regexp.MustCompile(`cli-[0-9a-z]+`)
	flagLine     = regexp.MustCompile(`^  -[a-z]`)
	defaultValue = regexp.MustCompile(`\(default .*\)$`)
)

func TestGoldenFlags(t *testing.T) {
	is := is.New(t)
	var got strings.Builder
	customEnv := map[string]string{"BADGERSPOKE_SERVER": "from SERVER", "BADGERSPOKE_TOKEN": "from TOKEN", "BADGERSPOKE_TLS_CA_FILE": "from CA"}
	for _, c := range commands {
		for _, env := range []map[string]string{nil, customEnv} {
			var help bytes.Buffer
			code := Run(context.Background(), append(strings.Fields(c.name), "-h"), func(k string) string { return env[k] }, &help, &help)
			is.Equal(code, 0)
			if env != nil {
				got.WriteString("with variables:\n")
			} else {
				got.WriteString(strings.TrimSpace(c.name+" "+strings.Join(c.args, " ")) + "\n")
			}
			got.WriteString(flagsOf(help.String()))
		}
	}
	golden.Text(t, "flags.txt", got.String())
}

// flagsOf returns the names, types and defaults of the flags in a help text, without their
// descriptions, which may change.
func flagsOf(help string) string {
	var got strings.Builder
	for line := range strings.Lines(changeID.ReplaceAllString(help, "cli-ID")) {
		line = strings.TrimRight(line, "\n")
		switch {
		case flagLine.MatchString(line):
			got.WriteString(line + "\n")
		case strings.HasPrefix(line, "    \t"):
			if d := defaultValue.FindString(line); d != "" {
				got.WriteString("    " + d + "\n")
			}
		}
	}
	return got.String()
}

func TestGoldenRolloutFlags(t *testing.T) {
	var got strings.Builder
	env := map[string]string{"BADGERSPOKE_FLEET": "from FLEET", "BADGERSPOKE_FLEET_KEY_FILE": "from KEY"}
	for _, name := range []string{"start", "status", "abort"} {
		var help bytes.Buffer
		code := Run(context.Background(), []string{"rollout", name, "-h"}, func(k string) string { return env[k] }, &help, &help)
		is.New(t).Equal(code, ExitOK)
		got.WriteString("rollout " + name + " " + strings.Join(rolloutCommands[name].args, " ") + "\n" + flagsOf(help.String()))
	}
	golden.Text(t, "rollout-flags.txt", got.String())
}
