// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
)

// This file prints answers as tables.

func printAnswer(w io.Writer, answer proto.Message) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	switch m := answer.(type) {
	case *operatorv1.ChangeResponse:
		fmt.Fprintf(t, "revision %d\n", m.GetRevision())
	case *operatorv1.CreateAccountResponse:
		printKey(t, m.GetRevision(), m.GetKey())
	case *operatorv1.RotateKeyResponse:
		printKey(t, m.GetRevision(), m.GetKey())
	case *operatorv1.ListAccountsResponse:
		printAccounts(t, m)
	case *operatorv1.ListServersResponse:
		printServers(t, m)
	case *operatorv1.GetStatusResponse:
		printStatus(t, m)
	case *operatorv1.AwaitRevisionResponse:
		fmt.Fprintf(t, "in force: %t\nconfirmed: %s\noutstanding: %s\nlease run out: %s\n", m.GetInForce(),
			strings.Join(m.GetConfirmed(), " "), strings.Join(m.GetOutstanding(), " "), strings.Join(m.GetExpired(), " "))
	}
}

func printKey(w io.Writer, revision uint64, key string) {
	fmt.Fprintf(w, "revision %d\n", revision)
	if key != "" {
		fmt.Fprintf(w, "key %s\n", key)
	}
}

func printAccounts(w io.Writer, m *operatorv1.ListAccountsResponse) {
	fmt.Fprintf(w, "NAME\tSHARE\tMAX WAITING\tMAX RUNNING\tKEYS\n")
	for _, a := range m.GetAccounts() {
		fmt.Fprintf(w, "%s\t%g\t%s\t%s\t%s\n", a.GetName(), a.GetShare(), formatLimit(a.GetLimits().GetWaiting()),
			formatLimit(a.GetLimits().GetRunning()), strings.Join(a.GetKeyHashes(), " "))
	}
}

func formatLimit(n uint32) string {
	if n == 0 {
		return "default"
	}
	return fmt.Sprint(n)
}

func printServers(w io.Writer, m *operatorv1.ListServersResponse) {
	fmt.Fprintf(w, "NAME\tPOOL\tKIND\tMARK\tADDRESS\tSLOTS\tMODELS\n")
	for _, s := range m.GetServers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", s.GetName(), s.GetPool(), enumName(s.GetKind()), enumName(s.GetMark()),
			s.GetAddress(), s.GetSlots(), strings.Join(s.GetModels(), ","))
	}
}

func printStatus(w io.Writer, m *operatorv1.GetStatusResponse) {
	fmt.Fprintf(w, "revision %d, epoch %d, leader %s", m.GetRevision(), m.GetEpoch(), m.GetLeader())
	if m.GetTakingOver() {
		fmt.Fprintf(w, ", taking over")
	}
	fmt.Fprintf(w, "\n\nREPLICA\tVOTES\n")
	for _, r := range m.GetReplicas() {
		fmt.Fprintf(w, "%s\t%t\n", r.GetName(), r.GetVoter())
	}
	fmt.Fprintf(w, "\nROUTER\tLINKED\tREVISION\tSLOTS\tLEASE\n")
	for _, r := range m.GetRouters() {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%dms\n", r.GetName(), r.GetLinked(), r.GetRevision(), r.GetSlotsHeld(), r.GetLeaseMillis())
	}
	fmt.Fprintf(w, "\nSERVER\tPOOL\tMARK\tGRANTED\tSLOTS\tEMPTY\n")
	for _, s := range m.GetServers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\n", s.GetName(), s.GetPool(), enumName(s.GetMark()), s.GetGranted(), s.GetSlots(), s.GetEmpty())
	}
	fmt.Fprintf(w, "\nPOOL\tACCOUNT\tSHARE\tSERVICE/SHARE\tWAITING\n")
	for _, s := range m.GetStandings() {
		fmt.Fprintf(w, "%s\t%s\t%g\t%.0f\t%d\n", s.GetPool(), s.GetAccount(), s.GetShare(), s.GetNormalisedService(), s.GetWaiting())
	}
}

// enumName returns the name of an enumeration value without its prefix, in lower case.
func enumName(v fmt.Stringer) string {
	_, name, _ := strings.Cut(v.String(), "_")
	return strings.ToLower(name)
}
