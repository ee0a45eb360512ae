package request

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// cluster is a few entries with common targets and a common object API. A test
// crashes the target on which a poison request runs: one that crashes every
// target that runs it.
type cluster struct {
	entries []*fixture
	objects *coretest.Objects
	// crashed holds the targets that were crashed, refused the refusal of each
	// refused request, and running the attempts that have not ended.
	crashed map[msg.TargetID]bool
	refused map[msg.RequestID]msg.RefuseRequest
	running map[msg.AttemptID]msg.StartAttempt
}

func newCluster(entries int) *cluster {
	c := &cluster{
		objects: coretest.NewObjects(), crashed: make(map[msg.TargetID]bool),
		refused: make(map[msg.RequestID]msg.RefuseRequest), running: make(map[msg.AttemptID]msg.StartAttempt),
	}
	for i := range entries {
		c.add(fmt.Sprintf("e%d", i))
	}
	return c
}

func (c *cluster) add(host string) *fixture {
	f := newFixture("t1", "t2", "t3", "t4", "t5", "t6")
	f.self.Host = msg.HostID(host)
	f.incarnation = msg.Incarnation(host)
	c.entries = append(c.entries, f)
	c.step(f, msg.Started{Self: msg.Self{Host: msg.HostID(host)}, Incarnation: msg.Incarnation(host), Seed: uint64(len(c.entries))})
	c.step(f, msg.Tick{})
	var members []msg.Host
	for _, e := range c.entries {
		members = append(members, msg.Host{Host: e.self.Host})
	}
	for _, e := range c.entries {
		c.step(e, msg.MembersChanged{Entries: members})
	}
	return f
}

// step passes an event to an entry and carries out the effects.
func (c *cluster) step(f *fixture, ev msg.Event) {
	queue := f.Step(f.now, ev)
	for len(queue) > 0 {
		eff := queue[0]
		queue = queue[1:]
		if result, ok := c.objects.Do(eff); ok {
			queue = append(queue, f.Step(f.now, result)...)
			continue
		}
		switch eff := eff.(type) {
		case msg.StartAttempt:
			c.running[eff.Attempt] = eff
		case msg.RefuseRequest:
			c.refused[eff.Req] = eff
		case msg.SendPeer:
			for _, e := range c.entries {
				if e.self.Host == eff.To {
					c.step(e, msg.PeerReceived{From: f.self.Host, Message: eff.Message})
				}
			}
		}
	}
}

// arrive sends a request to an entry. The body decides its fingerprint.
func (c *cluster) arrive(f *fixture, id msg.RequestID, body byte) {
	c.step(f, msg.RequestArrived{
		Req: id, Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s"),
		PromptTokens: 100, MaxTokens: 50, BodyHash: msg.BodyHash{body},
	})
}

// crash crashes the target on which the request runs, with all attempts on it.
// It reports false if the request is not running.
func (c *cluster) crash(id msg.RequestID) bool {
	var target msg.TargetID
	for _, a := range c.running {
		if a.Req == id {
			target = a.Target
		}
	}
	if target == "" {
		return false
	}
	c.crashed[target] = true
	lost := make([]msg.AttemptID, 0, len(c.running))
	for _, attempt := range slices.Sorted(maps.Keys(c.running)) {
		if c.running[attempt].Target == target {
			lost = append(lost, attempt)
		}
	}
	for _, attempt := range lost {
		delete(c.running, attempt)
		for _, f := range c.entries {
			c.step(f, msg.AttemptEnded{Attempt: attempt, Result: msg.AttemptCrashed})
		}
	}
	return true
}

