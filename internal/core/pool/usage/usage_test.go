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

type component interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// cluster simulates a platform and the processes that use it.
type cluster struct {
	objects *coretest.Objects
	now     msg.Time
	nodes   []*node
	// reports holds the reports that the usage interface accepted. A report with
	// different usage for the same window is refused.
	reports   map[reportKey]msg.UsageReport
	sent      int
	usageDown bool
	storeDown bool
}

type reportKey struct {
	account msg.AccountID
	window  time.Time
}

// node is one process: an entry daemon or a side daemon.
type node struct {
	cluster    *cluster
	components []component
	stopped    bool
}

func newCluster() *cluster {
	return &cluster{objects: coretest.NewObjects(), reports: make(map[reportKey]msg.UsageReport)}
}

func (c *cluster) start(host string, kind msg.HostKind, components ...component) *node {
	n := &node{cluster: c, components: components}
	c.nodes = append(c.nodes, n)
	n.step(msg.Started{Self: msg.Self{Host: msg.HostID(host), Kind: kind}, Incarnation: "1", Wall: testWall.Add(c.now)})
	n.step(msg.ConfigChanged{Index: manifest.NewIndex(&manifest.Manifest{Usage: manifest.Usage{Shards: 1}})})
	return n
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += msg.TickInterval
		for _, n := range c.nodes {
			n.step(msg.Tick{Wall: testWall.Add(c.now)})
		}
	}
}

func (n *node) step(ev msg.Event) {
	if n.stopped {
		return
	}
	queue := []msg.Event{ev}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, p := range n.components {
			for _, eff := range p.Step(n.cluster.now, queue[0]) {
				if done, ok := n.cluster.execute(eff); ok {
					queue = append(queue, done)
				}
			}
		}
	}
}

func (c *cluster) execute(eff msg.Effect) (msg.Event, bool) {
	if rep, ok := eff.(msg.ReportUsage); ok {
		return c.report(rep), true
	}
	if c.storeDown {
		return coretest.Failed(eff, msg.CallUnavailable)
	}
	return c.objects.Do(eff)
}

func (c *cluster) report(eff msg.ReportUsage) msg.Event {
	c.sent++
	if c.usageDown {
		return msg.UsageReported{Call: eff.Call, Status: msg.CallUnavailable}
	}
	k := reportKey{eff.Report.Account, eff.Report.Window}
	if old, ok := c.reports[k]; ok && old != eff.Report {
		return msg.UsageReported{Call: eff.Call, Status: msg.CallConflict}
	}
	c.reports[k] = eff.Report
	return msg.UsageReported{Call: eff.Call, Status: msg.CallOK}
}

func (n *node) lease(epoch msg.Epoch, held bool) {
	n.step(msg.LeaseChanged{Name: LeaseName(0), Held: held, Epoch: epoch, Until: n.cluster.now + time.Hour})
}

func (n *node) countAtEntry(attempt string, generated int64) {
	n.step(msg.UsageCounted{Account: "a", Attempt: msg.AttemptID(attempt), Usage: msg.TokenUsage{Prompt: 10, Generated: generated}})
}

func (n *node) countAtSide(attempt string, generated int64) {
	id := msg.AttemptID(attempt)
	n.step(msg.AttemptOffered{Spec: msg.AttemptSpec{Attempt: id, Account: "a", Timeout: time.Minute}})
	n.step(msg.SideAttemptEnded{Attempt: id, Usage: msg.TokenUsage{Prompt: 10, Generated: generated}})
}

// total sums all accepted reports.
func (c *cluster) total() (requests, generated, late int64) {
	for _, r := range c.reports {
		requests += r.Requests
		generated += r.Usage.Generated + r.Late.Generated
		late += r.Late.Generated
	}
	return requests, generated, late
}

// startTypical starts a recorder in an entry daemon, one in a side daemon and a
// reporter that holds the lease.
func (c *cluster) startTypical() (entry, side, reporter *node) {
	entry = c.start("e1", msg.HostEntry, NewRecorder(RecorderConfig{}))
	side = c.start("s1", msg.HostTarget, NewRecorder(RecorderConfig{}))
	reporter = c.start("e2", msg.HostEntry, NewReporter(ReporterConfig{}))
	c.advance(2 * time.Second)
	reporter.lease(1, true)
	return entry, side, reporter
}

