// Package store issues calls to the platform's object API for one part of a
// reducer and settles writes whose answer was lost.
//
// Each stored value is wrapped in an [Envelope] that names its last writers.
// When the answer to a conditional write is lost, the client reads the object
// back: a write that is found there took effect; one that is not is sent
// again under the same condition, so that it either takes effect now or can
// no longer do so.
//
// An object may be removed only when it was not written for a minute, so that
// no write that is being settled can have been removed with it.
package store

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// ComponentID numbers the users of the object API within one reducer.
type ComponentID uint8

// Components that call the platform.
const (
	ComponentLease ComponentID = iota + 1
	ComponentConfig
	ComponentMember
	ComponentClaim
	ComponentUsage
	ComponentFleet
	ComponentPoison
	ComponentOperator
	ComponentUsageReport
	ComponentRoster
	ComponentRuns
	ComponentWindows
)

const (
	partShift     = 48
	writerHistory = 8
	settleMin     = 50 * time.Millisecond
	settleMax     = 2 * time.Second
	// settleFor bounds the time spent on settling one write.
	settleFor = 30 * time.Second
)

// Envelope wraps a stored value.
type Envelope struct {
	// Writers holds the tokens of the last writes, newest first.
	Writers []string        `json:"writers"`
	Body    json.RawMessage `json:"body"`
}

// Op says which call a result belongs to.
type Op uint8

// Calls of the object API.
const (
	OpGet Op = iota
	OpList
	OpPut
	OpDelete
	OpWatch
)

// Result is the settled result of a call. Object values are unwrapped.
type Result struct {
	Tag      uint64
	Op       Op
	Status   msg.CallStatus
	Object   msg.Object
	Objects  []msg.Object
	Revision msg.Revision
	// Superseded says that a write took effect and that others followed it
	// before its answer was settled. Object.Version is then zero: the object
	// must be read before it is written again.
	Superseded bool
}

// Client is the state of one part's calls. It is not safe for concurrent use.
type Client struct {
	part    ComponentID
	writer  string
	seq     uint64
	calls   map[msg.CallID]*call
	history map[objectKey]written
	waiting []*call
}

type objectKey struct {
	kind msg.Kind
	name string
}

type written struct {
	version msg.Version
	writers []string
}

type call struct {
	tag       uint64
	op        Op
	put       msg.PutObject
	del       msg.DeleteObject
	token     string
	settling  bool
	since     msg.Time
	backoff   time.Duration
	resumeAt  msg.Time
	uncertain bool
}

// New returns the client of one part. The writer must be unique to the
// process: host and incarnation.
func New(part ComponentID, writer string) *Client {
	return &Client{
		part:    part,
		writer:  writer,
		calls:   make(map[msg.CallID]*call),
		history: make(map[objectKey]written),
	}
}

// Pending returns the number of calls without a result.
func (c *Client) Pending() int { return len(c.calls) + len(c.waiting) }

// Get reads one object.
func (c *Client) Get(tag uint64, kind msg.Kind, name string) msg.Effect {
	id := c.open(&call{tag: tag, op: OpGet})
	return msg.GetObject{Call: id, Kind: kind, Name: name}
}

// List reads the objects of a kind whose names start with prefix.
func (c *Client) List(tag uint64, kind msg.Kind, prefix string) msg.Effect {
	id := c.open(&call{tag: tag, op: OpList})
	return msg.ListObjects{Call: id, Kind: kind, Prefix: prefix}
}

// ListStale reads the objects of a kind as they were up to some seconds ago.
func (c *Client) ListStale(tag uint64, kind msg.Kind) msg.Effect {
	id := c.open(&call{tag: tag, op: OpList})
	return msg.ListObjects{Call: id, Kind: kind, AllowStale: true}
}

// Watch waits for changes of a kind.
func (c *Client) Watch(tag uint64, kind msg.Kind, since msg.Revision, wait time.Duration) msg.Effect {
	id := c.open(&call{tag: tag, op: OpWatch})
	return msg.WatchObjects{Call: id, Kind: kind, Since: since, Wait: wait}
}

