package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

var testWall = time.Date(2026, 1, 10, 0, 0, 0, 0, time.UTC)

type part interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// world is a platform and the processes that use it.
type world struct {
	objects *coretest.Objects
	now     msg.Time
	nodes   []*node
	// reports holds what the usage interface accepted; different figures for
	// a window are refused.
	reports  map[reportKey]msg.UsageReport
	sent     int
	usageOut bool
	storeOut bool
}

type reportKey struct {
	account msg.AccountID
	window  time.Time
}

type node struct {
	world *world
	parts []part
	dead  bool
}

func newWorld() *world {
	return &world{objects: coretest.NewObjects(), reports: make(map[reportKey]msg.UsageReport)}
}

func (w *world) start(host string, kind msg.HostKind, parts ...part) *node {
	n := &node{world: w, parts: parts}
	w.nodes = append(w.nodes, n)
	n.step(msg.Started{Self: msg.Self{Host: msg.HostID(host), Kind: kind}, Incarnation: "1", Wall: testWall.Add(w.now)})
	n.step(msg.ConfigChanged{Index: manifest.NewIndex(&manifest.Manifest{Usage: manifest.Usage{Shards: 1}})})
	return n
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += msg.TickInterval
		for _, n := range w.nodes {
			n.step(msg.Tick{Wall: testWall.Add(w.now)})
		}
	}
}

func (n *node) step(ev msg.Event) {
	if n.dead {
		return
	}
	queue := []msg.Event{ev}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, p := range n.parts {
			for _, eff := range p.Step(n.world.now, queue[0]) {
				if done, ok := n.world.carryOut(eff); ok {
					queue = append(queue, done)
				}
			}
		}
	}
}

func (w *world) carryOut(eff msg.Effect) (msg.Event, bool) {
	if rep, ok := eff.(msg.ReportUsage); ok {
		return w.report(rep), true
	}
	if w.storeOut {
		return coretest.Failed(eff, msg.CallUnavailable)
	}
	return w.objects.Do(eff)
}

func (w *world) report(eff msg.ReportUsage) msg.Event {
	w.sent++
	if w.usageOut {
		return msg.UsageReported{Call: eff.Call, Status: msg.CallUnavailable}
	}
	k := reportKey{eff.Report.Account, eff.Report.Window}
	if old, ok := w.reports[k]; ok && old != eff.Report {
		return msg.UsageReported{Call: eff.Call, Status: msg.CallConflict}
	}
	w.reports[k] = eff.Report
	return msg.UsageReported{Call: eff.Call, Status: msg.CallOK}
}

func (n *node) lease(epoch msg.Epoch, held bool) {
	n.step(msg.LeaseChanged{Name: LeaseName(0), Held: held, Epoch: epoch, Until: n.world.now + time.Hour})
}

func (n *node) entryCounts(attempt string, generated int64) {
	n.step(msg.UsageCounted{Account: "a", Attempt: msg.AttemptID(attempt), Usage: msg.TokenUsage{Prompt: 10, Generated: generated}})
}

func (n *node) sideCounts(attempt string, generated int64) {
	id := msg.AttemptID(attempt)
	n.step(msg.AttemptOffered{Spec: msg.AttemptSpec{Attempt: id, Account: "a", Timeout: time.Minute}})
	n.step(msg.SideAttemptEnded{Attempt: id, Usage: msg.TokenUsage{Prompt: 10, Generated: generated}})
}

// total sums all accepted reports.
func (w *world) total() (requests, generated, late int64) {
	for _, r := range w.reports {
		requests += r.Requests
		generated += r.Usage.Generated + r.Late.Generated
		late += r.Late.Generated
	}
	return requests, generated, late
}

func (w *world) usual() (entry, side, reporter *node) {
	entry = w.start("e1", msg.HostEntry, NewRecorder(RecorderConfig{}))
	side = w.start("s1", msg.HostTarget, NewRecorder(RecorderConfig{}))
	reporter = w.start("e2", msg.HostEntry, NewReporter(ReporterConfig{}))
	w.advance(2 * time.Second)
	reporter.lease(1, true)
	return entry, side, reporter
}

