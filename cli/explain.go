// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/badgerspoke/badgerspoke/decision"
)

// This file defines the command explain, the only one that contacts no fleet.

const explainUsage = `print the history of a request from the logs of the processes that handled it

  badgerspoke explain ID [FILE ...]

Without a file the logs are read from standard input. Lines may be prefixed with
the name of their process. Example:
  badgerspoke explain 9c41d07be2a35f68 gateway-*.log
`

func explainRequest(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "-h" {
		fmt.Fprint(stderr, explainUsage)
		return ExitUsage
	}
	lines, err := readLogs(args[1:])
	if err != nil {
		fmt.Fprintf(stderr, "badgerspoke explain: %v\n", err)
		return ExitRefused
	}
	if !decision.Explain(stdout, lines, args[0]) {
		fmt.Fprintf(stderr, "badgerspoke explain: no log lines for request %q: they may have been dropped "+
			"(see 'log lines dropped'), or other processes handled the request\n", args[0])
		return ExitRefused
	}
	return ExitOK
}

func readLogs(paths []string) ([]decision.Line, error) {
	if len(paths) == 0 {
		return decision.ReadLines(os.Stdin)
	}
	var all []decision.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := decision.ReadLines(f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
