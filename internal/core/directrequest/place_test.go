package directrequest

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A shared part is read once: a request that comes later goes where it is held
// or fetches it from there.
func TestSharedPartIsFetchedNotReadAgain(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/chat/x", prompt(1, 20_000, 500))
	a := w.started()
	w.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
	b := w.started()
	w.step(msg.DirectAttemptStarted{Attempt: b.Attempt})
	w.end(b.Attempt, msg.DirectDone)
	for range 6 {
		w.arrive("/chat/x", prompt(1, 20_000, 500))
		c := w.started()
		held := c.Spec.Target == a.Spec.Target || c.Spec.Target == b.Spec.Target
		w.is.True(held || c.Spec.CacheFrom != "")
	}
}

func TestBusyEngineIsLeftForAnother(t *testing.T) {
	w := readyWorld(t)
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "pre-1", BacklogMS: 900}, {Target: "dec-1", BacklogMS: 900}}}})
	w.arrive("/chat/x", prompt(1, 3000, 500))
	w.is.Equal(w.started().Spec.Target, msg.TargetID("dec-2"))
}

func TestLeavingAndChangingTargetsGetNothing(t *testing.T) {
	w := readyWorld(t)
	list := testInstances()
	list[0].Draining = true
	w.list(list...)
	for range 5 {
		w.arrive("/lookup/x")
		w.is.Equal(w.started().Spec.Target, msg.TargetID("app-2"))
	}
	w.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: 3 * time.Second})
	w.step(msg.RoleChangePending{Target: "pre-1", Role: msg.RoleDecode, MaxDuration: 3 * time.Second})
	w.arrive("/chat/x", prompt(1, 300, 50))
	w.is.Equal(w.started().Spec.Target, msg.TargetID("dec-2"))
}

func TestFailingTargetIsAvoided(t *testing.T) {
	w := readyWorld(t)
	for range 12 {
		w.m.targets["app-1"].outcome(w.now, false)
	}
	first := 0
	for range 10 {
		w.arrive("/lookup/x")
		a := w.started()
		if a.Spec.Target == "app-1" {
			first++
		}
		w.now += 5 * time.Millisecond
		w.end(a.Attempt, msg.DirectDone)
	}
	w.is.True(first <= 2) // one that fails half of its requests is tried now and then
}

func TestUnreachedTargetIsLeftAloneForAWhile(t *testing.T) {
	w := readyWorld(t)
	w.arrive("/lookup/x")
	a := w.started()
	w.end(a.Attempt, msg.DirectUnreachable)
	w.is.True(w.started().Spec.Target != a.Spec.Target)
	w.is.True(!w.m.targets[a.Spec.Target].usable(w.now))
	w.is.True(w.m.targets[a.Spec.Target].usable(w.now + avoidFirst))
}

// The picture of an engine drops what was not used for longest.
func TestCachePictureIsBounded(t *testing.T) {
	c := newCaches()
	for i := range uint64(100) {
		c.add("e", 10_000, i, 1000)
	}
	is := readyWorld(t).is
	is.Equal(c.engines["e"].Tokens(), 7000)
	is.Equal(c.held("e", []msg.PromptSegment{{ID: 99, Tokens: 1000}}), 1000)
	is.Equal(c.held("e", []msg.PromptSegment{{ID: 0, Tokens: 1000}}), 0)
	is.Equal(len(c.holders), 7)
	c.forget("e")
	is.Equal(len(c.holders), 0)
}

// A part counts only with all parts before it.
func TestHeldPrefixIsUnbroken(t *testing.T) {
	c := newCaches()
	c.add("e", 100_000, 2, 500)
	is := readyWorld(t).is
	parts := []msg.PromptSegment{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 500}}
	is.Equal(c.held("e", parts), 0)
	c.add("e", 100_000, 1, 300)
	is.Equal(c.held("e", parts), 800)
}

