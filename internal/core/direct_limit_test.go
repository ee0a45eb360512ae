package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// limitWindow is the span over which the requests at a target are counted.
	limitWindow = 4 * time.Second
	// toldDelay is how long after it was told a process has to keep to a limit.
	toldDelay = 500 * time.Millisecond
)

// allowedAtLimit returns how many requests a target with a limit may get in limitWindow.
func allowedAtLimit(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// mostInWindow returns the largest number of requests that reached the target within
// limitWindow, from the given time on, from processes that it had told its limit.
func (t *fleetTarget) mostInWindow(from time.Duration) int {
	var counted []time.Duration
	most := 0
	for _, a := range t.arrivals {
		told, ok := t.told[a.from]
		if a.at < from || !ok || a.at < told+toldDelay {
			continue
		}
		counted = append(counted, a.at)
		for counted[0] <= a.at-limitWindow {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// arrivalsBetween returns the number of requests that reached the target in a period.
func (t *fleetTarget) arrivalsBetween(from, to time.Duration) int {
	n := 0
	for _, a := range t.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

// checkLimit checks the requests at a target that named a limit at the given time.
func (t *fleetTarget) checkLimit(named time.Duration) {
	f := t.fleet
	f.t.Helper()
	limit := t.notice.RequestLimit
	got := t.mostInWindow(named + fleetContact - limitWindow)
	from := named + fleetContact
	use := float64(t.arrivalsBetween(from, f.now)) / (limit * (f.now - from).Seconds())
	f.t.Logf("%s with limit %.1f: at most %d requests in %s, %d allowed; %.2f of the limit used", t.instance.Target, limit, got, limitWindow, allowedAtLimit(limit), use)
	if got > allowedAtLimit(limit) {
		f.t.Errorf("%s got %d requests in %s, %d are allowed", t.instance.Target, got, limitWindow, allowedAtLimit(limit))
	}
}

// A target that names a limit must get no more than it allows, from all daemons
// together.
func TestLimitedTargetsGetWhatTheyTake(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, engines int }{{4, 18}, {26, 47}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			t.Parallel()
			f := newDirectFleet(t, size.entries, size.engines)
			f.load(150, 40*time.Second)
			f.run(5 * time.Second)
			named := f.now
			limited := []*fleetTarget{f.targets[0], f.targets[1], f.targets[len(f.targets)-1]}
			for i, target := range limited {
				target.notice = msg.TargetNotice{RequestLimit: 4.3 + float64(i)}
			}
			f.run(30 * time.Second)
			for _, target := range limited {
				target.checkLimit(named)
			}
		})
	}
}

// minLimitUse is the part of the limits that must be put to use where callers ask for
// more.
const minLimitUse = 0.8

// What a service takes is put to use if all its targets name limits.
func TestLimitsAreUsedUnderLoad(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{6, 28} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint(entries, "/", seed+1), func(t *testing.T) {
				t.Parallel()
				useLimits(newSeededFleet(t, entries, 18, seed+1))
			})
		}
	}
}

// useLimits plays twice the load that the plain targets take, and checks what reaches
// them.
func useLimits(f *directFleet) {
	f.t.Helper()
	f.load(200, 40*time.Second)
	f.run(5 * time.Second)
	named := f.now
	var sum, arrived float64
	for _, target := range f.targets[18:] {
		target.notice = msg.TargetNotice{RequestLimit: 6}
		sum += target.notice.RequestLimit
	}
	f.run(30 * time.Second)
	from := named + fleetContact
	for _, target := range f.targets[18:] {
		target.checkLimit(named)
		arrived += float64(target.arrivalsBetween(from, f.now)) / (f.now - from).Seconds()
	}
	f.t.Logf("%.1f of %.0f requests a second put to use; refused %v", arrived, sum, f.refusals)
	if arrived < minLimitUse*sum {
		f.t.Errorf("%.1f of %.0f requests a second are put to use", arrived, sum)
	}
}

// Engines that name a limit while they decode must not bind what the others prefill.
func TestLimitedDecodeEnginesAreReplaced(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{4, 26} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			f := newDirectFleet(t, entries, 18)
			f.load(150, 40*time.Second)
			f.run(5 * time.Second)
			for _, target := range f.targets[:18] {
				if target.instance.Role == msg.RoleDecode {
					target.notice = msg.TargetNotice{RequestLimit: 4}
				}
			}
			f.run(15 * time.Second)
			clear(f.refusals)
			f.answered = 0
			f.run(18 * time.Second)
			refused := f.refusals["limited"] + f.refusals["no-target"] + f.refusals["overloaded"]
			t.Logf("answered %d, refused %v", f.answered, f.refusals)
			if refused > f.answered/50 {
				t.Errorf("%d requests are refused beside %d answers, though only some engines are limited", refused, f.answered)
			}
		})
	}
}
