package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	testWindow         = 5 * time.Second
	testReportDeadline = 10 * time.Second
)

// daemon is an entry daemon with a meter.
type daemon struct {
	meter     *Meter
	connected bool // the daemon can reach the platform
}

// cluster simulates entry daemons that share an object API.
type cluster struct {
	is      *is.I
	now     time.Duration
	objects *coretest.Objects
	daemons map[msg.HostID]*daemon
	hosts   []msg.HostID
	reports []sentReport
	// silent holds the hosts whose reports get no answer. messagesLost loses all messages
	// between daemons.
	silent       map[msg.HostID]bool
	messagesLost bool
}

// sentReport is a report, and when it was sent.
type sentReport struct {
	msg.ReportWindow
	at time.Duration
}

func newCluster(t *testing.T, hosts ...msg.HostID) *cluster {
	c := &cluster{is: is.New(t), objects: coretest.NewObjects(), daemons: make(map[msg.HostID]*daemon), hosts: hosts, silent: make(map[msg.HostID]bool)}
	for _, h := range hosts {
		c.start(h)
	}
	c.members(hosts...)
	return c
}

func (c *cluster) start(h msg.HostID) {
	c.daemons[h] = &daemon{connected: true, meter: New(Config{Self: h, Incarnation: msg.Incarnation(c.wall().String()), Window: testWindow, CollectTimeout: 7 * time.Second, ReportDeadline: testReportDeadline})}
	c.step(h, msg.Started{Wall: c.wall()})
}

func (c *cluster) members(hosts ...msg.HostID) {
	var list []msg.Host
	for _, h := range hosts {
		list = append(list, msg.Host{Host: h})
	}
	for _, h := range c.hosts {
		c.step(h, msg.MembersChanged{Entries: list})
	}
}

func (c *cluster) wall() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

func (c *cluster) step(h msg.HostID, ev msg.Event) {
	d := c.daemons[h]
	for _, eff := range d.meter.Step(c.now, ev) {
		switch eff := eff.(type) {
		case msg.ReportWindow:
			c.reports = append(c.reports, sentReport{eff, c.now})
			result := msg.WindowReported{Call: eff.Call}
			if c.silent[h] {
				result.Status = msg.CallUnknown
			}
			c.step(h, result)
		case msg.SendPeer:
			if c.daemons[eff.To] != nil && !c.messagesLost {
				c.step(eff.To, msg.PeerReceived{From: h, Message: eff.Message})
			}
		default:
			result, ok := coretest.Failed(eff, msg.CallUnavailable)
			if d.connected {
				result, ok = c.objects.Do(eff)
			}
			if ok {
				c.step(h, result)
			}
		}
	}
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += msg.TickInterval
		for _, h := range c.hosts {
			c.step(h, msg.Tick{Wall: c.wall()})
		}
	}
}

func (c *cluster) grantLease(h msg.HostID, epoch msg.Epoch) {
	c.step(h, msg.LeaseChanged{Name: LeaseName, Held: true, Epoch: epoch, Until: c.now + time.Hour})
}

func (c *cluster) countRuns(h msg.HostID, n int) {
	for range n {
		c.step(h, msg.RunCounted{Account: "acme", Wall: c.wall()})
	}
}

// reported returns the reported count of the window that contains an instant,
// and whether it was reported.
func (c *cluster) reported(at time.Duration) (int64, bool) {
	window := time.Unix(1_000_000, 0).Add(at).UnixNano() / int64(testWindow)
	for _, r := range c.reports {
		if r.Window == window {
			return r.Counts["acme"], true
		}
	}
	return 0, false
}

func TestWindowSumsRunsOfAllDaemons(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.grantLease("a", 1)
	c.countRuns("a", 3)
	c.countRuns("b", 4)
	c.advance(testWindow + 2*time.Second)
	n, ok := c.reported(0)
	c.is.True(ok) // all final counts arrived, so the holder does not wait for CollectTimeout
	c.is.Equal(n, int64(7))
}

// The runs of a daemon that can't reach the platform are counted from the
// messages that it sends to the holder.
func TestRunsOfDisconnectedDaemonAreCounted(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(time.Second)
	c.grantLease("a", 1)
	c.daemons["b"].connected = false
	c.countRuns("b", 4)
	c.advance(testWindow + 3*time.Second)
	n, ok := c.reported(time.Second)
	c.is.True(ok)
	c.is.Equal(n, int64(4))
}

