// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests the guarantees for operators, backend servers and gateways.

func TestPutAndRead(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader().d
		_, err := l.Read(x.t.Context())
		is.True(errors.As(err, new(directory.NoDocument)))
		is.NoErr(l.Put(x.t.Context(), testDocument(7)))
		is.NoErr(l.Put(x.t.Context(), testDocument(7))) // a repeat
		is.NoErr(l.Put(x.t.Context(), testDocument(3))) // an older document arrives late
		h, err := l.Read(x.t.Context())
		is.NoErr(err)
		is.Equal(string(h.Source), "source of 7")
	})
}

func TestInvalidDocumentIsRefused(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader().d
		is.NoErr(l.Put(x.t.Context(), testDocument(7)))
		bad := testDocument(8)
		bad.Document.Routes[0].Timeout = 0
		is.True(errors.As(l.Put(x.t.Context(), bad), new(document.Invalid)))
		old := testDocument(6)
		old.Document.Routes[0].Timeout = 0
		is.True(errors.As(l.Put(x.t.Context(), old), new(document.Invalid))) // refused even when it changes nothing
		h, _ := l.Read(x.t.Context())
		is.Equal(h.Document.Number, uint64(7))
	})
}

func TestFollowersReturnNotLeader(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader()
		for ip, n := range x.nodes {
			if n == l {
				continue
			}
			_, err := n.d.Read(x.t.Context())
			is.Equal(err, error(directory.NotLeader{Leader: l.ip + ":7400"}))
			is.Equal(n.d.Put(x.t.Context(), testDocument(1)), error(directory.NotLeader{Leader: l.ip + ":7400"}))
			is.Equal(n.d.Withdraw(x.t.Context(), "b1"), error(directory.NotLeader{Leader: l.ip + ":7400"}))
			_ = ip
		}
	})
}

// TestPartitionedLeaderServesNoStaleReads partitions the leader off silently, and the others accept a
// newer document. A leader that served reads past its lease would return the older document.
func TestPartitionedLeaderServesNoStaleReads(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		old := x.awaitLeader()
		x.putDocument(1)
		x.net.Cut(old.ip)
		acknowledged := false
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if !acknowledged {
				for _, n := range x.nodes {
					if n != old && n.d.Leads() {
						is.NoErr(n.d.Put(x.t.Context(), testDocument(2)))
						acknowledged = true
					}
				}
			}
			h, err := old.d.Read(x.t.Context())
			if acknowledged && err == nil {
				x.t.Fatalf("the old leader served document %d", h.Document.Number)
			}
		}
		is.True(acknowledged)
		x.net.Restore(old.ip)
		time.Sleep(2 * time.Second)
		h, err := x.awaitLeader().d.Read(x.t.Context())
		is.NoErr(err)
		is.Equal(h.Document.Number, uint64(2))
	})
}

// TestAcknowledgedChangesSurvivePowerLoss crashes every disk right after an acknowledgement. Changes that
// were acknowledged before their sync would be lost.
func TestAcknowledgedChangesSurvivePowerLoss(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		for round := uint64(1); round <= 5; round++ {
			x.putDocument(round)
			is.NoErr(x.announce("b1", false))
			x.losePower()
			for _, ip := range x.ips {
				x.startReplica(ip, false)
			}
			h, err := x.awaitLeader().d.Read(x.t.Context())
			is.NoErr(err)
			is.Equal(h.Document.Number, round)
		}
	})
}

// TestAcknowledgedChangesSurviveLossOfTwoDisks replaces two of five disks, including the leader's, right
// after an acknowledgement, while the other replicas lose power.
func TestAcknowledgedChangesSurviveLossOfTwoDisks(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		for round := uint64(1); round <= 4; round++ {
			x.putDocument(round)
			lost := []string{x.awaitLeader().ip}
			for _, ip := range x.ips {
				if ip != lost[0] {
					lost = append(lost, ip)
					break
				}
			}
			x.losePower()
			for _, ip := range x.ips {
				if slices.Contains(lost, ip) {
					x.replaceDisk(ip)
				}
				x.startReplica(ip, false)
			}
			h, err := x.awaitLeader().d.Read(x.t.Context())
			is.NoErr(err)
			is.Equal(h.Document.Number, round)
			time.Sleep(4 * time.Second) // the replaced disks are up to date
		}
	})
}