// One daemon asks each engine what it holds, and those that join are told.
func TestCachesAreListedOnceAndTold(t *testing.T) {
	w := readyWorld(t)
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}}})
	asked := map[msg.TargetID]int{}
	for range 30 {
		w.now += 100 * time.Millisecond
		w.step(msg.RoutesConfirmed{At: w.now})
		w.step(msg.Tick{})
		for _, eff := range w.effects {
			if r, ok := eff.(msg.ReadCache); ok {
				asked[r.Target]++
			}
		}
	}
	w.is.Equal(asked, map[msg.TargetID]int{"dec-1": 1, "dec-2": 1, "pre-1": 1})
	w.step(msg.CacheRead{Target: "dec-1", Segments: []msg.PromptSegment{{ID: 5, Tokens: 4000}, {ID: 6, Tokens: 3}}})
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	sent, ok := find[msg.SendPeer](w)
	w.is.True(ok)
	d, _ := sent.Message.(msg.LoadDigest)
	w.is.Equal(d.Cached, []msg.CachedSegment{{Target: "dec-1", Segment: 5, Tokens: 4000}}) // small parts are not followed
}

// A target resets the connections beyond its limit, which all daemons share.
func TestConnectionLimitIsShared(t *testing.T) {
	w := newWorld(t)
	table := testTable()
	table.Services[1].MaxConns = 4
	w.configure(table)
	w.list(testInstances()[:1]...)
	w.step(msg.MembersChanged{Entries: []msg.Host{{Host: "entry-1"}, {Host: "entry-2"}}})
	for range 2 {
		w.arrive("/lookup/x")
		w.started()
	}
	w.arrive("/lookup/x")
	w.is.Equal(w.refused().Code, "no-target")
}

// What a target tells of others' work counts for a moment.
func TestToldLoadCounts(t *testing.T) {
	w := readyWorld(t)
	for range 2 {
		w.arrive("/lookup/x")
		a := w.started()
		w.now += 10 * time.Millisecond
		w.end(a.Attempt, msg.DirectDone, func(ev *msg.DirectAttemptEnded) {
			if a.Spec.Target == "app-1" {
				ev.Load = &msg.TargetLoad{Running: 6, Waiting: 9, Slots: 6}
			}
		})
	}
	for range 4 {
		w.arrive("/lookup/x")
		w.is.Equal(w.started().Spec.Target, msg.TargetID("app-2"))
	}
}

// Streams go where there is a slot and memory, whichever entry filled them.
func TestStreamsGoWhereThereIsRoom(t *testing.T) {
	for name, full := range map[string]msg.TargetDigest{
		"streams": {Target: "dec-1", Open: 40, Running: 40},
		"slots":   {Target: "dec-1", Open: 90, Running: 64},
		"memory":  {Target: "dec-1", Open: 30, Running: 30, Tokens: 500_000},
	} {
		t.Run(name, func(t *testing.T) {
			w := readyWorld(t)
			w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{full}}})
			for range 8 {
				w.arrive("/chat/x", prompt(1, 3000, 500))
				a := w.started()
				if a.Spec.Step != msg.StepPrefill {
					continue
				}
				w.end(a.Attempt, msg.DirectPrefilled, func(ev *msg.DirectAttemptEnded) { ev.Handle = "h" })
				w.is.Equal(w.started().Spec.Target, msg.TargetID("dec-2"))
			}
		})
	}
}

// A target that is not what the list says is left alone until the list says
// something new, or for a while.
func TestMisdirectedTargetIsLeftAlone(t *testing.T) {
	w := readyWorld(t)
	w.list(testInstances()[2], testInstances()[4])
	w.arrive("/chat/x", prompt(1, 3000, 500))
	a := w.started()
	w.end(a.Attempt, msg.DirectNotRun, func(ev *msg.DirectAttemptEnded) { ev.Misdirected = true })
	w.is.True(w.started().Spec.Target != a.Spec.Target)
	w.arrive("/chat/x", prompt(1, 3000, 500))
	w.is.True(w.started().Spec.Target != a.Spec.Target)
	list := []msg.Instance{testInstances()[2], testInstances()[4]}
	for i := range list {
		if list[i].Target == a.Spec.Target {
			list[i].Role = msg.RolePrefill + msg.RoleDecode - list[i].Role
		}
	}
	w.list(list...)
	w.is.True(w.m.targets[a.Spec.Target].usable(w.now))
}