func TestAttemptIsCountedOnceAsTheSideHasIt(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, side, _ := w.usual()
	entry.entryCounts("x", 4)
	side.sideCounts("x", 5)
	w.advance(5 * time.Minute)
	requests, generated, late := w.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(5))
	is.Equal(late, int64(0))
}

func TestLossOfOneEndLosesNothing(t *testing.T) {
	for _, dead := range []string{"entry", "side"} {
		t.Run(dead, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			entry, side, _ := w.usual()
			entry.entryCounts("x", 5)
			side.sideCounts("x", 5)
			entry.dead, side.dead = dead == "entry", dead == "side"
			w.advance(5 * time.Minute)
			requests, generated, _ := w.total()
			is.Equal(requests, int64(1))
			is.Equal(generated, int64(5))
		})
	}
}

func TestRecordThatComesLateIsCountedLate(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, _, _ := w.usual()
	w.advance(30 * time.Second)
	entry.entryCounts("x", 5)
	held := w.nodes[0]
	w.nodes = w.nodes[1:] // paused
	w.advance(3 * time.Minute)
	w.nodes = append(w.nodes, held)
	w.advance(5 * time.Minute)
	requests, generated, late := w.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(5))
	is.Equal(late, int64(5))
}

func TestSuccessorReportsTheFrozenFigures(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, side, first := w.usual()
	entry.entryCounts("x", 5)
	w.usageOut = true
	w.advance(2 * time.Minute)
	is.True(w.sent > 0) // frozen, and reported without success
	first.dead = true
	side.sideCounts("x", 7) // other figures for the same attempt, too late

	second := w.start("e3", msg.HostEntry, NewReporter(ReporterConfig{}))
	w.advance(2 * time.Second)
	w.usageOut = false
	second.lease(2, true)
	w.advance(5 * time.Minute)
	requests, generated, _ := w.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(5))
}

func TestTwoReportersReportTheSameFigures(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, side, _ := w.usual()
	second := w.start("e3", msg.HostEntry, NewReporter(ReporterConfig{}))
	w.advance(2 * time.Second)
	second.lease(1, true)
	for i := range 20 {
		entry.entryCounts(fmt.Sprint("x", i), 5)
		side.sideCounts(fmt.Sprint("x", i), 5)
		w.advance(11 * time.Second)
	}
	w.advance(5 * time.Minute)
	requests, generated, _ := w.total()
	is.Equal(requests, int64(20))
	is.Equal(generated, int64(100))
}

func TestNoReportWithoutTheLease(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, _, reporter := w.usual()
	entry.entryCounts("x", 5)
	w.advance(10 * time.Second)
	reporter.lease(1, false)
	w.advance(5 * time.Minute)
	is.Equal(w.sent, 0)
}

func TestRecordsSurviveAnOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, _, reporter := w.usual()
	w.storeOut = true
	for i := range 60 {
		entry.entryCounts(fmt.Sprint("x", i), 1)
		w.advance(time.Minute)
	}
	w.storeOut = false
	reporter.lease(2, true)
	w.advance(10 * time.Minute)
	requests, generated, _ := w.total()
	is.Equal(requests, int64(60))
	is.Equal(generated, int64(60))
	is.True(entry.parts[0].(*Recorder).Idle())
}

func TestFlushedObjectsAreDeletedOnceReported(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	entry, _, reporter := w.usual()
	for i := range 60 {
		entry.entryCounts(fmt.Sprint("x", i), 1)
		reporter.lease(1, true)
		w.advance(time.Minute)
	}
	is.True(len(w.objects.List(msg.KindUsage, flushPrefix)) < 20)
	requests, _, _ := w.total()
	is.True(requests >= 57)
}

func TestContinuedAttemptIsNoNewRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	_, side, _ := w.usual()
	side.sideCounts("x", 5)
	side.step(msg.AttemptOffered{Spec: msg.AttemptSpec{Attempt: "y", Account: "a", Continued: true, Timeout: time.Minute}})
	side.step(msg.SideAttemptEnded{Attempt: "y", Usage: msg.TokenUsage{Prompt: 10, Generated: 3}})
	w.advance(3 * time.Minute)
	requests, generated, _ := w.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(8))
	for _, r := range w.reports {
		is.Equal(r.Usage.Prompt, int64(10))
	}
}