// Put writes body as JSON if the object's version is still ifVersion. The
// object must have been read, written or be new. A zero notAfter sets no
// limit; after a limit, an unsettled write results in CallUnknown.
func (c *Client) Put(now msg.Time, tag uint64, kind msg.Kind, name string, body any, ifVersion msg.Version, notAfter msg.Time) msg.Effect {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("store: value of %s/%s can't be encoded: %v", kind, name, err))
	}
	cl := &call{tag: tag, op: OpPut, since: now, token: c.nextToken()}
	value, err := json.Marshal(Envelope{Writers: c.writersWith(kind, name, ifVersion, cl.token), Body: raw})
	if err != nil {
		panic(fmt.Sprintf("store: envelope of %s/%s can't be encoded: %v", kind, name, err))
	}
	cl.put = msg.PutObject{Kind: kind, Name: name, Value: value, IfVersion: ifVersion, NotAfter: notAfter}
	cl.put.Call = c.open(cl)
	return cl.put
}

// Delete removes an object if its version is still ifVersion. A lost answer
// results in CallUnknown.
func (c *Client) Delete(now msg.Time, tag uint64, kind msg.Kind, name string, ifVersion msg.Version) msg.Effect {
	cl := &call{tag: tag, op: OpDelete, since: now}
	cl.del = msg.DeleteObject{Kind: kind, Name: name, IfVersion: ifVersion}
	cl.del.Call = c.open(cl)
	return cl.del
}

// Step takes an event and returns the results that it settles and the effects
// to carry out. Events of other parts are ignored.
func (c *Client) Step(now msg.Time, ev msg.Event) ([]Result, []msg.Effect) {
	switch ev := ev.(type) {
	case msg.GetDone:
		return c.onGet(now, ev)
	case msg.ListDone:
		return c.onList(ev.Call, ev.Status, ev.Objects, ev.Revision), nil
	case msg.WatchDone:
		return c.onList(ev.Call, ev.Status, ev.Objects, ev.Revision), nil
	case msg.PutDone:
		return c.onPut(now, ev)
	case msg.Tick:
		return c.onTick(now)
	}
	return nil, nil
}

func (c *Client) open(cl *call) msg.CallID {
	c.seq++
	id := msg.CallID(uint64(c.part)<<partShift | c.seq)
	c.calls[id] = cl
	return id
}

func (c *Client) take(id msg.CallID) *call {
	cl := c.calls[id]
	delete(c.calls, id)
	return cl
}

func (c *Client) nextToken() string {
	return fmt.Sprintf("%s/%d/%d", c.writer, c.part, c.seq+1)
}

// writersWith returns the writers of an object's next version. Where those of
// the present one are not known, unnamed ones fill the list, so that nobody
// takes it for the whole history.
func (c *Client) writersWith(kind msg.Kind, name string, version msg.Version, token string) []string {
	writers := []string{token}
	h, known := c.history[objectKey{kind, name}]
	switch {
	case version == 0:
	case known && h.version == version:
		writers = append(writers, h.writers...)
	default:
		writers = append(writers, make([]string, writerHistory)...)
	}
	return writers[:min(len(writers), writerHistory)]
}

// unwrap replaces the object's value by its body and remembers its writers.
func (c *Client) unwrap(o msg.Object) (msg.Object, []string) {
	k := objectKey{o.Kind, o.Name}
	if o.Deleted {
		delete(c.history, k)
		return o, nil
	}
	var env Envelope
	if json.Unmarshal(o.Value, &env) != nil {
		return o, nil
	}
	if o.Version >= c.history[k].version {
		c.history[k] = written{o.Version, env.Writers}
	}
	o.Value = env.Body
	return o, env.Writers
}

func (c *Client) onGet(now msg.Time, ev msg.GetDone) ([]Result, []msg.Effect) {
	cl := c.take(ev.Call)
	if cl == nil {
		return nil, nil
	}
	if cl.settling {
		return c.onReadBack(now, cl, ev)
	}
	o, _ := c.unwrap(ev.Object)
	return []Result{{Tag: cl.tag, Op: OpGet, Status: ev.Status, Object: o}}, nil
}

func (c *Client) onList(id msg.CallID, status msg.CallStatus, objects []msg.Object, rev msg.Revision) []Result {
	cl := c.take(id)
	if cl == nil {
		return nil
	}
	out := make([]msg.Object, 0, len(objects))
	for _, o := range objects {
		u, _ := c.unwrap(o)
		out = append(out, u)
	}
	return []Result{{Tag: cl.tag, Op: cl.op, Status: status, Objects: out, Revision: rev}}
}