// A poison request crashes at most two targets, also if it is sent again
// through other entries and after a restart of all entries.
func TestPoisonRequestCrashesTwoTargetsAtMost(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	for i := range 6 {
		id := msg.RequestID(fmt.Sprintf("resend%d", i))
		c.arrive(c.entries[i%3], id, 1)
		for c.crash(id) {
		}
		is.Equal(Code(c.refused[id].Code), CodePoison)
	}
	is.Equal(len(c.crashed), 2)
	for _, f := range c.entries {
		f.now += 2 * time.Second
		c.step(f, msg.Tick{})
	}
	c.entries = nil
	fresh := c.add("fresh")
	c.arrive(fresh, "after-restart", 1)
	is.Equal(Code(c.refused["after-restart"].Code), CodePoison)
	is.Equal(c.refused["after-restart"].Outcome, msg.OutcomeNotRun)
	is.Equal(len(c.crashed), 2)
}

// Requests that ran on a target with the poison request run again and are not
// refused.
func TestBystandersOfACrashAreServed(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	f := c.entries[0]
	for i := range 20 {
		c.arrive(f, msg.RequestID(fmt.Sprintf("bystander%d", i)), byte(10+i))
	}
	c.arrive(f, "poison", 1)
	for c.crash("poison") {
		c.finishOthers(f)
	}
	c.finishOthers(f)
	is.Equal(len(c.crashed), 2)
	is.Equal(len(c.refused), 1)
	is.Equal(Code(c.refused["poison"].Code), CodePoison)
	is.True(f.Idle()) // all other requests were served
}

// finishOthers finishes the running requests other than the poison one, and the
// waiting requests that start then. It takes 50 rounds of load reports, which
// is enough to finish all of them.
func (c *cluster) finishOthers(f *fixture) {
	for range 50 {
		f.now += 50 * time.Millisecond
		for _, t := range []msg.TargetID{"t1", "t2", "t3", "t4", "t5", "t6"} {
			if !c.crashed[t] {
				c.step(f, engineReport(t))
			}
		}
		for _, attempt := range slices.Sorted(maps.Keys(c.running)) {
			if c.running[attempt].Req != "poison" {
				delete(c.running, attempt)
				c.step(f, msg.AttemptEnded{Attempt: attempt, Result: msg.AttemptDone})
			}
		}
	}
}

func TestSuspectsAreKeptApart(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1", "t2")
	f.poison.RecordCrash(f.now, fingerprintOf(f, 1), "x1")
	f.poison.RecordCrash(f.now, fingerprintOf(f, 2), "x2")
	f.poison.RecordCrash(f.now, fingerprintOf(f, 3), "x3")
	var targets []msg.TargetID
	for body := range byte(3) {
		f.step(msg.RequestArrived{Req: msg.RequestID('a' + rune(body)), Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s"), BodyHash: msg.BodyHash{body + 1}})
		for _, eff := range f.effects {
			if s, ok := eff.(msg.StartAttempt); ok {
				is.True(s.Spec.Suspect)
				targets = append(targets, s.Target)
			}
		}
	}
	is.Equal(len(targets), 2) // the third suspect waits
	is.True(targets[0] != targets[1])
}

// Retries of suspects that a target refuses come out of the retry budgets.
func TestRefusedSuspectsUseRetryBudgets(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1")
	const requests = 10
	attempts := 0
	for body := range byte(requests) {
		f.poison.RecordCrash(f.now, fingerprintOf(f, body+1), "x")
		f.step(msg.RequestArrived{Req: msg.RequestID('a' + rune(body)), Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s"), BodyHash: msg.BodyHash{body + 1}})
		for range 50 {
			for _, eff := range slices.Clone(f.effects) {
				if s, ok := eff.(msg.StartAttempt); ok {
					attempts++
					f.step(msg.AttemptEnded{Attempt: s.Attempt, Result: msg.AttemptNotRun})
				}
			}
			f.now += retryAfterDefault
			f.report("t1", "engines", msg.TargetEngine)
		}
	}
	const budget = 20 + requests/10 // the capacity and the deposits
	is.True(attempts > requests)
	is.True(attempts <= requests+budget)
}

func fingerprintOf(f *fixture, body byte) uint64 {
	r := &request{arrived: msg.RequestArrived{BodyHash: msg.BodyHash{body}}, route: f.index.Route("chat"), account: f.index.Account("north")}
	return fingerprint(r)
}
