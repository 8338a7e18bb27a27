// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests the loss of a data hall's directory replicas.

// TestHallOfTheDirectoryIsLost takes a hall's replicas away, the largest hall's with the
// leader among them if it is there: cut off, killed, wiped, and together with the disk of
// one more replica. After all but the last there is a leader within three seconds; nothing
// acknowledged is lost after any.
func TestHallOfTheDirectoryIsLost(t *testing.T) {
	const votersOfHalls = 9 // wanted where halls may be lost
	for _, n := range []int{3, 5, 7} {
		for _, how := range []string{"cut", "killed", "wiped", "wiped with one more disk"} {
			t.Run(fmt.Sprintf("%d replicas %s", n, how), func(t *testing.T) {
				withFleetVoters(t, n, votersOfHalls, func(x *fleet) {
					is := is.New(x.t)
					time.Sleep(3 * time.Second) // all vote
					is.Equal(len(x.voters()), n)
					is.NoErr(x.announceIn("b1", "hall-a", 0))
					time.Sleep(time.Second)
					for round := range 2 {
						is.Equal(len(x.voters()), n)
						x.putDocument(uint64(2*round + 1))
						x.orderHall("hall-a", round%2 == 0)
						hall := x.hallOfLeader((n + 2) / 3)
						if how == "wiped with one more disk" { // the hall's disks are back after the power
							x.loseHall(hall[1:], "killed")
							x.loseHall(hall[:1], "wiped")
						} else {
							x.loseHall(hall, how)
						}
						began := time.Now()
						if how != "wiped with one more disk" {
							x.awaitLeader()
							leads := time.Since(began)
							x.putDocument(uint64(2*round + 2))
							x.t.Logf("a leader after %v, a document after %v", leads, time.Since(began))
							is.True(leads < 3*time.Second)
							is.True(time.Since(began) < 4*time.Second)
						}
						time.Sleep(3 * time.Second)
						x.returnHall(hall, how)
						h, err := x.awaitLeader().d.Read(x.t.Context())
						for err != nil {
							time.Sleep(50 * time.Millisecond)
							h, err = x.awaitLeader().d.Read(x.t.Context())
						}
						is.True(h.Document.Number >= uint64(2*round+1))
						halls, err := x.awaitLeader().d.HallsOut(x.t.Context())
						is.NoErr(err)
						is.Equal(len(halls) == 1, round%2 == 0)
						time.Sleep(10 * time.Second)
						for _, ip := range x.ips { // those that were away have caught up
							is.True(x.nodes[ip].d.Formed())
						}
					}
				})
			})
		}
	}
}

// hallOfLeader returns the leader and others, size in all.
func (x *fleet) hallOfLeader(size int) []string {
	hall := []string{x.awaitLeader().ip}
	for _, ip := range x.ips {
		if ip != hall[0] && len(hall) < size {
			hall = append(hall, ip)
		}
	}
	return hall
}

// loseHall takes replicas away.
func (x *fleet) loseHall(hall []string, how string) {
	for _, ip := range hall {
		if how == "cut" {
			x.net.Cut(ip)
			continue
		}
		x.nodes[ip].kill()
		if how != "killed" {
			x.replaceDisk(ip)
		}
	}
}

// returnHall brings them back.
func (x *fleet) returnHall(hall []string, how string) {
	for _, ip := range hall {
		if how == "cut" {
			x.net.Join(ip)
		} else {
			x.startReplica(ip, false)
		}
	}
}