// A target that changes its role is left alone until the list shows the role,
// whatever else it shows meanwhile.
func TestChangeLastsUntilTheListShowsIt(t *testing.T) {
	w := readyWorld(t)
	dec := w.m.targets["dec-1"]
	w.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: 12 * time.Second})
	w.now += 6 * time.Second
	w.list(testInstances()...)
	w.is.True(!dec.usable(w.now))
	list := testInstances()
	list[2].Role = msg.RolePrefill
	w.list(list...)
	w.is.True(dec.usable(w.now))
	w.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RolePrefill, MaxDuration: 12 * time.Second})
	w.is.True(dec.usable(w.now)) // it has the role
	w.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RoleDecode, MaxDuration: 12 * time.Second})
	w.step(msg.RoleChangePending{Target: "dec-1", Role: msg.RoleDecode})
	w.is.True(dec.usable(w.now)) // the order was refused
}

// One refused stream may be due to its handle; several in a row are not.
func TestEngineThatRefusesStreamsIsLeftAlone(t *testing.T) {
	w := readyWorld(t)
	dec := w.m.targets["dec-1"]
	for n := 1; n <= maxRefusals; n++ {
		w.is.True(dec.usable(w.now))
		dec.refused(w.now, &attempt{step: msg.StepDecode}, false)
	}
	w.is.True(!dec.usable(w.now))
	w.now += time.Second
	dec.firstToken(w.now, &attempt{})
	dec.refused(w.now, &attempt{step: msg.StepDecode}, false)
	w.is.True(dec.usable(w.now)) // it served one in between
	for range 9 {
		dec.refused(w.now, &attempt{step: msg.StepPrefill}, false)
	}
	w.is.True(dec.usable(w.now)) // the prompt may be too large
}

// An engine that decodes reads a prompt between the tokens of its streams,
// which all wait for it: the more there are, the rather another engine reads.
func TestReadingIsWeighedByTheStreamsBesideIt(t *testing.T) {
	for streams, want := range map[int]msg.TargetID{0: "dec-1", 40: "pre-1"} {
		w := readyWorld(t)
		w.list(testInstances()[2], testInstances()[4])
		w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{
			{Target: "dec-1", Open: streams, Running: streams}, {Target: "pre-1", BacklogMS: 150},
		}}})
		w.arrive("/chat/x", prompt(1, 500, 500))
		w.is.Equal(w.started().Spec.Target, want)
	}
}

// An engine that fails its requests at once looks idle. It costs what a
// request loses by it.
func TestFailingEngineIsNoBargain(t *testing.T) {
	w := readyWorld(t)
	w.list(testInstances()[2], testInstances()[3])
	for range 6 {
		w.m.targets["dec-1"].outcome(w.now, false)
	}
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-2", Open: 30, Running: 30}}}})
	for range 10 {
		w.arrive("/chat/x", prompt(1, 300, 50))
		w.is.Equal(w.started().Spec.Target, msg.TargetID("dec-2"))
	}
	w.now += 30 * time.Second
	w.step(msg.RoutesConfirmed{At: w.now})
	w.step(msg.PeerReceived{From: "entry-2", Message: msg.LoadDigest{Targets: []msg.TargetDigest{{Target: "dec-2", Open: 30, Running: 30}}}})
	w.arrive("/chat/x", prompt(1, 300, 50))
	w.is.Equal(w.started().Spec.Target, msg.TargetID("dec-1")) // it may serve again
}
