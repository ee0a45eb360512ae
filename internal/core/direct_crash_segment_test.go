package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// crashingShare is the fraction of the prompts that hold crashingSegment.
	crashingShare = 0.02
	// sharedFirst is the ID of the first segment of these prompts, which sound ones
	// share.
	sharedFirst = 77_777
	// sharedShare is the fraction of the prompts that are sound and begin with
	// sharedFirst.
	sharedShare = 0.04
)

// segmentLoad is a load of prompts of which some crash their targets.
type segmentLoad struct {
	fleet *directFleet
	// crashingShare is the fraction of the prompts that hold crashingSegment, and
	// crashingUntil when the last of them is sent.
	crashingShare float64
	crashingUntil time.Duration
	// shared holds the sound prompts that begin with sharedFirst, and others the other
	// sound ones.
	shared, others []*fleetRequest
}

// loadSegments makes prompts arrive at random entries for d, of which some hold
// crashingSegment between two instants from now on.
func (f *directFleet) loadSegments(perSecond float64, d, from, until time.Duration) *segmentLoad {
	l := &segmentLoad{fleet: f, crashingShare: crashingShare, crashingUntil: f.now + until}
	from += f.now
	end := f.now + d
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		l.send(f.now >= from && f.now < l.crashingUntil)
		f.after(time.Duration(f.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	return l
}

func (l *segmentLoad) send(crashing bool) {
	f := l.fleet
	f.seq++
	own := msg.PromptSegment{ID: f.rand.Uint64(), Tokens: 1000}
	ev := msg.DirectRequestArrived{
		Req: msg.RequestID(fmt.Sprint(f.seq)), CallerID: fmt.Sprint(f.seq), Host: "h", Method: "POST", Path: "/chat/x",
		BodyHash: own.ID, Timeout: 5 * time.Second, PromptTokens: 3000, MaxTokens: 100,
	}
	session := msg.PromptSegment{ID: 1 + f.rand.Uint64N(60), Tokens: 1000}
	e := f.entries[f.rand.IntN(len(f.entries))]
	draw := f.rand.Float64()
	switch {
	case draw < l.crashingShare && crashing:
		ev.Segments = []msg.PromptSegment{{ID: sharedFirst, Tokens: 1000}, {ID: crashingSegment, Tokens: 1000}, own}
		e.deliver(ev)
	case draw < l.crashingShare+sharedShare:
		ev.Segments = []msg.PromptSegment{{ID: sharedFirst, Tokens: 1000}, own}
		l.shared = append(l.shared, e.deliver(ev))
	default:
		ev.Segments = []msg.PromptSegment{{ID: 60 + session.ID%3, Tokens: 1000}, session, own}
		l.others = append(l.others, e.deliver(ev))
	}
}

// beginShare returns the fraction of the requests sent between two instants whose
// response began.
func beginShare(list []*fleetRequest, from, until time.Duration) float64 {
	sent, began := 0, 0
	for _, r := range list {
		if r.at < from || r.at >= until {
			continue
		}
		sent++
		if r.began {
			began++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(began) / float64(sent)
}

// check checks what reached targets, and that sound requests are served beside the
// others.
func (l *segmentLoad) check() {
	f := l.fleet
	f.t.Helper()
	f.checkLateSends(crashesOfSegment)
	if len(f.crashes) == 0 {
		f.t.Fatal("no target crashed")
	}
	from := f.crashes[min(len(f.crashes), crashesOfSegment)-1] + 2*fleetContact
	for name, list := range map[string][]*fleetRequest{"shared": l.shared, "others": l.others} {
		before := beginShare(list, 0, f.crashes[0]-time.Second)
		beside := beginShare(list, from, l.crashingUntil)
		f.t.Logf("%s: %.2f began before, %.2f beside crashing requests", name, before, beside)
		if beside < before/2 {
			f.t.Errorf("%s: sound requests begin less than half as often as before", name)
		}
	}
}

// Requests that share the segment that crashes their targets have nothing else in
// common with each other.
func TestCrashingSegmentIsStopped(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		entries, engines int
		perSecond        float64
	}{{4, 18, 60}, {4, 18, 150}, {26, 47, 250}} {
		for _, harmless := range []bool{true, false} {
			t.Run(fmt.Sprint(size.entries, size.perSecond, harmless), func(t *testing.T) {
				t.Parallel()
				f := newDirectFleet(t, size.entries, size.engines)
				f.harmlessPrefill = harmless
				l := f.loadSegments(size.perSecond, 30*time.Second, 4*time.Second, 26*time.Second)
				f.run(32 * time.Second)
				l.check()
			})
		}
	}
}

// runSegments plays 22 s of prompts that crash targets, and calls disturb with the fleet
// after the first of them.
func runSegments(t *testing.T, entries, engines int, perSecond float64, disturb func(f *directFleet)) {
	t.Helper()
	t.Parallel()
	f := newDirectFleet(t, entries, engines)
	f.harmlessPrefill = true
	l := f.loadSegments(perSecond, 30*time.Second, 4*time.Second, 26*time.Second)
	f.run(4 * time.Second)
	disturb(f)
	f.run(l.crashingUntil + 4*time.Second - f.now)
	l.check()
}

// Records and clearances travel by datagrams, any of which may be lost.
func TestCrashingSegmentIsStoppedWithLostDatagrams(t *testing.T) {
	runSegments(t, 26, 47, 200, func(f *directFleet) { f.datagramLoss = 0.5 })
}

// The end of an unframed response looks the same whether the target is done or gone.
func TestCrashingSegmentIsStoppedWithUnframedResponses(t *testing.T) {
	for _, share := range []float64{0.5, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			runSegments(t, 4, 18, 100, func(f *directFleet) { f.unframed = share })
		})
	}
}

// Entries restart one after the other, and begin without the records.
func TestCrashingSegmentIsStoppedAcrossRestarts(t *testing.T) {
	runSegments(t, 4, 18, 100, func(f *directFleet) {
		for i, e := range f.entries {
			f.after(time.Duration(i+1)*1500*time.Millisecond, e.start)
		}
	})
}

// The store loses the records and is away while all entries restart one after the other.
func TestCrashingSegmentIsStoppedWithOlderStore(t *testing.T) {
	runSegments(t, 4, 18, 100, func(f *directFleet) {
		f.snapshot = f.objects.Snapshot()
		f.run(6 * time.Second)
		f.rewind()
		f.run(2 * time.Second)
		f.storeDownUntil = f.now + 2*time.Second
		for i, e := range f.entries {
			f.after(time.Duration(i)*2*time.Second, e.start)
		}
	})
}

// crashSeeds is the number of seeds with which tests of ordinary crashes are played.
const crashSeeds = 24

// playOrdinaryCrashes plays prompts of which none crashes targets, while crash makes
// targets go down for 35 s, and checks that hardly any prompt is refused for that.
func playOrdinaryCrashes(t *testing.T, crash func(f *directFleet)) {
	t.Parallel()
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			f := newSeededFleet(t, 4, 18, seed+1)
			l := f.loadSegments(100, 40*time.Second, 0, 0)
			f.run(3 * time.Second)
			end := f.now + 35*time.Second
			for f.now < end {
				crash(f)
			}
			t.Logf("refused %v, answered %d", f.refusals, f.answered)
			if n := f.refusals["poison"]; n > len(l.others)/100 {
				t.Errorf("%d of %d prompts were refused for crashes that they did not cause", n, len(l.others))
			}
		})
	}
}