// TestAcknowledgedChangeSurvivesOnOneDisk: only the leader and two followers hold an acknowledged
// change. The leader and one of the two lose their disks while all other machines lose power, including
// non-voting replicas and gateways. The change must survive on the one disk that is left.
func TestAcknowledgedChangeSurvivesOnOneDisk(t *testing.T) {
	withFleet(t, 7, func(x *fleet) { // five of them vote
		is := is.New(x.t)
		x.startGateway("10.0.2.1")
		for round := uint64(1); round <= 8; round++ {
			leader := x.awaitLeader()
			voters := x.voters()
			is.Equal(len(voters), 5)
			followers := slices.DeleteFunc(voters, func(ip string) bool { return ip == leader.ip })
			x.rng.Shuffle(len(followers), func(i, j int) { followers[i], followers[j] = followers[j], followers[i] })
			for _, ip := range followers[2:] {
				x.net.Cut(ip) // these do not receive the change
			}
			slow := x.nodes[followers[1]].disk // the only copy that will be left: the change must not be acknowledged before its sync
			slow.SetSyncTime(50 * time.Millisecond)
			x.putDocument(round)
			slow.SetSyncTime(0)
			lost := []string{leader.ip, followers[0]}
			x.losePower()
			x.gateways["10.0.2.1"].kill()
			for _, ip := range followers[2:] {
				x.net.Restore(ip)
			}
			for _, ip := range x.ips {
				if slices.Contains(lost, ip) {
					x.replaceDisk(ip)
				}
				x.startReplica(ip, false)
			}
			g := x.startGateway("10.0.2.1")
			h, err := x.awaitLeader().d.Read(x.t.Context())
			is.NoErr(err)
			is.Equal(h.Document.Number, round)
			time.Sleep(8 * time.Second) // the replaced disks are up to date
			is.Equal(g.DocumentNumber(), round)
		}
	})
}

func TestDepartureIsPermanent(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		g := x.startGateway("10.0.2.1")
		x.putDocument(1)
		is.NoErr(x.announce("b1", false))
		is.NoErr(x.announce("b2", false))
		time.Sleep(100 * time.Millisecond)
		is.Equal(g.Servers(), []string{"b1", "b2"})
		is.NoErr(x.announce("b1", true))
		time.Sleep(20 * time.Millisecond) // the one-way latency is 1.5 ms
		is.Equal(g.Servers(), []string{"b2"})
		is.NoErr(x.announce("b1", false)) // a late announcement is acknowledged, without effect
		time.Sleep(time.Second)
		is.Equal(g.Servers(), []string{"b2"})
		x.awaitLeader().kill() // a new leader must also reject it
		is.NoErr(x.announce("b1", false))
		is.NoErr(x.announce("b2", false))
		time.Sleep(2 * time.Second)
		is.Equal(g.Servers(), []string{"b2"})
	})
}

func TestInvalidAnnouncementIsRefused(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		err := x.awaitLeader().d.Announce(x.t.Context(), registry.Announcement{
			Registration: protocol.Registration{ID: "b1", Pool: "p", Address: "nowhere"},
		})
		is.New(x.t).True(errors.As(err, new(registry.InvalidAnnouncement)))
	})
}

// TestGatewaysReceiveNewDocuments checks that a document is in force at every gateway soon after its
// acknowledgement, also when leaders are killed.
func TestGatewaysReceiveNewDocuments(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		for _, ip := range []string{"10.0.2.1", "10.0.2.2", "10.0.2.3"} {
			x.startGateway(ip)
		}
		time.Sleep(time.Second)
		for number := uint64(1); number <= 4; number++ {
			x.putDocument(number)
			time.Sleep(50 * time.Millisecond)
			for _, g := range x.gateways {
				is.Equal(g.g.DocumentNumber(), number)
			}
			l := x.awaitLeader()
			l.kill()
			x.putDocument(number + 100*number) // at the next leader
			acked := time.Now()
			for !allGatewaysHave(x, number+100*number) {
				time.Sleep(10 * time.Millisecond)
			}
			is.True(time.Since(acked) < 1500*time.Millisecond)
			x.startReplica(l.ip, false)
			time.Sleep(2 * time.Second)
			number += 100 * number
		}
	})
}

