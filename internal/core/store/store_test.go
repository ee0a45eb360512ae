package store

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// fakeAPI is an object API that holds one object.
type fakeAPI struct {
	object   msg.Object
	revision msg.Version
}

func (f *fakeAPI) put(p msg.PutObject) msg.PutDone {
	if p.IfVersion != f.object.Version {
		return msg.PutDone{Call: p.Call, Status: msg.CallConflict}
	}
	f.revision++
	f.object = msg.Object{Kind: p.Kind, Name: p.Name, Version: f.revision, Value: p.Value}
	return msg.PutDone{Call: p.Call, Version: f.revision}
}

func (f *fakeAPI) get(g msg.GetObject) msg.GetDone {
	if f.object.Version == 0 {
		return msg.GetDone{Call: g.Call, Status: msg.CallNotFound}
	}
	return msg.GetDone{Call: g.Call, Object: f.object}
}

// resolve responds to a client's effects in order until the client returns a
// result.
func (f *fakeAPI) resolve(t *testing.T, c *Client, now msg.Time, ev msg.Event) Result {
	t.Helper()
	for range 100 {
		results, effs := c.Step(now, ev)
		if len(results) > 0 {
			return results[0]
		}
		ev = msg.Tick{}
		now += maxBackoff
		for _, eff := range effs {
			switch eff := eff.(type) {
			case msg.GetObject:
				ev = f.get(eff)
			case msg.PutObject:
				ev = f.put(eff)
			}
		}
	}
	t.Fatal("the outcome of the write is never resolved")
	return Result{}
}

func read(t *testing.T, c *Client, f *fakeAPI) Result {
	t.Helper()
	g := c.Get(1, "k", "a").(msg.GetObject)
	return f.resolve(t, c, 0, f.get(g))
}

func put(c *Client, body string, version msg.Version) msg.PutObject {
	return c.Put(0, 1, "k", "a", body, version, 0).(msg.PutObject)
}

func lost(p msg.PutObject) msg.PutDone { return msg.PutDone{Call: p.Call, Status: msg.CallUnknown} }

func TestLostResponseOfWriteThatTookEffect(t *testing.T) {
	is := is.New(t)
	f, c := &fakeAPI{}, New(ComponentLease, "h/1")
	p := put(c, "one", 0)
	done := f.put(p)
	r := f.resolve(t, c, 0, lost(p))
	is.Equal(r.Status, msg.CallOK)
	is.Equal(r.Object.Version, done.Version)
	is.Equal(string(r.Object.Value), `"one"`)
}

func TestLostRequestIsResentOnce(t *testing.T) {
	is := is.New(t)
	f, c := &fakeAPI{}, New(ComponentLease, "h/1")
	r := f.resolve(t, c, 0, lost(put(c, "one", 0)))
	is.Equal(r.Status, msg.CallOK)
	is.Equal(f.revision, msg.Version(1))
}

// If other writes followed a write, it must not be reported as the newest one.
// Otherwise the client would base its next write on that body and revert the
// others.
func TestSupersededWriteRequiresNewRead(t *testing.T) {
	is := is.New(t)
	f, a, b := &fakeAPI{}, New(ComponentLease, "a/1"), New(ComponentLease, "b/1")
	p := put(a, "one", 0)
	f.put(p)
	is.Equal(f.put(put(b, "two", read(t, b, f).Object.Version)).Status, msg.CallOK)
	r := f.resolve(t, a, 0, lost(p))
	is.Equal(r.Status, msg.CallOK)
	is.True(r.Superseded)
	is.Equal(r.Object.Version, msg.Version(0))
}

func TestLostWriteConflictsWithEarlierWrite(t *testing.T) {
	is := is.New(t)
	f, a, b := &fakeAPI{}, New(ComponentLease, "a/1"), New(ComponentLease, "b/1")
	p := put(a, "one", 0)
	f.put(put(b, "two", 0))
	is.Equal(f.resolve(t, a, 0, lost(p)).Status, msg.CallConflict)
}

func TestWriteBeyondWriterHistoryIsUnknown(t *testing.T) {
	is := is.New(t)
	f, a, b := &fakeAPI{}, New(ComponentLease, "a/1"), New(ComponentLease, "b/1")
	p := put(a, "one", 0)
	f.put(p)
	for range maxWriters {
		f.put(put(b, "two", read(t, b, f).Object.Version))
	}
	is.Equal(f.resolve(t, a, 0, lost(p)).Status, msg.CallUnknown)
}

// A client that writes an object without knowing its earlier write tokens must
// not store a list of tokens that other clients take for a complete history.
func TestIncompleteHistoryIsNotConclusive(t *testing.T) {
	is := is.New(t)
	f, a, b := &fakeAPI{}, New(ComponentLease, "a/1"), New(ComponentLease, "b/1")
	p := put(a, "one", 0)
	f.put(p)
	f.put(put(b, "two", 1)) // b has the version from elsewhere and never read the object
	is.Equal(f.resolve(t, a, 0, lost(p)).Status, msg.CallUnknown)
}