// A process is killed after it wrote its counts. The next process on the host
// has to include them.
func TestCountsSurviveProcessRestart(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.grantLease("a", 1)
	c.countRuns("b", 4)
	c.advance(3 * time.Second) // b has written its counts
	c.start("b")
	c.members("a", "b")
	c.countRuns("b", 2)
	c.advance(5 * time.Second)
	n, _ := c.reported(0)
	c.is.Equal(n, int64(6))
}

// The holder waits for the counts of an unreachable daemon only until CollectTimeout
// has passed, so that the window is reported in time.
func TestUnreachableDaemonDelaysWindowOnlyUntilTimeout(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.grantLease("a", 1)
	c.countRuns("a", 3)
	delete(c.daemons, "b")
	c.hosts = []msg.HostID{"a"}
	c.advance(testWindow + 8*time.Second)
	n, ok := c.reported(0)
	c.is.True(ok)
	c.is.Equal(n, int64(3))
}

// A daemon that was silent for a whole window has stopped. Later windows do not wait for it.
func TestStoppedDaemonDelaysOneWindow(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.grantLease("a", 1)
	c.advance(testWindow / 2)
	delete(c.daemons, "b")
	c.hosts = []msg.HostID{"a"}
	c.advance(testWindow + 2*time.Second)
	_, ok := c.reported(0)
	c.is.True(!ok) // b has stopped within this window
	c.advance(testWindow)
	_, ok = c.reported(testWindow)
	c.is.True(ok)
}

// The next holder of the lease reports a window with the counts that were
// frozen, even if it has received other counts itself.
func TestSuccessorReportsFrozenCounts(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.grantLease("a", 1)
	c.countRuns("a", 3)
	c.advance(testWindow + 2*time.Second)
	c.step("a", msg.LeaseChanged{Name: LeaseName, Epoch: 1})
	c.grantLease("b", 2)
	c.advance(testWindow)
	counts := map[int64]int64{}
	for _, r := range c.reports {
		n, seen := counts[r.Window]
		c.is.True(!seen || n == r.Counts["acme"])
		counts[r.Window] = r.Counts["acme"]
	}
	c.is.True(len(counts) >= 2)
}

// While the store is away, the holder remembers what it was told of all windows that it has
// yet to freeze, also of those that later messages leave out.
func TestRunsToldInLongOutageAreCounted(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(time.Second)
	c.grantLease("a", 1)
	c.daemons["a"].connected = false
	c.daemons["b"].connected = false
	c.countRuns("b", 4)
	c.advance(5 * testWindow)
	c.daemons["a"].connected = true
	c.advance(3 * time.Second)
	n, ok := c.reported(time.Second)
	c.is.True(ok)
	c.is.Equal(n, int64(4))
}

// A daemon to which the others have just begun to send their counts can't tell from their
// silence that they have stopped.
func TestNewRecipientWaitsForCounts(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.advance(time.Second) // b has written its record
	c.daemons["b"].connected = false
	c.members("b") // a is unknown to b, which tells it nothing
	c.advance(2*testWindow - time.Second)
	c.countRuns("b", 4)
	c.members("a", "b")
	c.daemons["b"].meter.sendAt = c.now + testWindow + 2*time.Second // its messages are late
	c.grantLease("a", 1)
	c.advance(testWindow + 4*time.Second)
	n, ok := c.reported(2 * testWindow)
	c.is.True(ok)
	c.is.Equal(n, int64(4))
}

// A daemon that tells its counts to others writes them once a window. A daemon that is
// killed loses what it has counted since the window's end only if those others are killed
// too.
func TestCountsAreWrittenOncePerWindow(t *testing.T) {
	var hosts []msg.HostID
	for i := range 28 {
		hosts = append(hosts, msg.HostID(fmt.Sprint("entry-", i)))
	}
	c := newCluster(t, hosts...)
	c.advance(2 * testWindow)
	before := c.objects.Writes
	for range 40 {
		for _, h := range hosts {
			c.countRuns(h, 1)
		}
		c.advance(500 * time.Millisecond)
	}
	// Four windows: the recipients write twice as often as the others, and once more.
	perWindow := float64(c.objects.Writes-before) / 4
	c.is.True(perWindow <= 25+3*3)
	c.is.True(perWindow >= 25)
	var killed msg.HostID
	for _, h := range hosts {
		if !c.daemons[h].meter.isRecipient() {
			killed = h
		}
	}
	at := c.now
	c.countRuns(killed, 7)
	c.advance(1200 * time.Millisecond)
	c.start(killed)
	for _, h := range hosts {
		if c.daemons[h].meter.isRecipient() {
			c.grantLease(h, 1)
			break
		}
	}
	c.advance(4 * testWindow)
	n, ok := c.reported(at)
	c.is.True(ok)
	c.is.True(n >= 7)
}
