// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file defines Class, how a request compares with its account's share.

// Class says how a request compares with its account's fair share. Lower
// classes go first.
type Class uint8

// The classes.
const (
	Covered  Class = iota // its account asks for no more than its share, so nothing of it need wait
	Entitled              // within the share of the rate that the operator names
	Extra                 // within the share of what the engines make beyond it
	Beyond                // neither: served where nothing else waits
)

// String returns the class's name, as log lines carry it.
func (c Class) String() string { return [...]string{"covered", "entitled", "extra", "beyond"}[c] }
