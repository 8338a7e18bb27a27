// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests the loss of all directory replicas of a data hall.

// TestLossOfHallWithLeader cuts off, kills or wipes the replicas of a hall, the leader among them,
// or kills them and wipes the disk of one. In all cases but the last a new leader must be elected within
// three seconds. No acknowledged change may be lost in any case.
func TestLossOfHallWithLeader(t *testing.T) {
	const votersOfHalls = 9 // configured where halls may be lost
	for _, n := range []int{3, 5, 7} {
		for _, how := range []string{"cut", "killed", "wiped", "wiped with one more disk"} {
			t.Run(fmt.Sprintf("%d replicas %s", n, how), func(t *testing.T) {
				withFleetVoters(t, n, votersOfHalls, func(x *fleet) {
					is := is.New(x.t)
					time.Sleep(3 * time.Second) // until all vote
					is.Equal(len(x.voters()), n)
					is.NoErr(x.announceInHall("b1", "hall-a", 0))
					time.Sleep(time.Second)
					for round := range 2 {
						is.Equal(len(x.voters()), n)
						x.putDocument(uint64(2*round + 1))
						x.orderHall("hall-a", round%2 == 0)
						hall := x.hallOfLeader((n + 2) / 3)
						if how == "wiped with one more disk" { // the hall's other disks survive
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
						for _, ip := range x.ips { // the returned replicas have caught up
							is.True(x.nodes[ip].d.InGroup())
						}
					}
				})
			})
		}
	}
}

// hallOfLeader returns the leader and other replicas, size in all.
func (x *fleet) hallOfLeader(size int) []string {
	hall := []string{x.awaitLeader().ip}
	for _, ip := range x.ips {
		if ip != hall[0] && len(hall) < size {
			hall = append(hall, ip)
		}
	}
	return hall
}

// loseHall cuts off, kills or wipes replicas.
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

// returnHall reconnects or restarts the replicas that loseHall took away.
func (x *fleet) returnHall(hall []string, how string) {
	for _, ip := range hall {
		if how == "cut" {
			x.net.Restore(ip)
		} else {
			x.startReplica(ip, false)
		}
	}
}
