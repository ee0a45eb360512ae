// Package store issues calls to the platform's object API for one component of
// a reducer and resolves the outcome of writes whose response was lost.
//
// Each stored value is wrapped in an [Envelope], which lists the tokens of the
// object's last writes. If the response to a conditional write is lost, the
// client reads the object back. A write whose token is found there took
// effect. A write whose token is missing is resent under the same condition if
// the object still has the version that the condition requires. After that,
// either the resent write has taken effect, or another write has changed the
// version, and neither send can take effect any more.
//
// An object may be deleted only if it was not written for a minute. The
// deletion can then not remove the token of a write whose outcome is still
// being resolved.
package store

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// ComponentID identifies a component that uses the object API within a reducer.
// It is part of the IDs of the component's calls and of its write tokens.
type ComponentID uint8

// Components that use the object API.
const (
	ComponentLease ComponentID = iota + 1
	ComponentConfig
	ComponentMembership
	ComponentClaim
	ComponentUsage
	ComponentFleet
	ComponentPoison
	ComponentOperator
	ComponentUsageReport
	ComponentPeerDiscovery
	ComponentRuns
	ComponentWindows
	ComponentStreamVersions
	ComponentStreamOrigins
)

const (
	// componentShift is the position of the component in a call ID. The bits
	// below hold the client's sequence number.
	componentShift = 48
	// maxWriters is the largest number of write tokens in an envelope.
	maxWriters = 8
	// minBackoff and maxBackoff limit the delay before an object is read back.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// resolveTimeout limits the time spent on resolving the outcome of one
	// write.
	resolveTimeout = 30 * time.Second
)

// Op is the kind of call to which a result belongs.
type Op uint8

// Calls of the object API.
const (
	OpGet Op = iota
	OpList
	OpPut
	OpDelete
	OpWatch
)

// Result is the final result of a call. The values of its objects are the bodies
// of their envelopes.
type Result struct {
	Tag      uint64
	Op       Op
	Status   msg.CallStatus
	Object   msg.Object
	Objects  []msg.Object
	Revision msg.Revision
	// Superseded reports that a write took effect but that other writes
	// followed before its outcome was resolved. Object.Version is then zero, and
	// the object must be read before it is written again.
	Superseded bool
}

// Client holds the state of one component's calls. It only returns effects for
// the driver and processes their results. It is not safe for concurrent use.
type Client struct {
	component   ComponentID
	tokenPrefix string
	seq         uint64
	calls       map[msg.CallID]*call
	// history holds the newest version seen of each object, with the write tokens
	// in its envelope.
	history map[objectKey]versionWriters
	// waiting lists the writes with an unknown outcome, whose objects are to be
	// read back after a delay.
	waiting []*call
	// now is the time of the last step.
	now msg.Time
	// rewound is set once the store has lost writes. From then on, only versions in
	// history are known to be of the present era.
	rewound bool
}

type call struct {
	tag uint64
	op  Op
	put msg.PutObject
	del msg.DeleteObject
	// get is the read that was sent last, if it reads one object, and sentAt is when
	// the last call was sent.
	get         msg.GetObject
	sentAt      msg.Time
	token       string
	readingBack bool
	startedAt   msg.Time
	backoff     time.Duration
	readBackAt  msg.Time
	// uncertain reports that an earlier send of the write may have taken
	// effect.
	uncertain bool
	// earlierEra reports that the store has lost writes since the call began.
	earlierEra bool
	// outdated reports that the write was not sent, because its condition names a
	// version of an earlier era.
	outdated bool
}

// New returns a client for a component. The writer is the prefix of the
// client's write tokens and must be unique to the process: host and
// incarnation.
func New(component ComponentID, writer string) *Client {
	return &Client{
		component:   component,
		tokenPrefix: writer,
		calls:       make(map[msg.CallID]*call),
		history:     make(map[objectKey]versionWriters),
	}
}

// Pending returns the number of calls without a result.
func (c *Client) Pending() int { return len(c.calls) + len(c.waiting) }

// Get reads one object.
func (c *Client) Get(tag uint64, kind msg.Kind, name string) msg.Effect {
	return c.sendGet(&call{tag: tag, op: OpGet}, kind, name)
}

func (c *Client) sendGet(cl *call, kind msg.Kind, name string) msg.Effect {
	cl.get = msg.GetObject{Call: c.register(cl), Kind: kind, Name: name}
	return cl.get
}

// List reads the objects of a kind whose names start with prefix.
func (c *Client) List(tag uint64, kind msg.Kind, prefix string) msg.Effect {
	id := c.register(&call{tag: tag, op: OpList})
	return msg.ListObjects{Call: id, Kind: kind, Prefix: prefix}
}

// ListStale reads the objects of a kind and allows a response that is several
// seconds old.
func (c *Client) ListStale(tag uint64, kind msg.Kind) msg.Effect {
	id := c.register(&call{tag: tag, op: OpList})
	return msg.ListObjects{Call: id, Kind: kind, AllowStale: true}
}

// Watch waits for changes of objects of a kind.
func (c *Client) Watch(tag uint64, kind msg.Kind, since msg.Revision, wait time.Duration) msg.Effect {
	id := c.register(&call{tag: tag, op: OpWatch})
	return msg.WatchObjects{Call: id, Kind: kind, Since: since, Wait: wait}
}

