// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"strconv"
	"strings"
)

// This file defines the lives of a backend server that starts again under the name that it had.
//
// Inside a process each life has an identifier of its own, name and start together, so that all
// that is known of a server by its identifier is of one life. Between processes and in the log a
// [Registration] has the name alone and the start beside it: versions that do not know of lives
// take the name for the identifier, as before.

// lifeMark is between a server's name and its start. A name that has it is refused where names are
// read.
const lifeMark = "~"

// LifeID returns the identifier of the life of a server that began at a time, in Unix
// milliseconds; 0 is one that does not say when it began, whose name is its identifier.
func LifeID(name string, born uint64) string {
	if born == 0 {
		return name
	}
	return name + lifeMark + strconv.FormatUint(born, 10)
}

// SplitLife returns a server's name and the start of its life, 0 if its identifier has none.
func SplitLife(id string) (name string, born uint64) {
	name, start, found := strings.Cut(id, lifeMark)
	if !found {
		return id, 0
	}
	born, err := strconv.ParseUint(start, 10, 64)
	if err != nil {
		return id, 0
	}
	return name, born
}

// Sent returns a registration as messages and the log have it.
func (r Registration) Sent() Registration {
	r.ID, r.Born = SplitLife(r.ID)
	return r
}

// Received returns a registration that was [Registration.Sent] as this process has it.
func (r Registration) Received() Registration {
	r.ID, r.Born = LifeID(r.ID, r.Born), 0
	return r
}

// each returns the message with f applied to each registration.
func (m Servers) each(f func(Registration) Registration) Servers {
	set := make([]Server, len(m.Set))
	for i, s := range m.Set {
		s.Registration = f(s.Registration)
		set[i] = s
	}
	if len(set) > 0 { // else it stays nil, as it was sent
		m.Set = set
	}
	return m
}

// Sent returns the message as it goes out. A server that has gone and of which no life is listed
// is named by its name as well, which is all that relays and versions without lives know.
func (m Servers) Sent(listed func(name string) bool) Servers {
	m = m.each(Registration.Sent)
	for _, id := range m.Gone {
		if name, born := SplitLife(id); born != 0 && !listed(name) {
			m.Gone = append(m.Gone[:len(m.Gone):len(m.Gone)], name)
		}
	}
	return m
}

// Received returns a message that was [Servers.Sent] as this process has it.
func (m Servers) Received() Servers { return m.each(Registration.Received) }
