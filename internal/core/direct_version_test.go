package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// streamEvents is the number of events of a stream, and streamGap the time between
	// two of them.
	streamEvents = 10
	streamGap    = 200 * time.Millisecond
	// maxMixedStreams is how many streams may hold events of two software versions.
	maxMixedStreams = 2
	// maxClientTries is how often a client sends a stream.
	maxClientTries = 2
)

// fleetStream is a stream of a resumable route, as its client sees it.
type fleetStream struct {
	fleet *directFleet
	// first is the ID of the request that brought the first event, and event the number
	// of the last one.
	first    string
	event    int64
	versions []string
	tries    int
	// resumed and continued report whether the client has taken the stream up, and got
	// another event then.
	resumed, continued bool
	open               *fleetRequest
}

// openStreams makes clients open streams at random entries until the given time has
// passed.
func (f *directFleet) openStreams(perSecond float64, d time.Duration) *[]*fleetStream {
	end := f.now + d
	var list []*fleetStream
	f.every(time.Duration(float64(time.Second)/perSecond), func() bool {
		s := &fleetStream{fleet: f}
		list = append(list, s)
		s.send()
		return f.now < end
	})
	return &list
}

func (s *fleetStream) send() {
	f := s.fleet
	f.seq++
	s.tries++
	id := fmt.Sprint("s", f.seq)
	r := &fleetRequest{at: f.now, stream: s, DirectRequestArrived: msg.DirectRequestArrived{
		Req: msg.RequestID(id), CallerID: id, Host: "h", Method: "POST", Path: "/talk/x", BodyHash: f.rand.Uint64(),
		Timeout: 5 * time.Second, PromptTokens: 1000, MaxTokens: 100, LastEvent: s.event, Resumes: s.first,
		Segments: []msg.PromptSegment{{ID: 900 + uint64(f.seq%max(f.sharedSegments, 1)), Tokens: 500}, {ID: f.rand.Uint64(), Tokens: 500}},
	}}
	s.open = r
	s.resumed = s.resumed || s.event > 0
	e := f.entries[f.rand.IntN(len(f.entries))]
	if e.reducer == nil { // The client finds no daemon and tries again.
		s.tries--
		f.after(200*time.Millisecond, s.send)
		return
	}
	e.arrived[r.Req] = r
	e.step(r.DirectRequestArrived)
}

// receive delivers an event of a target to the client.
func (s *fleetStream) receive(r *fleetRequest, version string) {
	if s.open != r {
		return
	}
	if s.event == 0 {
		s.first = r.CallerID
	}
	s.continued = s.continued || s.resumed
	s.event++
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

// breakOff ends a request without a complete response. The client of a stream takes it
// up again.
func (r *fleetRequest) breakOff() {
	if r == nil || r.stream == nil || r.stream.open != r {
		return
	}
	s := r.stream
	s.open = nil
	if s.tries < maxClientTries {
		s.fleet.after(50*time.Millisecond, s.send)
	}
}

func (r *fleetRequest) finish() {
	if r != nil && r.stream != nil && r.stream.open == r {
		r.stream.open = nil
	}
}

// breakStreams breaks off the streams that are open at an entry.
func (e *fleetEntry) breakStreams() {
	for _, id := range slices.Sorted(maps.Keys(e.arrived)) {
		e.arrived[id].breakOff()
	}
}

// runStream makes the target send the events of a stream that the client lacks.
func (t *fleetTarget) runStream(j *fleetJob) {
	f := t.fleet
	id := j.start.Attempt
	j.event = j.start.Spec.LastEvent
	version := t.instance.Version
	f.every(streamGap, func() bool {
		if t.jobs[id] != j {
			return false
		}
		if j.event == j.start.Spec.LastEvent {
			j.request.began = true
			j.report(msg.DirectAttemptStarted{Attempt: id})
		}
		j.event++
		j.request.stream.receive(j.request, version)
		if j.event < streamEvents {
			return true
		}
		delete(t.jobs, id)
		t.respond(j, msg.DirectDone, "")
		return false
	})
}

// interrupt delivers the end of a job whose response is cut short.
func (j *fleetJob) interrupt() {
	state := msg.ResponseNone
	if j.event > j.start.Spec.LastEvent {
		state = msg.ResponseStream
	}
	j.report(msg.DirectAttemptEnded{Attempt: j.start.Attempt, Result: msg.DirectInterrupted, LastEvent: j.event, Response: state})
}

// replacement is a change of engines to another version: the new engine starts first, the
// old one then drains and leaves.
type replacement struct {
	version string
	// gap is the time between two engines, and drain that from the start of the new engine
	// until the old one leaves.
	gap, drain time.Duration
}

// replaceTargets replaces every nth engine by one of another version.
func (f *directFleet) replaceTargets(version string, n int) {
	f.replace(replacement{version, 200 * time.Millisecond, 6 * time.Second}, n)
}

func (f *directFleet) replace(r replacement, n int) {
	for i, old := range slices.Clone(f.targets) {
		if old.instance.Service != "llm" || old.instance.Draining || i%n != 0 {
			continue
		}
		f.after(time.Duration(i)*r.gap, func() {
			f.seq++
			in := old.instance
			in.Target, in.Addr = msg.TargetID(fmt.Sprint("n", f.seq)), fmt.Sprintf("10.1.0.%d:1", f.seq)
			in.Version, in.Role = r.version, msg.RoleDecode
			f.addTarget(in)
			old.instance.Draining = true
			f.after(r.drain, func() { old.gone = true })
		})
	}
}

// disturb crashes one engine in five and restarts one entry in three, all at once.
func (f *directFleet) disturb() {
	for i, t := range f.targets {
		if t.instance.Service == "llm" && !t.down && !t.gone && i%5 == 2 {
			t.crash()
		}
	}
	for i, e := range f.entries {
		if i%3 == 1 {
			e.start()
		}
	}
}

// checkVersions checks the versions of the streams, and that streams were taken up.
func checkVersions(t *testing.T, f *directFleet, streams []*fleetStream) {
	t.Helper()
	mixed, began, resumed, continued := 0, 0, 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.event > 0 {
			began++
		}
		if s.resumed {
			resumed++
		}
		if s.continued {
			continued++
		}
	}
	t.Logf("%d of %d streams began, %d of %d went on, %d of two versions; refused %v", began, len(streams), continued, resumed, mixed, f.refusals)
	if mixed > maxMixedStreams {
		t.Errorf("%d streams hold events of two software versions", mixed)
	}
	if resumed < 12 {
		t.Fatalf("only %d streams were taken up", resumed)
	}
	if continued*len(streams)*2 < began*resumed {
		t.Errorf("streams that are taken up go on less than half as often as new ones begin")
	}
}

