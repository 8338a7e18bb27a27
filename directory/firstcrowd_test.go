// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file keeps the scenario in which the loop of lists and lost leaders was first seen: 40 gateways,
// 1,500 servers, and links that lists of 75 bytes a server take 5.8 s for all, or four times as long.
// One list is a large part of such a link (0.09 and 0.34 s of it).

const (
	firstGateways = 40
	firstServers  = 1500
	firstTake     = 5800 * time.Millisecond
)

// inFirstCrowd runs f in that scenario, with the servers announced.
func inFirstCrowd(t *testing.T, take time.Duration, f func(c *crowd)) {
	t.Parallel()
	rate := int(firstGateways * 75 * firstServers / take.Seconds())
	withPreparedFleet(t, voters, voters, func(x *fleet) {
		x.linkRate = float64(rate)
		for i := range voters {
			x.net.SetUplinkRate(fmt.Sprintf("10.0.1.%d", i+1), rate)
		}
	}, func(x *fleet) {
		c := &crowd{fleet: x, servers: firstServers}
		c.announceAll(1)
		x.putDocument(1)
		time.Sleep(2 * time.Second)
		f(c)
	})
}

// firstComesAtOnce: all gateways come at once; the leader stays, and documents are in force within a
// second.
func firstComesAtOnce(c *crowd, take time.Duration) {
	is := is.New(c.t)
	led := c.termsLed()
	c.come(firstGateways)
	time.Sleep(time.Second)
	c.documentsInTime()
	is.True(c.knowAll(take))
	is.Equal(c.termsLed(), led)
}

func TestFirstCrowdComesAtOnce(t *testing.T) {
	inFirstCrowd(t, firstTake, func(c *crowd) { firstComesAtOnce(c, firstTake) })
}

func TestFirstCrowdComesAtOnceOnSlowerLinks(t *testing.T) {
	inFirstCrowd(t, 4*firstTake, func(c *crowd) { firstComesAtOnce(c, 4*firstTake) })
}

// firstLosesItsLeader: three seconds after the leader is lost there is another one, and it stays.
func firstLosesItsLeader(c *crowd) {
	is := is.New(c.t)
	c.come(firstGateways)
	is.True(c.knowAll(time.Minute))
	time.Sleep(3 * time.Second)
	c.awaitLeader().kill()
	time.Sleep(3 * time.Second)
	led := c.termsLed()
	c.documentsInTime()
	is.True(c.knowAll(10 * time.Second))
	is.Equal(c.termsLed(), led)
}

func TestFirstCrowdLosesItsLeader(t *testing.T) {
	inFirstCrowd(t, firstTake, firstLosesItsLeader)
}

func TestFirstCrowdLosesItsLeaderOnSlowerLinks(t *testing.T) {
	inFirstCrowd(t, 4*firstTake, firstLosesItsLeader)
}
