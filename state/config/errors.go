// SPDX-License-Identifier: Apache-2.0

package config

import (
	"fmt"
	"strings"
)

// This file defines the errors of this package. Each is a type with the fields
// that a caller needs to handle it.

// Mistake is one error in a proposed configuration.
type Mistake struct {
	Subject string `cbor:"1,keyasint"` // object, such as "account hotel-a"
	Field   string `cbor:"2,keyasint"`
	Reason  string `cbor:"3,keyasint"`
}

// String returns "subject: field: reason".
func (m Mistake) String() string { return m.Subject + ": " + m.Field + ": " + m.Reason }

// Invalid rejects a change that would not result in a valid configuration.
type Invalid struct{ Mistakes []Mistake }

// Error lists every mistake.
func (e Invalid) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// Conflict rejects a change that does not build on the current revision. Winner is
// the change that was applied to Base, if it is still remembered.
type Conflict struct {
	Base    uint64  `cbor:"1,keyasint"` // revision that the rejected change named
	Current uint64  `cbor:"2,keyasint"`
	Winner  *Change `cbor:"3,keyasint,omitempty"`
}

// Error names both revisions and the winner.
func (e Conflict) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("change builds on revision %d, the current one is %d", e.Base, e.Current)
	}
	return fmt.Sprintf("change builds on revision %d, which change %q took; the current one is %d",
		e.Base, e.Winner.ID, e.Current)
}

// ReusedID rejects a change identifier that was used for different content.
type ReusedID struct{ ID string }

// Error names the identifier.
func (e ReusedID) Error() string {
	return fmt.Sprintf("change id %q was used for another change", e.ID)
}

// DeltaGap rejects a delta that starts after the current revision.
type DeltaGap struct{ Current, From uint64 }

// Error names both revisions.
func (e DeltaGap) Error() string {
	return fmt.Sprintf("delta starts at revision %d, the current one is %d", e.From, e.Current)
}

// mistakes collects the results of validation.
type mistakes []Mistake

func (m *mistakes) add(subject, field, reason string) {
	*m = append(*m, Mistake{Subject: subject, Field: field, Reason: reason})
}