// Targets of two software versions serve side by side, and what they write does not fit
// together.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, engines int }{{4, 18}, {6, 8}, {26, 47}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			t.Parallel()
			f := newDirectFleet(t, size.entries, size.engines)
			streams := f.openStreams(40, 30*time.Second)
			f.replaceTargets("v2", 2)
			for range 4 {
				f.run(6500 * time.Millisecond)
				f.disturb()
			}
			f.run(6 * time.Second)
			checkVersions(t, f, *streams)
		})
	}
}

// A change of version is rolled back while streams of both versions are open.
func TestStreamGoesOnAtItsVersionThroughRollback(t *testing.T) {
	t.Parallel()
	f := newDirectFleet(t, 4, 18)
	streams := f.openStreams(40, 30*time.Second)
	for _, version := range []string{"v2", "v1", "v3"} {
		f.replaceTargets(version, 2)
		f.run(5 * time.Second)
		f.disturb()
		f.run(5 * time.Second)
	}
	checkVersions(t, f, *streams)
}

// Streams went on at engines that had started again in place with another version, which the
// list did not show: during an outage of the store, or in the moments after the restart.
func TestStreamGoesOnAtItsVersionThroughRestartsInPlace(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name             string
		entries, engines int
		seeds            uint64
		storeAway, gap   time.Duration
	}{
		{"store away", 4, 18, restartSeeds, 4500 * time.Millisecond, 200 * time.Millisecond},
		{"store away, many daemons", 26, 47, 1, 4500 * time.Millisecond, 100 * time.Millisecond},
		{"store there", 4, 18, restartSeeds, 0, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var total versionCounts
			for seed := range c.seeds {
				f := newSeededFleet(t, c.entries, c.engines, seed+1)
				f.sharedSegments = 97 // Each stands in few of the prompts that the restarts break off.
				f.run(historyTime)
				streams := f.openStreams(40, 3*releaseGap)
				for _, version := range []string{"v2", "v3"} {
					f.storeDownUntil = f.now + c.storeAway
					f.restartInPlace(version, c.gap)
					f.run(releaseGap)
				}
				f.run(2 * releaseGap)
				total.add(*streams)
			}
			t.Logf("%+v", total)
			if total.mixed > 0 {
				t.Errorf("%d streams hold events of two software versions", total.mixed)
			}
			if total.resumed < 100 {
				t.Fatalf("only %d streams were taken up", total.resumed)
			}
		})
	}
}

