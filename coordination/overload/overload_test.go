// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// fire returns the detector after a tick that was late by the given time.
func (d Detector) fire(late time.Duration) Detector { return d.Tick(d.lastTick+TickPeriod+late, 0) }

// fireUntil fires until the pressure is high, or is not any more, and returns the number of ticks before
// the last one.
func (d Detector) fireUntil(high bool, late time.Duration) (_ Detector, n int) {
	for d = d.fire(late); d.High != high; d = d.fire(late) {
		n++
	}
	return d, n
}

func TestPressureRisesAndFalls(t *testing.T) {
	is := is.New(t)
	d := New(time.Second)
	for range 1000 {
		d = d.fire(2 * time.Millisecond)
		is.True(!d.High)
		is.True(d.Admits(entitlement.Beyond))
	}
	d, rise := d.fireUntil(true, 80*time.Millisecond)
	is.True(!d.Admits(entitlement.Covered))
	is.True(d.Coalesce(0) > 0)
	is.True(rise < 5)
	d, fall := d.fireUntil(false, 0)
	is.True(d.Delay < delayShort)
	is.True(fall < 40)
}

// TestStarvedTimerFiresRarely checks that one tick that is seconds late has the effect of many late ones,
// and that it is forgotten soon afterwards.
func TestStarvedTimerFiresRarely(t *testing.T) {
	is := is.New(t)
	d := New(time.Second).fire(2 * time.Second)
	is.True(d.High)
	is.True(!d.Admits(entitlement.Covered))
	_, fall := d.fireUntil(false, 0)
	is.True(fall*int(TickPeriod) < int(700*time.Millisecond))
}

// TestAdmittedClassesByDelay checks which classes are admitted, and how long streams wait, at increasing
// delays.
func TestAdmittedClassesByDelay(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		delay                   time.Duration
		entitled, extra, beyond bool
		coalesce                time.Duration // with a gap of 300 ms
	}{
		{0, true, true, true, 0},
		{6 * time.Millisecond, true, true, true, 40 * time.Millisecond},
		{15 * time.Millisecond, true, true, false, 90 * time.Millisecond},
		{25 * time.Millisecond, true, false, false, 90 * time.Millisecond},
	} {
		d := Detector{Delay: tt.delay}
		is.True(d.Admits(entitlement.Covered))
		is.Equal(d.Admits(entitlement.Entitled), tt.entitled)
		is.Equal(d.Admits(entitlement.Extra), tt.extra)
		is.Equal(d.Admits(entitlement.Beyond), tt.beyond)
		is.Equal(d.Coalesce(300*time.Millisecond), tt.coalesce)
	}
	d := Detector{Delay: DelayTooLong + 1}
	is.True(!d.Admits(entitlement.Covered))
	is.True(!d.Admits(entitlement.Entitled))
}

// TestHigherClassesAreAdmittedFirst checks at all delays, rising or falling after high pressure, that a
// class is admitted only if all higher ones are.
func TestHigherClassesAreAdmittedFirst(t *testing.T) {
	classes := []entitlement.Class{entitlement.Covered, entitlement.Entitled, entitlement.Extra, entitlement.Beyond}
	for delay := time.Duration(0); delay <= 2*DelayTooLong; delay += time.Millisecond / 2 {
		for _, high := range []bool{false, true} {
			d := Detector{Delay: delay, High: high}
			for i, c := range classes[1:] {
				if better := classes[i]; d.Admits(c) && !d.Admits(better) {
					t.Errorf("delay %v, high %t: %v is admitted, %v is not", delay, high, c, better)
				}
			}
		}
	}
}

// TestLateAndUnready checks when one late tick makes the gateway late, and for how long it is not ready.
func TestLateAndUnready(t *testing.T) {
	is := is.New(t)
	start := time.Second
	d := New(start)
	is.True(!d.Late(start + TickPeriod + DelayLate))
	is.True(d.Late(start + TickPeriod + DelayLate + 1)) // the timer is overdue
	d = d.fire(time.Second)
	is.True(d.Late(d.lastTick))
	is.True(!d.Unready(d.lastTick)) // only from the next tick on
	d = d.fire(0)
	is.True(d.Unready(d.lastTick + unreadyFor - 1))
	is.True(!d.Unready(d.lastTick + unreadyFor))
}

// TestWaitingGoroutinesCountAsDelay checks that waiting goroutines count as a delay even if the timer is on time.
func TestWaitingGoroutinesCountAsDelay(t *testing.T) {
	is := is.New(t)
	d := New(time.Second)
	for range 50 {
		d = d.Tick(d.lastTick+TickPeriod, 80*time.Millisecond)
	}
	is.True(d.High)
	is.True(!d.Admits(entitlement.Covered))
}
