package platformpoll

import (
	"slices"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// rewind makes the platform continue from an older list.
func (f *fakePlatform) rewind(list []msg.Instance) {
	f.era++
	f.rev = 1
	f.list = list
}

// The revisions of an older store are lower than those seen before.
func TestListOfLaterEraIsApplied(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.rev = 1000
	f.list = twoTargets
	f.advanceTime(2 * time.Second)
	f.rewind(append(slices.Clone(twoTargets), msg.Instance{Target: "c", Addr: "3"}))
	f.advanceTime(2 * time.Second)
	f.is.True(f.hasTarget("c"))
}

// A list that was read before the store lost writes must not replace a later one.
func TestListOfEarlierEraIsDropped(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.era = 2
	f.list = twoTargets
	f.advanceTime(2 * time.Second)
	f.era = 1
	f.list = nil
	f.advanceTime(20 * time.Second)
	f.is.True(f.hasTarget("b"))
}

// A target whose registration is lost has two seconds to register again.
func TestTargetLostWithRegistrationMayRegisterAgain(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.list = twoTargets
	f.advanceTime(3 * time.Second)
	f.rewind(twoTargets[:1])
	f.advanceTime(1500 * time.Millisecond)
	f.is.True(f.hasTarget("b"))
	f.advanceTime(3 * time.Second)
	f.is.True(!f.hasTarget("b"))
}

// An older store shows targets that have left as if they were there, until their
// registrations expire.
func TestTargetThatLeftDoesNotReturnWithOlderStore(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.list = twoTargets
	f.advanceTime(3 * time.Second)
	f.list = twoTargets[:1]
	f.advanceTime(3 * time.Second)
	f.is.True(!f.hasTarget("b"))
	f.rewind(twoTargets)
	f.advanceTime(3 * time.Second)
	f.is.True(!f.hasTarget("b"))
	f.advanceTime(settleTime)
	f.is.True(f.hasTarget("b")) // It has renewed its registration, so it is running.
}

// A process that was seen to leave keeps leaving, whatever an older store says.
func TestDrainingTargetStaysDraining(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.list = []msg.Instance{{Target: "a", Addr: "1", Draining: true, StartedMS: 1}}
	f.advanceTime(2 * time.Second)
	f.rewind([]msg.Instance{{Target: "a", Addr: "1", StartedMS: 1}})
	f.advanceTime(20 * time.Second)
	f.is.True(f.changed[0].Draining)
	f.list = []msg.Instance{{Target: "a", Addr: "1", StartedMS: 2}}
	f.advanceTime(2 * time.Second)
	f.is.True(!f.changed[0].Draining) // a new process
}

// A daemon that starts on an older store must not serve by its configuration once it
// has learnt that there was a newer one.
func TestConfigurationOlderThanReadersIsNotConfirmed(t *testing.T) {
	f := newFakePlatform(t, Config{})
	f.advanceTime(2 * time.Second)
	f.c.readers.sentAt[7] = f.now
	f.step(msg.PeerReceived{From: "reader", Message: msg.CatalogReply{Seq: 7, ConfigVersion: 9}})
	before := f.fresh
	f.advanceTime(3 * time.Second)
	f.is.Equal(f.fresh, before)
	f.table = &msg.RouteTable{Version: 9} // The operator writes it again.
	f.advanceTime(2 * time.Second)
	f.is.True(f.fresh > before)
}