func TestWriteToDeletedObjectIsUnknown(t *testing.T) {
	is := is.New(t)
	f, a := &fakeAPI{}, New(ComponentLease, "a/1")
	f.put(put(a, "one", 0))
	p := put(a, "two", read(t, a, f).Object.Version)
	f.object = msg.Object{}
	is.Equal(f.resolve(t, a, 0, lost(p)).Status, msg.CallUnknown)
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	c := New(ComponentLease, "h/1")
	p := c.Put(0, 1, "k", "a", "one", 0, time.Second).(msg.PutObject)
	_, effs := c.Step(0, lost(p))
	is.Equal(len(effs), 0)
	_, effs = c.Step(time.Second, msg.Tick{})
	back := effs[0].(msg.GetObject)
	results, effs := c.Step(time.Second, msg.GetDone{Call: back.Call, Status: msg.CallNotFound})
	is.Equal(len(effs), 0)
	is.Equal(results[0].Status, msg.CallUnknown)
	is.Equal(c.Pending(), 0)
}

func TestEventsOfOtherComponentsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := New(ComponentLease, "h/1")
	other := New(ComponentClaim, "h/1")
	p := put(other, "one", 0)
	put(c, "one", 0)
	results, effs := c.Step(0, msg.PutDone{Call: p.Call})
	is.Equal(len(results)+len(effs), 0)
	is.Equal(c.Pending(), 1)
}

// appender is one client of the property test. It appends to a shared list.
type appender struct {
	client *Client
	list   []string
	known  msg.Version
	busy   bool
	adding string
	inbox  []msg.Event
}

// Clients append to one list while calls are lost, delayed and reordered. An entry
// whose write is reported as done must be in the final list once. An entry whose
// write is reported as not done must not be in it.
func TestResultsMatchStoredList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeAPI{}
		var inFlight []func()
		done, notDone := map[string]bool{}, map[string]bool{}
		var now msg.Time
		clients := make([]*appender, 3)
		for i := range clients {
			clients[i] = &appender{client: New(ComponentLease, fmt.Sprint(i))}
		}
		send := func(a *appender, eff msg.Effect) {
			inFlight = append(inFlight, func() {
				fault := rapid.IntRange(0, 5).Draw(t, "fate")
				switch eff := eff.(type) {
				case msg.GetObject:
					ev := f.get(eff)
					if fault == 0 {
						ev = msg.GetDone{Call: eff.Call, Status: msg.CallUnavailable}
					}
					a.inbox = append(a.inbox, ev)
				case msg.PutObject:
					switch fault {
					case 0: // the request is lost
						a.inbox = append(a.inbox, lost(eff))
					case 1: // the response is lost
						f.put(eff)
						a.inbox = append(a.inbox, lost(eff))
					case 2: // the request is delayed past the timeout and then takes effect
						a.inbox = append(a.inbox, lost(eff))
						inFlight = append(inFlight, func() { f.put(eff) })
					case 3:
						a.inbox = append(a.inbox, msg.PutDone{Call: eff.Call, Status: msg.CallUnavailable})
					default:
						a.inbox = append(a.inbox, f.put(eff))
					}
				}
			})
		}
		step := func(a *appender, ev msg.Event) {
			results, effs := a.client.Step(now, ev)
			for _, eff := range effs {
				send(a, eff)
			}
			for _, r := range results {
				a.busy = false
				a.record(r, done, notDone)
			}
		}
		seq := 0
		start := func(a *appender) {
			a.busy = true
			if rapid.Bool().Draw(t, "read") {
				send(a, a.client.Get(1, "k", "a"))
				return
			}
			seq++
			a.adding = fmt.Sprint(seq)
			send(a, a.client.Put(now, 2, "k", "a", append(slices.Clone(a.list), a.adding), a.known, 0))
		}
		advance := func(noNewCalls bool) {
			now += 100 * time.Millisecond
			for _, a := range clients {
				inbox := a.inbox
				a.inbox = nil
				for _, ev := range inbox {
					step(a, ev)
				}
				step(a, msg.Tick{})
				if !a.busy && !noNewCalls {
					start(a)
				}
			}
			for n := len(inFlight); n > 0 && len(inFlight) > 0; n-- {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "next")
				run := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				run()
				if !noNewCalls && rapid.Bool().Draw(t, "stop") {
					break
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			advance(false)
		}
		for range 600 {
			advance(true)
		}
		check(t, f, done, notDone)
	})
}

func (a *appender) record(r Result, done, notDone map[string]bool) {
	switch {
	case r.Op == OpGet && r.Status == msg.CallOK:
		a.list = nil
		if err := json.Unmarshal(r.Object.Value, &a.list); err != nil {
			panic(err)
		}
		a.known = r.Object.Version
	case r.Op == OpPut && r.Status == msg.CallOK:
		done[a.adding] = true
		a.known = r.Object.Version
		if !r.Superseded {
			a.list = append(slices.Clone(a.list), a.adding)
		}
	case r.Op == OpPut && r.Status != msg.CallUnknown:
		notDone[a.adding] = true
	}
}

func check(t *rapid.T, f *fakeAPI, done, notDone map[string]bool) {
	var env Envelope
	var final []string
	if f.object.Version != 0 {
		if json.Unmarshal(f.object.Value, &env) != nil || json.Unmarshal(env.Body, &final) != nil {
			t.Fatal("the object can't be decoded")
		}
	}
	count := map[string]int{}
	for _, s := range final {
		count[s]++
	}
	for s := range done {
		if count[s] != 1 {
			t.Fatalf("%s is reported as done but is %d times in the list", s, count[s])
		}
	}
	for s := range notDone {
		if count[s] != 0 {
			t.Fatalf("%s is reported as not done but is in the list", s)
		}
	}
}

// The property test runs with a fixed seed unless the command line sets another.
func init() { _ = flag.Set("rapid.seed", "1") }