// Put writes body as JSON if the object's version is still ifVersion. The client
// must have read or written the object before, or the object must be new. A zero
// notAfter sets no limit. If the outcome of the write is not resolved by
// notAfter, the result is CallUnknown.
func (c *Client) Put(now msg.Time, tag uint64, kind msg.Kind, name string, body any, ifVersion msg.Version, notAfter msg.Time) msg.Effect {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("store: value of %s/%s can't be encoded: %v", kind, name, err))
	}
	cl := &call{tag: tag, op: OpPut, startedAt: now, token: c.nextToken()}
	value, err := json.Marshal(Envelope{Writers: c.tokensWith(kind, name, ifVersion, cl.token), Body: raw})
	if err != nil {
		panic(fmt.Sprintf("store: envelope of %s/%s can't be encoded: %v", kind, name, err))
	}
	cl.put = msg.PutObject{Kind: kind, Name: name, Value: value, IfVersion: ifVersion, NotAfter: notAfter}
	if c.outdated(kind, name, ifVersion) {
		return c.rejectOutdated(cl, kind, name)
	}
	cl.put.Call = c.register(cl)
	return cl.put
}

// Delete deletes an object if its version is still ifVersion. If the response is
// lost, the result is CallUnknown.
func (c *Client) Delete(now msg.Time, tag uint64, kind msg.Kind, name string, ifVersion msg.Version) msg.Effect {
	cl := &call{tag: tag, op: OpDelete, startedAt: now}
	cl.del = msg.DeleteObject{Kind: kind, Name: name, IfVersion: ifVersion}
	if c.outdated(kind, name, ifVersion) {
		return c.rejectOutdated(cl, kind, name)
	}
	cl.del.Call = c.register(cl)
	return cl.del
}

// Step processes an event and returns the results that become final with it and
// the effects to perform. It ignores events of other components.
func (c *Client) Step(now msg.Time, ev msg.Event) ([]Result, []msg.Effect) {
	c.now = now
	switch ev := ev.(type) {
	case msg.GetDone:
		return c.onGet(now, ev)
	case msg.ListDone:
		return c.onList(ev.Call, ev.Status, ev.Objects, ev.Revision), nil
	case msg.WatchDone:
		return c.onList(ev.Call, ev.Status, ev.Objects, ev.Revision), nil
	case msg.PutDone:
		return c.onPut(now, ev)
	case msg.StoreEraChanged:
		c.onEraChanged(ev)
	case msg.StoreReachable:
		return nil, c.onReachable(now)
	case msg.Tick:
		return c.onTick(now)
	}
	return nil, nil
}

func (c *Client) register(cl *call) msg.CallID {
	c.seq++
	id := msg.CallID(uint64(c.component)<<componentShift | c.seq)
	c.calls[id] = cl
	cl.sentAt = c.now
	return id
}

func (c *Client) remove(id msg.CallID) *call {
	cl := c.calls[id]
	delete(c.calls, id)
	return cl
}

func (c *Client) onGet(now msg.Time, ev msg.GetDone) ([]Result, []msg.Effect) {
	cl := c.remove(ev.Call)
	if cl == nil {
		return nil, nil
	}
	if cl.outdated {
		return []Result{c.conflict(cl)}, nil
	}
	if cl.readingBack {
		return c.onReadBack(now, cl, ev)
	}
	if cl.earlierEra {
		return []Result{{Tag: cl.tag, Op: OpGet, Status: msg.CallUnavailable, Object: msg.Object{Kind: ev.Object.Kind, Name: ev.Object.Name}}}, nil
	}
	o, _ := c.unwrap(ev.Object)
	return []Result{{Tag: cl.tag, Op: OpGet, Status: ev.Status, Object: o}}, nil
}

func (c *Client) onList(id msg.CallID, status msg.CallStatus, objects []msg.Object, rev msg.Revision) []Result {
	cl := c.remove(id)
	if cl == nil {
		return nil
	}
	if cl.earlierEra {
		return []Result{{Tag: cl.tag, Op: cl.op, Status: msg.CallUnavailable}}
	}
	out := make([]msg.Object, 0, len(objects))
	for _, o := range objects {
		u, _ := c.unwrap(o)
		out = append(out, u)
	}
	return []Result{{Tag: cl.tag, Op: cl.op, Status: status, Objects: out, Revision: rev}}
}

func (c *Client) onPut(now msg.Time, ev msg.PutDone) ([]Result, []msg.Effect) {
	cl := c.remove(ev.Call)
	if cl == nil {
		return nil, nil
	}
	if cl.op == OpDelete {
		return []Result{{Tag: cl.tag, Op: OpDelete, Status: ev.Status, Object: msg.Object{Kind: cl.del.Kind, Name: cl.del.Name}}}, nil
	}
	switch {
	case ev.Status == msg.CallOK && cl.earlierEra:
		// The write may have been executed before the store lost it.
		cl.uncertain = true
		return nil, c.readBack(cl)
	case ev.Status == msg.CallOK:
		return []Result{c.succeeded(cl, ev.Version)}, nil
	case ev.Status == msg.CallConflict && cl.uncertain:
		// The write may conflict with an earlier send of itself.
		return nil, c.readBack(cl)
	case ev.Status == msg.CallUnknown:
		cl.uncertain = true
		return c.scheduleReadBack(now, cl)
	case ev.Status == msg.CallUnavailable && cl.uncertain:
		return c.scheduleReadBack(now, cl)
	}
	return []Result{c.result(cl, ev.Status)}, nil
}

func (c *Client) succeeded(cl *call, v msg.Version) Result {
	var env Envelope
	if err := json.Unmarshal(cl.put.Value, &env); err != nil {
		panic("store: own envelope can't be decoded: " + err.Error())
	}
	c.history[objectKey{cl.put.Kind, cl.put.Name}] = versionWriters{v, env.Writers}
	r := c.result(cl, msg.CallOK)
	r.Object.Version = v
	r.Object.Value = env.Body
	return r
}

func (c *Client) result(cl *call, s msg.CallStatus) Result {
	o := msg.Object{Kind: cl.put.Kind, Name: cl.put.Name}
	return Result{Tag: cl.tag, Op: cl.op, Status: s, Object: o}
}