func allGatewaysHave(x *fleet, number uint64) bool {
	for _, g := range x.gateways {
		if g.g.DocumentNumber() != number {
			return false
		}
	}
	return true
}

// TestGatewayKeepsServersAcrossLeaderChange: a new leader's list is incomplete at first. Gateways must
// not drop the servers that it lacks.
func TestGatewayKeepsServersAcrossLeaderChange(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		g := x.startGateway("10.0.2.1")
		x.putDocument(1)
		is.NoErr(x.announce("b1", false))
		time.Sleep(100 * time.Millisecond)
		l := x.awaitLeader()
		l.kill()
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(g.Servers(), []string{"b1"})
		}
	})
}

// TestServersSurvivePowerLoss: after all machines have lost power, gateways must get the backend
// servers from the log, before these announce themselves again.
func TestServersSurvivePowerLoss(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		is.NoErr(x.announce("b1", false))
		is.NoErr(x.announce("b2", false))
		is.NoErr(x.announce("b1", true))
		time.Sleep(time.Second)
		x.losePower()
		for _, ip := range x.ips {
			x.startReplica(ip, false)
		}
		g := x.startGateway("10.0.2.1")
		time.Sleep(3 * time.Second)
		is.Equal(g.DocumentNumber(), uint64(1))
		is.Equal(g.Servers(), []string{"b2"})
	})
}

// TestGatewayLeavesPartitionedLeader: the link to a leader that is partitioned off silently stays open.
// The gateway must detect this and find the next leader.
func TestGatewayLeavesPartitionedLeader(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		g := x.startGateway("10.0.2.1")
		x.putDocument(1)
		time.Sleep(time.Second)
		is.Equal(g.DocumentNumber(), uint64(1))
		old := x.awaitLeader()
		x.net.Cut(old.ip)
		time.Sleep(2 * time.Second)
		x.putDocument(2)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(g.DocumentNumber(), uint64(2))
	})
}

// TestGatewayStartsWithOneReachableSeed starts a gateway that can reach only one of its seeds, which is
// not the leader.
func TestGatewayStartsWithOneReachableSeed(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		x.net.Cut("10.0.1.1")
		x.net.Cut("10.0.1.2")
		x.awaitLeader()
		g := x.startGateway("10.0.2.1")
		time.Sleep(5 * time.Second)
		is.Equal(g.DocumentNumber(), uint64(1))
	})
}

// TestReplicaReplacement replaces a replica by an empty one at another address. The group must then
// tolerate two more losses.
func TestReplicaReplacement(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		x.nodes["10.0.1.5"].kill()
		delete(x.nodes, "10.0.1.5")
		x.ips = slices.DeleteFunc(x.ips, func(ip string) bool { return ip == "10.0.1.5" })
		x.addReplica("10.0.1.9", false)
		time.Sleep(4 * time.Second)
		x.nodes["10.0.1.1"].kill()
		x.nodes["10.0.1.2"].kill()
		x.putDocument(2)
		h, err := x.awaitLeader().d.Read(x.t.Context())
		is.NoErr(err)
		is.Equal(h.Document.Number, uint64(2))
	})
}

// TestFullDiskStopsTheReplica: a replica that cannot write must not acknowledge, and the others
// must continue.
func TestFullDiskStopsTheReplica(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		l := x.awaitLeader()
		l.disk.SetFreeSpace(0)
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		defer cancel()
		is.True(l.d.Put(ctx, testDocument(2)) != nil)
		<-l.d.Done()
		is.True(l.d.Err() != nil)
		x.putDocument(3)
	})
}

func TestStopTransfersLeadership(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		l := x.awaitLeader()
		began := time.Now()
		l.d.Stop(x.t.Context())
		is.True(time.Since(began) < 500*time.Millisecond)
		time.Sleep(200 * time.Millisecond) // less than an election would take
		next := x.leader()
		is.True(next != nil && next != l)
	})
}
