package core

import (
	"fmt"
	"testing"
	"time"
)

// maxLateSends is how often requests that crash their targets may reach targets later
// than fleetContact after the crash that decides.
const maxLateSends = 3

// crashesOfRequest is the crash after which the same request must be stopped, and
// crashesOfSegment that after which requests with a segment in common must be.
const (
	crashesOfRequest = 3
	crashesOfSegment = 5
)

// sendCrashing sends the request that crashes its targets to random entries.
func (f *directFleet) sendCrashing(interval, d time.Duration) {
	end := f.now + d
	f.every(interval, func() bool {
		f.send(crashingBody, true)
		return f.now < end
	})
}

// lateSends returns how often crashing requests reached a target later than
// fleetContact after the given crash, the first being 1.
func (f *directFleet) lateSends(crash int) int {
	n := 0
	for _, at := range f.crashingSends {
		if len(f.crashes) >= crash && at > f.crashes[crash-1]+fleetContact {
			n++
		}
	}
	return n
}

// checkLateSends checks what reached targets later than fleetContact after the given
// crash.
func (f *directFleet) checkLateSends(crash int) {
	f.t.Helper()
	n := f.lateSends(crash)
	f.t.Logf("%d crashes, %d sends, %d of them late; refused %v, answered %d", len(f.crashes), len(f.crashingSends), n, f.refusals, f.answered)
	if n > maxLateSends {
		f.t.Errorf("%d requests that crash targets were sent later than %s after crash %d, %d are allowed", n, fleetContact, crash, maxLateSends)
	}
}

// A daemon seldom sends two requests to one target in a large fleet, so that it
// does not learn by the second one that the target has crashed under the first.
func TestCrashingRunIsStoppedInLargeFleet(t *testing.T) {
	t.Parallel()
	testCrashingPrompt(t, true)
}

// A prompt may crash its targets while they prefill it.
func TestCrashingPrefillIsStoppedInLargeFleet(t *testing.T) {
	t.Parallel()
	testCrashingPrompt(t, false)
}

// testCrashingPrompt checks fleets of two sizes.
func testCrashingPrompt(t *testing.T, harmlessPrefill bool) {
	for _, size := range []struct{ entries, engines int }{{4, 18}, {26, 47}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			t.Parallel()
			f := newDirectFleet(t, size.entries, size.engines)
			f.harmlessPrefill = harmlessPrefill
			f.load(150, 40*time.Second)
			f.sendCrashing(700*time.Millisecond, 40*time.Second)
			f.run(40 * time.Second)
			f.checkLateSends(crashesOfRequest)
		})
	}
}

// Crash records reach the other daemons by datagrams, any of which may be lost.
func TestCrashRecordsSurviveLostDatagrams(t *testing.T) {
	t.Parallel()
	f := newDirectFleet(t, 26, 47)
	f.load(150, 30*time.Second)
	f.datagramLoss = 0.6
	f.sendCrashing(300*time.Millisecond, 30*time.Second)
	f.run(30 * time.Second)
	f.checkLateSends(crashesOfRequest)
}

// A daemon that starts while the store is away must learn of earlier crashes soon.
func TestDaemonStartedInOutageLearnsOfCrashes(t *testing.T) {
	t.Parallel()
	f := newDirectFleet(t, 6, 18)
	f.load(100, 40*time.Second)
	f.sendCrashing(100*time.Millisecond, 40*time.Second)
	f.run(10 * time.Second)
	for _, e := range f.entries[:4] {
		f.storeDownUntil = f.now + 2*time.Second
		f.after(time.Second, e.start)
		f.run(7 * time.Second)
	}
	f.checkLateSends(crashesOfRequest)
}

// The store loses the records of crashes, and later all daemons restart at once, three
// times in a row.
func TestCrashRecordsSurviveOlderStore(t *testing.T) {
	t.Parallel()
	f := newDirectFleet(t, 6, 18)
	f.load(100, 60*time.Second)
	f.sendCrashing(100*time.Millisecond, 60*time.Second)
	f.snapshot = f.objects.Snapshot()
	f.run(10 * time.Second)
	for range 3 {
		f.rewind()
		f.run(10 * time.Second)
		for _, e := range f.entries {
			e.start()
		}
		f.run(5 * time.Second)
	}
	f.checkLateSends(crashesOfRequest)
}
