package directusage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const testWindow = 5 * time.Second

// daemon is a part with the time of its world.
type daemon struct {
	p  *Meter
	up bool // it reaches the platform
}

// world is a few daemons over one object API.
type world struct {
	is      *is.I
	now     time.Duration
	objects *coretest.Objects
	daemons map[msg.HostID]*daemon
	order   []msg.HostID
	reports []msg.ReportWindow
}

func newWorld(t *testing.T, hosts ...msg.HostID) *world {
	w := &world{is: is.New(t), objects: coretest.NewObjects(), daemons: make(map[msg.HostID]*daemon), order: hosts}
	for _, h := range hosts {
		w.boot(h)
	}
	w.members(hosts...)
	return w
}

func (w *world) boot(h msg.HostID) {
	w.daemons[h] = &daemon{up: true, p: New(Config{Self: h, Incarnation: msg.Incarnation(w.wall().String()), Window: testWindow, Collect: 7 * time.Second})}
	w.step(h, msg.Started{Wall: w.wall()})
}

func (w *world) members(hosts ...msg.HostID) {
	var list []msg.Host
	for _, h := range hosts {
		list = append(list, msg.Host{Host: h})
	}
	for _, h := range w.order {
		w.step(h, msg.MembersChanged{Entries: list})
	}
}

func (w *world) wall() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func (w *world) step(h msg.HostID, ev msg.Event) {
	d := w.daemons[h]
	for _, eff := range d.p.Step(w.now, ev) {
		switch eff := eff.(type) {
		case msg.ReportWindow:
			w.reports = append(w.reports, eff)
			w.step(h, msg.WindowReported{Call: eff.Call})
		case msg.SendPeer:
			if w.daemons[eff.To] != nil {
				w.step(eff.To, msg.PeerReceived{From: h, Message: eff.Message})
			}
		default:
			answer, ok := coretest.Failed(eff, msg.CallUnavailable)
			if d.up {
				answer, ok = w.objects.Do(eff)
			}
			if ok {
				w.step(h, answer)
			}
		}
	}
}

func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += msg.TickInterval
		for _, h := range w.order {
			w.step(h, msg.Tick{Wall: w.wall()})
		}
	}
}

func (w *world) hold(h msg.HostID, epoch msg.Epoch) {
	w.step(h, msg.LeaseChanged{Name: LeaseName, Held: true, Epoch: epoch, Until: w.now + time.Hour})
}

func (w *world) run(h msg.HostID, n int) {
	for range n {
		w.step(h, msg.RunCounted{Account: "acme", Wall: w.wall()})
	}
}

// reported is the figure of the window that an instant was in.
func (w *world) reported(at time.Duration) (int64, bool) {
	window := time.Unix(1_000_000, 0).Add(at).UnixNano() / int64(testWindow)
	for _, r := range w.reports {
		if r.Window == window {
			return r.Counts["acme"], true
		}
	}
	return 0, false
}

func TestWindowsAreAddedUp(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.hold("a", 1)
	w.run("a", 3)
	w.run("b", 4)
	w.pass(testWindow + 2*time.Second)
	n, ok := w.reported(0)
	w.is.True(ok) // well before it is due
	w.is.Equal(n, int64(7))
}

// A daemon that can't reach the platform is counted by what it told.
func TestCountsOfACutOffEntry(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.pass(time.Second)
	w.hold("a", 1)
	w.daemons["b"].up = false
	w.run("b", 4)
	w.pass(testWindow + 3*time.Second)
	n, ok := w.reported(time.Second)
	w.is.True(ok)
	w.is.Equal(n, int64(4))
}

// The counts of a killed process on the same host are kept.
func TestCountsOutliveAProcess(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.hold("a", 1)
	w.run("b", 4)
	w.pass(3 * time.Second) // they have been written
	w.boot("b")
	w.members("a", "b")
	w.run("b", 2)
	w.pass(5 * time.Second)
	n, _ := w.reported(0)
	w.is.Equal(n, int64(6))
}

// A silent daemon holds a window up no longer than its report allows.
func TestSilentEntryDoesNotHoldUpAWindow(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.hold("a", 1)
	w.run("a", 3)
	delete(w.daemons, "b")
	w.order = []msg.HostID{"a"}
	w.pass(testWindow + 8*time.Second)
	n, ok := w.reported(0)
	w.is.True(ok)
	w.is.Equal(n, int64(3))
}

// A successor reports the same figures, whatever it would count itself.
func TestSuccessorKeepsFrozenFigures(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.hold("a", 1)
	w.run("a", 3)
	w.pass(testWindow + 2*time.Second)
	w.step("a", msg.LeaseChanged{Name: LeaseName, Epoch: 1})
	w.hold("b", 2)
	w.pass(testWindow)
	figures := map[int64]int64{}
	for _, r := range w.reports {
		n, seen := figures[r.Window]
		w.is.True(!seen || n == r.Counts["acme"])
		figures[r.Window] = r.Counts["acme"]
	}
	w.is.True(len(figures) >= 2)
}
