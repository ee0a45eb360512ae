package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// A candidate that hears of a write waits from the arrival of the first message about its
// version. Neither repeated messages nor those of another era change that.
func TestToldWriteIsSeenAtArrivalOnce(t *testing.T) {
	is := is.New(t)
	c := New(Config{Self: "b", Incarnation: "1"})
	c.Step(0, msg.Started{Seed: 1})
	c.Step(0, msg.MembersChanged{Entries: []msg.Host{{Host: "a"}, {Host: "b"}}})
	c.Step(0, msg.LeaseRequested{Name: "l", Want: true})
	written := msg.LeaseWritten{Name: "l", Version: 5, Record: msg.LeaseRecord{Holder: "a", Incarnation: "1", Epoch: 3, DurationMS: DefaultLength.Milliseconds()}}
	hear := func(now msg.Time, m msg.LeaseWritten) { c.Step(now, msg.PeerReceived{From: "a", Message: m}) }
	l := c.leases["l"]
	hear(time.Second, written)
	hear(2*time.Second, written)
	is.Equal(l.firstSeenAt, time.Second)
	later := written
	later.Version, later.Era = 6, c.era+1
	hear(3*time.Second, later)
	is.Equal(l.version, msg.Version(5))
	later.Version, later.Era = 4, c.era
	hear(4*time.Second, later) // it was overtaken by version 5
	is.Equal(l.version, msg.Version(5))
	free := time.Second + DefaultLength + DefaultCallDeadline + time.Duration(l.rank)*rankDelay
	is.True(!c.mayAcquire(free-1, l))
	is.True(c.mayAcquire(free, l))
}

// A candidate whose acquisition had no known outcome reads the object again. If the version
// is still the one that it has waited for, it does not wait anew.
func TestUnknownAcquisitionKeepsTheWait(t *testing.T) {
	is := is.New(t)
	c := New(Config{Self: "b", Incarnation: "1"})
	c.Step(0, msg.MembersChanged{Entries: []msg.Host{{Host: "a"}, {Host: "b"}}})
	c.Step(0, msg.LeaseRequested{Name: "l", Want: true})
	l := c.leases["l"]
	value, err := json.Marshal(msg.LeaseRecord{Holder: "a", Incarnation: "1", Epoch: 3, DurationMS: DefaultLength.Milliseconds()})
	is.NoErr(err)
	o := msg.Object{Kind: msg.KindLease, Name: "l", Value: value, Version: 5}
	l.observe(time.Second, o)
	const late = 20 * time.Second
	is.True(c.mayAcquire(late, l))
	c.onWriteDone(late, l, store.Result{Op: store.OpPut, Status: msg.CallUnknown})
	is.True(!l.observed)
	l.observe(late+time.Second, o)
	is.True(c.mayAcquire(late+time.Second, l))
	o.Version = 6 // somebody else has written
	c.onWriteDone(late, l, store.Result{Op: store.OpPut, Status: msg.CallUnknown})
	l.observe(late+2*time.Second, o)
	is.True(!c.mayAcquire(late+3*time.Second, l))
}
