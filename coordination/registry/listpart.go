// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"
	"strings"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the parts of a whole list.
//
// A message is limited to what ListPace admits at once, because the leader's other messages wait
// behind it on the link: 112 KB take 0.6 s at 1.6 Mbit/s, one and a half election timeouts. At 1
// Gbit/s a list of 16,000 servers fits into one message.

// ListPart returns the next part of a whole list that is ordered by name: at most limit servers
// after the one named after. If after is empty it returns the first part, or the whole list if that
// fits. last is whether the part is the last one. The list may change between two parts if the
// receiver is sent the changes.
func ListPart(list protocol.Servers, after string, limit int) (part protocol.Servers, last bool) {
	part = list
	if after != "" {
		start, found := slices.BinarySearchFunc(list.Set, after, func(s protocol.Server, name string) int { return strings.Compare(s.ID, name) })
		if found {
			start++
		}
		part.Set, part.Removed = list.Set[start:], nil
		part.Whole, part.Part = false, true
	}
	if last = len(part.Set) <= limit; !last {
		part.Set, part.Complete = part.Set[:limit], false
	}
	return part, last
}