func TestAttemptIsCountedOnceBySideRecord(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, side, _ := c.startTypical()
	entry.countAtEntry("x", 4)
	side.countAtSide("x", 5)
	c.advance(5 * time.Minute)
	requests, generated, late := c.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(5))
	is.Equal(late, int64(0))
}

func TestLossOfOneRecorderLosesNoUsage(t *testing.T) {
	for _, dead := range []string{"entry", "side"} {
		t.Run(dead, func(t *testing.T) {
			is := is.New(t)
			c := newCluster()
			entry, side, _ := c.startTypical()
			entry.countAtEntry("x", 5)
			side.countAtSide("x", 5)
			entry.stopped, side.stopped = dead == "entry", dead == "side"
			c.advance(5 * time.Minute)
			requests, generated, _ := c.total()
			is.Equal(requests, int64(1))
			is.Equal(generated, int64(5))
		})
	}
}

func TestRecordAfterFreezeIsCountedAsLate(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, _, _ := c.startTypical()
	c.advance(30 * time.Second)
	entry.countAtEntry("x", 5)
	paused := c.nodes[0]
	c.nodes = c.nodes[1:] // the entry daemon is paused
	c.advance(3 * time.Minute)
	c.nodes = append(c.nodes, paused)
	c.advance(5 * time.Minute)
	requests, generated, late := c.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(5))
	is.Equal(late, int64(5))
}

func TestSuccessorReportsFrozenUsage(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, side, first := c.startTypical()
	entry.countAtEntry("x", 5)
	c.usageDown = true
	c.advance(2 * time.Minute)
	is.True(c.sent > 0) // the window is frozen and its report was refused
	first.stopped = true
	side.countAtSide("x", 7) // different usage of the same attempt, after the freeze

	second := c.start("e3", msg.HostEntry, NewReporter(ReporterConfig{}))
	c.advance(2 * time.Second)
	c.usageDown = false
	second.lease(2, true)
	c.advance(5 * time.Minute)
	requests, generated, _ := c.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(5))
}

func TestConcurrentReportersReportSameUsage(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, side, _ := c.startTypical()
	second := c.start("e3", msg.HostEntry, NewReporter(ReporterConfig{}))
	c.advance(2 * time.Second)
	second.lease(1, true)
	for i := range 20 {
		entry.countAtEntry(fmt.Sprint("x", i), 5)
		side.countAtSide(fmt.Sprint("x", i), 5)
		c.advance(11 * time.Second)
	}
	c.advance(5 * time.Minute)
	requests, generated, _ := c.total()
	is.Equal(requests, int64(20))
	is.Equal(generated, int64(100))
}

func TestNoReportWithoutTheLease(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, _, reporter := c.startTypical()
	entry.countAtEntry("x", 5)
	c.advance(10 * time.Second)
	reporter.lease(1, false)
	c.advance(5 * time.Minute)
	is.Equal(c.sent, 0)
}

func TestRecordsSurviveStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, _, reporter := c.startTypical()
	c.storeDown = true
	for i := range 60 {
		entry.countAtEntry(fmt.Sprint("x", i), 1)
		c.advance(time.Minute)
	}
	c.storeDown = false
	reporter.lease(2, true)
	c.advance(10 * time.Minute)
	requests, generated, _ := c.total()
	is.Equal(requests, int64(60))
	is.Equal(generated, int64(60))
	is.True(entry.components[0].(*Recorder).Idle())
}

func TestFlushedObjectsAreDeletedOnceReported(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	entry, _, reporter := c.startTypical()
	for i := range 60 {
		entry.countAtEntry(fmt.Sprint("x", i), 1)
		reporter.lease(1, true)
		c.advance(time.Minute)
	}
	is.True(len(c.objects.List(msg.KindUsage, flushPrefix)) < 20)
	requests, _, _ := c.total()
	is.True(requests >= 57)
}

func TestContinuedAttemptIsNotCountedAsRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	_, side, _ := c.startTypical()
	side.countAtSide("x", 5)
	side.step(msg.AttemptOffered{Spec: msg.AttemptSpec{Attempt: "y", Account: "a", Continued: true, Timeout: time.Minute}})
	side.step(msg.SideAttemptEnded{Attempt: "y", Usage: msg.TokenUsage{Prompt: 10, Generated: 3}})
	c.advance(3 * time.Minute)
	requests, generated, _ := c.total()
	is.Equal(requests, int64(1))
	is.Equal(generated, int64(8))
	for _, r := range c.reports {
		is.Equal(r.Usage.Prompt, int64(10))
	}
}
