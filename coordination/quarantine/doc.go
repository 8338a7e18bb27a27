// SPDX-License-Identifier: Apache-2.0

// Package quarantine recognizes requests that end the backend servers that run them.
//
// Callers draw a new identifier for each try, so a request that comes again is known by what it
// is, its [Key].
package quarantine
