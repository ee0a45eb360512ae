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

// fleet is a few entries whose attempts crash their target where they run a
// poison request.
type fleet struct {
	entries []*fixture
	objects *coretest.Objects
	fallen  map[msg.TargetID]bool
	refused map[msg.RequestID]msg.RefuseRequest
	running map[msg.AttemptID]msg.StartAttempt
}

func newFleet(entries int) *fleet {
	fl := &fleet{
		objects: coretest.NewObjects(), fallen: make(map[msg.TargetID]bool),
		refused: make(map[msg.RequestID]msg.RefuseRequest), running: make(map[msg.AttemptID]msg.StartAttempt),
	}
	for i := range entries {
		fl.add(fmt.Sprintf("e%d", i))
	}
	return fl
}

func (fl *fleet) add(host string) *fixture {
	f := newFixture("t1", "t2", "t3", "t4", "t5", "t6")
	f.self.Host = msg.HostID(host)
	f.incarnation = msg.Incarnation(host)
	fl.entries = append(fl.entries, f)
	fl.step(f, msg.Started{Self: msg.Self{Host: msg.HostID(host)}, Incarnation: msg.Incarnation(host), Seed: uint64(len(fl.entries))})
	fl.step(f, msg.Tick{})
	var members []msg.Host
	for _, e := range fl.entries {
		members = append(members, msg.Host{Host: e.self.Host})
	}
	for _, e := range fl.entries {
		fl.step(e, msg.MembersChanged{Entries: members})
	}
	return f
}

// step hands an event to an entry and carries out the effects.
func (fl *fleet) step(f *fixture, ev msg.Event) {
	queue := f.Step(f.now, ev)
	for len(queue) > 0 {
		eff := queue[0]
		queue = queue[1:]
		if answer, ok := fl.objects.Do(eff); ok {
			queue = append(queue, f.Step(f.now, answer)...)
			continue
		}
		switch eff := eff.(type) {
		case msg.StartAttempt:
			fl.running[eff.Attempt] = eff
		case msg.RefuseRequest:
			fl.refused[eff.Req] = eff
		case msg.SendPeer:
			for _, e := range fl.entries {
				if e.self.Host == eff.To {
					fl.step(e, msg.PeerReceived{From: f.self.Host, Message: eff.Message})
				}
			}
		}
	}
}

// ask sends a request through an entry.
func (fl *fleet) ask(f *fixture, id msg.RequestID, body byte) {
	fl.step(f, msg.RequestArrived{
		Req: id, Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s"),
		PromptTokens: 100, MaxTokens: 50, BodyHash: msg.BodyHash{body},
	})
}

// crash takes down the target that runs the request, and all that runs there.
// It reports false where the request does not run.
func (fl *fleet) crash(id msg.RequestID) bool {
	var target msg.TargetID
	for _, a := range fl.running {
		if a.Req == id {
			target = a.Target
		}
	}
	if target == "" {
		return false
	}
	fl.fallen[target] = true
	lost := make([]msg.AttemptID, 0, len(fl.running))
	for _, attempt := range slices.Sorted(maps.Keys(fl.running)) {
		if fl.running[attempt].Target == target {
			lost = append(lost, attempt)
		}
	}
	for _, attempt := range lost {
		delete(fl.running, attempt)
		for _, f := range fl.entries {
			fl.step(f, msg.AttemptEnded{Attempt: attempt, Result: msg.AttemptCrashed})
		}
	}
	return true
}

// At most two targets fall to the same request, over resends through other
// entries and a restart of all entries.
func TestPoisonRequestBringsDownTwoTargetsAtMost(t *testing.T) {
	is := is.New(t)
	fl := newFleet(3)
	for i := range 6 {
		id := msg.RequestID(fmt.Sprintf("resend%d", i))
		fl.ask(fl.entries[i%3], id, 1)
		for fl.crash(id) {
		}
		is.Equal(Code(fl.refused[id].Code), CodePoison)
	}
	is.Equal(len(fl.fallen), 2)
	for _, f := range fl.entries {
		f.now += 2 * time.Second
		fl.step(f, msg.Tick{})
	}
	fl.entries = nil
	fresh := fl.add("fresh")
	fl.ask(fresh, "after-restart", 1)
	is.Equal(Code(fl.refused["after-restart"].Code), CodePoison)
	is.Equal(fl.refused["after-restart"].Outcome, msg.OutcomeNotRun)
	is.Equal(len(fl.fallen), 2)
}

// What ran beside the poison request runs again and is not refused.
func TestBystandersOfACrashAreServed(t *testing.T) {
	is := is.New(t)
	fl := newFleet(1)
	f := fl.entries[0]
	for i := range 20 {
		fl.ask(f, msg.RequestID(fmt.Sprintf("bystander%d", i)), byte(10+i))
	}
	fl.ask(f, "poison", 1)
	for fl.crash("poison") {
		fl.settle(f)
	}
	fl.settle(f)
	is.Equal(len(fl.fallen), 2)
	is.Equal(len(fl.refused), 1)
	is.Equal(Code(fl.refused["poison"].Code), CodePoison)
	is.True(f.Idle()) // all bystanders were served
}

// settle lets the running requests but the poison one finish, and the waiting
// ones run, until no more can.
func (fl *fleet) settle(f *fixture) {
	for range 50 {
		f.now += 50 * time.Millisecond
		for _, t := range []msg.TargetID{"t1", "t2", "t3", "t4", "t5", "t6"} {
			if !fl.fallen[t] {
				fl.step(f, engineReport(t))
			}
		}
		for _, attempt := range slices.Sorted(maps.Keys(fl.running)) {
			if fl.running[attempt].Req != "poison" {
				delete(fl.running, attempt)
				fl.step(f, msg.AttemptEnded{Attempt: attempt, Result: msg.AttemptDone})
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
		f.do(msg.RequestArrived{Req: msg.RequestID('a' + rune(body)), Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s"), BodyHash: msg.BodyHash{body + 1}})
		for _, eff := range f.effects {
			if s, ok := eff.(msg.StartAttempt); ok {
				is.True(s.Spec.Suspect)
				targets = append(targets, s.Target)
			}
		}
	}
	is.Equal(len(targets), 2) // the third waits
	is.True(targets[0] != targets[1])
}

func fingerprintOf(f *fixture, body byte) uint64 {
	r := &request{arrived: msg.RequestArrived{BodyHash: msg.BodyHash{body}}, route: f.index.Route("chat"), account: f.index.Account("north")}
	return fingerprint(r)
}