// restartInPlace restarts the engines one after the other with another version, under their
// IDs and at their addresses.
func (f *directFleet) restartInPlace(version string, gap time.Duration) {
	for i, t := range f.targets {
		if t.instance.Service == "llm" {
			f.after(time.Duration(i)*gap, func() { t.restart(200*time.Millisecond, version) })
		}
	}
}

// restartOfAll is a way in which all entry daemons go down during releases.
type restartOfAll struct {
	name    string
	entries int
	// releases are the releases, which begin releaseGap apart, and each of which the kills
	// follow after the given times.
	releases []replacement
	kills    []time.Duration
	// downtime is how long the daemons are gone, and storeAway how long the store is away
	// from each kill on. If rewinds is set, it then continues from an older copy.
	downtime, storeAway time.Duration
	rewinds             bool
}

const (
	// releaseGap is the time from one release to the next, and historyTime the time after
	// which the record of a new fleet is complete.
	releaseGap  = 14 * time.Second
	historyTime = 22 * time.Second
	// restartSeeds is the number of fleets that go through the same restarts.
	restartSeeds = 4
)

// run plays the restarts with several seeds and returns the sum of the counts.
func (c restartOfAll) run(t *testing.T) versionCounts {
	var total versionCounts
	for seed := range uint64(restartSeeds) {
		f := newSeededFleet(t, c.entries, 18, seed+1)
		f.run(historyTime)
		streams := f.openStreams(40, time.Duration(len(c.releases)+1)*releaseGap)
		for _, r := range c.releases {
			began := f.now
			f.replace(r, 1)
			for _, at := range c.kills {
				f.run(began + at + time.Duration(seed)*130*time.Millisecond - f.now)
				f.snapshot = f.objects.Snapshot()
				f.killAll(c.downtime)
				f.storeDownUntil = f.now + c.storeAway
				if c.rewinds {
					f.rewind()
				}
			}
			f.run(began + releaseGap - f.now)
		}
		f.run(releaseGap)
		total.add(*streams)
	}
	return total
}

// All entry daemons go down at once, at many moments of a release, and come back. The
// streams that broke off are taken up at daemons that know nothing of them.
func TestStreamGoesOnAtItsVersionAfterRestartOfAll(t *testing.T) {
	t.Parallel()
	slow := func(v string) replacement { return replacement{v, 200 * time.Millisecond, 6 * time.Second} }
	quick := func(v string) replacement { return replacement{v, 20 * time.Millisecond, 300 * time.Millisecond} }
	s := time.Second
	for _, c := range []restartOfAll{
		{name: "release", entries: 4, releases: []replacement{slow("v2")}, kills: []time.Duration{3 * s, 6 * s, 10 * s}, downtime: s},
		{name: "many daemons", entries: 26, releases: []replacement{slow("v2")}, kills: []time.Duration{3 * s, 6 * s}, downtime: s / 2},
		{name: "rolled back", entries: 4, releases: []replacement{slow("v2"), slow("v1")}, kills: []time.Duration{4 * s, 11 * s}, downtime: s},
		{name: "old targets have just left", entries: 4, releases: []replacement{quick("v2"), quick("v3"), quick("v2")}, kills: []time.Duration{s}, downtime: s},
		{name: "quick and rolled back", entries: 4, releases: []replacement{quick("v2"), quick("v1")}, kills: []time.Duration{s, 3 * s}, downtime: s / 2},
		{name: "store away", entries: 4, releases: []replacement{quick("v2"), slow("v3")}, kills: []time.Duration{s}, downtime: s, storeAway: 1800 * time.Millisecond},
		{name: "store rewound", entries: 4, releases: []replacement{quick("v2"), slow("v3")}, kills: []time.Duration{s}, downtime: s, storeAway: s, rewinds: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			total := c.run(t)
			t.Logf("%+v", total)
			if total.mixed > 0 {
				t.Errorf("%d streams hold events of two software versions", total.mixed)
			}
			if total.resumed < 150 {
				t.Fatalf("only %d streams were taken up", total.resumed)
			}
			sound := c.storeAway == 0 && c.releases[0].drain > time.Second // The old version still serves.
			if sound && total.continued*2 < total.resumed {
				t.Errorf("%d of %d streams that are taken up go on", total.continued, total.resumed)
			}
		})
	}
}

// versionCounts counts streams.
type versionCounts struct{ began, resumed, continued, mixed int }

func (c *versionCounts) add(streams []*fleetStream) {
	count := func(n *int, ok bool) {
		if ok {
			*n++
		}
	}
	for _, s := range streams {
		count(&c.began, s.event > 0)
		count(&c.resumed, s.resumed)
		count(&c.continued, s.continued)
		count(&c.mixed, len(s.versions) > 1)
	}
}