// Where such prompts are many, all engines that decode go down within a moment. Those that
// take their place must not follow.
func TestFrequentCrashingSegmentIsStopped(t *testing.T) {
	t.Parallel()
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			f := newSeededFleet(t, 6, 40, seed+1)
			f.harmlessPrefill = true
			l := f.loadSegments(240, 20*time.Second, 4*time.Second, 16*time.Second)
			l.crashingShare = 0.3
			decoding := f.decoding()
			f.run(20 * time.Second)
			f.checkLateSends(crashesOfSegment)
			if len(f.crashes) > decoding {
				t.Errorf("%d crashes, though %d engines decoded at first", len(f.crashes), decoding)
			}
		})
	}
}

// decoding returns the number of engines that decode.
func (f *directFleet) decoding() int {
	n := 0
	for _, t := range f.targets {
		if t.instance.Role == msg.RoleDecode {
			n++
		}
	}
	return n
}

// Targets that crash by themselves must not get the prompts refused that they ran.
func TestOrdinaryCrashesBlockNoSegment(t *testing.T) {
	playOrdinaryCrashes(t, func(f *directFleet) {
		for i := range f.targets[:18] {
			if target := f.targets[i]; !target.down && f.rand.IntN(3) == 0 {
				target.crash()
			}
		}
		f.run(3500 * time.Millisecond)
	})
}

// Targets that crash one by one, at any moment, show no more about what they ran.
func TestScatteredCrashesBlockNoSegment(t *testing.T) {
	playOrdinaryCrashes(t, func(f *directFleet) {
		if target := f.targets[f.rand.IntN(18)]; !target.down {
			target.crash()
		}
		f.run(time.Duration(f.rand.ExpFloat64() * float64(400*time.Millisecond)))
	})
}

// A segment that crashes targets is found beside targets that crash by themselves.
func TestCrashingSegmentIsStoppedBesideOtherCrashes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			f := newSeededFleet(t, 4, 18, seed+1)
			f.harmlessPrefill = true
			l := f.loadSegments(100, 30*time.Second, 4*time.Second, 26*time.Second)
			end := f.now + 30*time.Second
			for f.now < end {
				if target := f.targets[f.rand.IntN(18)]; !target.down {
					target.crash()
				}
				f.run(time.Duration(f.rand.ExpFloat64() * float64(2*time.Second)))
			}
			l.check()
			if n := f.refusals["poison"]; n > len(l.others)/10 {
				t.Errorf("%d prompts were refused for crashes, beside %d that did not cause them", n, len(l.others))
			}
		})
	}
}
