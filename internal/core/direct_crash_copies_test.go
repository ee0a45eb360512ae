package core

import (
	"fmt"
	"testing"
	"time"
)

// sendCopies sends copies of a few sound requests of the plain service until the given
// time has passed, and returns them.
func (f *directFleet) sendCopies(requests int, perSecond float64, d time.Duration) *[]*fleetRequest {
	end := f.now + d
	var list []*fleetRequest
	f.every(time.Duration(float64(time.Second)/perSecond), func() bool {
		list = append(list, f.send(uint64(len(list)%requests+1), false))
		return f.now < end
	})
	return &list
}

// Sound requests that many callers send alike were refused for an hour after one crash of
// all targets under them, since it counted once for each copy.
func TestCopiesOfSoundRequestAreServedAfterCrashOfTargets(t *testing.T) {
	t.Parallel()
	const before, recovery, after = 5 * time.Second, 8 * time.Second, 6 * time.Second
	for _, c := range []struct {
		entries int
		// gap is the time between the crashes of two targets, and perSecond the rate of the
		// copies of four requests.
		gap       time.Duration
		perSecond float64
	}{
		{4, 0, 150}, {26, 0, 150}, {4, 50 * time.Millisecond, 150}, {4, 400 * time.Millisecond, 150}, {4, 0, 20}, {103, 0, 300},
	} {
		t.Run(fmt.Sprint(c.entries, c.gap, c.perSecond), func(t *testing.T) {
			t.Parallel()
			f := newDirectFleet(t, c.entries, 4)
			copies := f.sendCopies(4, c.perSecond, before+recovery+after)
			f.run(before)
			i := time.Duration(0)
			for _, target := range f.targets {
				if target.instance.Service == "app" {
					f.after(i*c.gap, target.crash)
					i++
				}
			}
			f.run(recovery)
			begin, refused := f.now, f.refusals["poison"]
			f.run(after + time.Second)
			sent, answered := 0, 0
			for _, r := range *copies {
				if r.at < begin {
					continue
				}
				sent++
				if r.answeredAt > 0 {
					answered++
				}
			}
			t.Logf("%d of %d answered after the recovery; refused %v", answered, sent, f.refusals)
			if n := f.refusals["poison"] - refused; n > 0 {
				t.Errorf("%d sound requests were refused as poison after the recovery", n)
			}
			if answered*100 < sent*95 {
				t.Errorf("%d of %d requests were answered", answered, sent)
			}
		})
	}
}

// Copies of a request that crashes its targets may run at several of them at once, so that
// their crashes are not independent. It is still stopped.
func TestCrashingCopiesAreStopped(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		entries, engines, copies int
		gap                      time.Duration
	}{
		{4, 18, 6, 5 * time.Second}, {26, 47, 12, 5 * time.Second}, {26, 47, 12, 2 * time.Second}, {4, 18, 3, time.Second}, {103, 60, 12, 5 * time.Second},
	} {
		t.Run(fmt.Sprint(c.entries, c.copies, c.gap), func(t *testing.T) {
			t.Parallel()
			f := newDirectFleet(t, c.entries, c.engines)
			f.load(100, 40*time.Second)
			f.every(c.gap, func() bool {
				for range c.copies {
					f.send(crashingBody, true)
				}
				return f.now < 50*time.Second
			})
			f.run(40 * time.Second)
			f.checkLateSends(crashesOfRequest)
		})
	}
}
