// Package coretest provides a fake of the platform's object API for tests of
// reducers. It takes an effect that calls the API and returns the event with the
// result.
package coretest

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxValue is the largest value that the object API accepts, in bytes.
const maxValue = 1 << 20

// Objects is an in-memory object API. Create one with [NewObjects]; the zero
// value is not usable.
type Objects struct {
	// objects holds deleted objects as well, marked as such. changed holds the
	// revision of each object's last change.
	objects  map[key]msg.Object
	changed  map[key]msg.Revision
	revision msg.Revision
	// Reads and Writes are the numbers of calls so far.
	Reads, Writes int
}

type key struct {
	kind msg.Kind
	name string
}

// NewObjects returns an empty object API.
func NewObjects() *Objects {
	return &Objects{objects: make(map[key]msg.Object), changed: make(map[key]msg.Revision)}
}

// Do executes a call of the object API and returns its result. It returns false
// for other effects. A watch returns at once, even if nothing has changed.
func (o *Objects) Do(eff msg.Effect) (msg.Event, bool) {
	switch eff := eff.(type) {
	case msg.GetObject:
		return o.get(eff), true
	case msg.ListObjects:
		o.Reads++
		return msg.ListDone{Call: eff.Call, Objects: o.List(eff.Kind, eff.Prefix), Revision: o.revision}, true
	case msg.PutObject:
		return o.put(eff), true
	case msg.DeleteObject:
		return o.remove(eff), true
	case msg.WatchObjects:
		return o.watch(eff), true
	}
	return nil, false
}

// Snapshot returns a copy of the object API.
func (o *Objects) Snapshot() *Objects {
	c := *o
	c.objects = maps.Clone(o.objects)
	c.changed = maps.Clone(o.changed)
	return &c
}

// Failed returns the result of a call to the object API that failed with the
// given status. It returns false for other effects.
func Failed(eff msg.Effect, status msg.CallStatus) (msg.Event, bool) {
	switch eff := eff.(type) {
	case msg.GetObject:
		return msg.GetDone{Call: eff.Call, Status: status}, true
	case msg.ListObjects:
		return msg.ListDone{Call: eff.Call, Status: status}, true
	case msg.PutObject:
		return msg.PutDone{Call: eff.Call, Status: status}, true
	case msg.DeleteObject:
		return msg.PutDone{Call: eff.Call, Status: status}, true
	case msg.WatchObjects:
		return msg.WatchDone{Call: eff.Call, Status: status}, true
	}
	return nil, false
}

// List returns the objects of a kind whose names start with prefix, in order of
// name.
func (o *Objects) List(kind msg.Kind, prefix string) []msg.Object {
	var out []msg.Object
	for k, obj := range o.objects {
		if k.kind == kind && !obj.Deleted && strings.HasPrefix(k.name, prefix) {
			out = append(out, obj)
		}
	}
	slices.SortFunc(out, func(a, b msg.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Changed reports whether an object of a kind has changed since a revision.
func (o *Objects) Changed(kind msg.Kind, since msg.Revision) bool {
	for k, rev := range o.changed {
		if k.kind == kind && rev > since {
			return true
		}
	}
	return false
}

func (o *Objects) get(eff msg.GetObject) msg.Event {
	o.Reads++
	obj, ok := o.objects[key{eff.Kind, eff.Name}]
	if !ok || obj.Deleted {
		return msg.GetDone{Call: eff.Call, Status: msg.CallNotFound}
	}
	return msg.GetDone{Call: eff.Call, Object: obj}
}

func (o *Objects) put(eff msg.PutObject) msg.Event {
	o.Writes++
	if len(eff.Value) > maxValue {
		return msg.PutDone{Call: eff.Call, Status: msg.CallRejected}
	}
	k := key{eff.Kind, eff.Name}
	if o.current(k) != eff.IfVersion {
		return msg.PutDone{Call: eff.Call, Status: msg.CallConflict}
	}
	o.revision++
	// One sequence of versions serves all objects, so an object that is created
	// again after its deletion has a higher version.
	v := msg.Version(o.revision)
	o.objects[k] = msg.Object{Kind: eff.Kind, Name: eff.Name, Version: v, Value: slices.Clone(eff.Value)}
	o.changed[k] = o.revision
	return msg.PutDone{Call: eff.Call, Version: v}
}

func (o *Objects) remove(eff msg.DeleteObject) msg.Event {
	o.Writes++
	k := key{eff.Kind, eff.Name}
	switch o.current(k) {
	case 0:
		return msg.PutDone{Call: eff.Call, Status: msg.CallNotFound}
	case eff.IfVersion:
	default:
		return msg.PutDone{Call: eff.Call, Status: msg.CallConflict}
	}
	o.revision++
	o.objects[k] = msg.Object{Kind: eff.Kind, Name: eff.Name, Version: msg.Version(o.revision), Deleted: true}
	o.changed[k] = o.revision
	return msg.PutDone{Call: eff.Call}
}

// current returns the version of an object, or 0 if it does not exist.
func (o *Objects) current(k key) msg.Version {
	obj, ok := o.objects[k]
	if !ok || obj.Deleted {
		return 0
	}
	return obj.Version
}

func (o *Objects) watch(eff msg.WatchObjects) msg.Event {
	o.Reads++
	var out []msg.Object
	for _, k := range slices.SortedFunc(maps.Keys(o.changed), func(a, b key) int { return cmp.Compare(a.name, b.name) }) {
		if k.kind == eff.Kind && o.changed[k] > eff.Since {
			out = append(out, o.objects[k])
		}
	}
	return msg.WatchDone{Call: eff.Call, Objects: out, Revision: o.revision}
}