func (c *Client) onPut(now msg.Time, ev msg.PutDone) ([]Result, []msg.Effect) {
	cl := c.take(ev.Call)
	if cl == nil {
		return nil, nil
	}
	if cl.op == OpDelete {
		return []Result{{Tag: cl.tag, Op: OpDelete, Status: ev.Status, Object: msg.Object{Kind: cl.del.Kind, Name: cl.del.Name}}}, nil
	}
	switch {
	case ev.Status == msg.CallOK:
		return []Result{c.succeeded(cl, ev.Version)}, nil
	case ev.Status == msg.CallConflict && cl.uncertain:
		// An earlier sending of this write may be what it conflicts with.
		return nil, c.readBack(cl)
	case ev.Status == msg.CallUnknown:
		cl.uncertain = true
		return c.settleLater(now, cl)
	case ev.Status == msg.CallUnavailable && cl.uncertain:
		return c.settleLater(now, cl)
	}
	return []Result{c.result(cl, ev.Status)}, nil
}

func (c *Client) succeeded(cl *call, v msg.Version) Result {
	var env Envelope
	if err := json.Unmarshal(cl.put.Value, &env); err != nil {
		panic("store: own envelope can't be decoded: " + err.Error())
	}
	c.history[objectKey{cl.put.Kind, cl.put.Name}] = written{v, env.Writers}
	r := c.result(cl, msg.CallOK)
	r.Object.Version = v
	r.Object.Value = env.Body
	return r
}

func (c *Client) result(cl *call, s msg.CallStatus) Result {
	o := msg.Object{Kind: cl.put.Kind, Name: cl.put.Name}
	return Result{Tag: cl.tag, Op: cl.op, Status: s, Object: o}
}

func (c *Client) settleLater(now msg.Time, cl *call) ([]Result, []msg.Effect) {
	if c.expired(now, cl) {
		return []Result{c.result(cl, msg.CallUnknown)}, nil
	}
	cl.backoff = min(max(2*cl.backoff, settleMin), settleMax)
	cl.resumeAt = now + cl.backoff
	c.waiting = append(c.waiting, cl)
	return nil, nil
}

func (c *Client) expired(now msg.Time, cl *call) bool {
	limit := cl.since + settleFor
	if cl.put.NotAfter != 0 {
		limit = min(limit, cl.put.NotAfter)
	}
	return now >= limit
}

func (c *Client) readBack(cl *call) []msg.Effect {
	cl.settling = true
	id := c.open(cl)
	return []msg.Effect{msg.GetObject{Call: id, Kind: cl.put.Kind, Name: cl.put.Name}}
}

func (c *Client) onReadBack(now msg.Time, cl *call, ev msg.GetDone) ([]Result, []msg.Effect) {
	cl.settling = false
	if ev.Status != msg.CallOK && ev.Status != msg.CallNotFound {
		return c.settleLater(now, cl)
	}
	_, writers := c.unwrap(ev.Object)
	switch {
	case ev.Object.Version == cl.put.IfVersion:
		return c.sendAgain(now, cl)
	case ev.Status == msg.CallOK && ev.Object.Version < cl.put.IfVersion:
		return c.settleLater(now, cl) // a stale read proves nothing
	case slices.Index(writers, cl.token) == 0:
		return []Result{c.succeeded(cl, ev.Object.Version)}, nil
	case slices.Contains(writers, cl.token):
		r := c.result(cl, msg.CallOK)
		r.Superseded = true
		return []Result{r}, nil
	case ev.Status == msg.CallOK && len(writers) < writerHistory:
		// The history reaches back past the write, so it never took effect.
		return []Result{c.result(cl, msg.CallConflict)}, nil
	}
	return []Result{c.result(cl, msg.CallUnknown)}, nil
}

func (c *Client) sendAgain(now msg.Time, cl *call) ([]Result, []msg.Effect) {
	if c.expired(now, cl) {
		return []Result{c.result(cl, msg.CallUnknown)}, nil
	}
	cl.put.Call = c.open(cl)
	return nil, []msg.Effect{cl.put}
}

func (c *Client) onTick(now msg.Time) ([]Result, []msg.Effect) {
	var effs []msg.Effect
	keep := c.waiting[:0]
	for _, cl := range c.waiting {
		if now < cl.resumeAt {
			keep = append(keep, cl)
			continue
		}
		effs = append(effs, c.readBack(cl)...)
	}
	c.waiting = keep
	return nil, effs
}
