// SPDX-License-Identifier: Apache-2.0

package directory

// Voters returns the fleet addresses of the replicas that vote, for tests.
func (d *Directory) Voters() []string { return d.hub.leadership.Load().voters }
