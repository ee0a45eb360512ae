package scenario

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// platform is the object API and the host list.
type platform struct {
	world    *world
	revision uint64
	objects  map[objectKey]msg.Object
	waiting  []*waiter

	down bool
	// hostsUp keeps the host list up while the object API is down.
	hostsUp bool
	// loseNext is the number of writes whose answers are lost.
	loseNext int
	// loseShare is the chance that a write's answer is lost.
	loseShare float64
	slow      time.Duration
	// slowFor is how long a call is held up on its way besides.
	slowFor func(n *node, eff msg.Effect) time.Duration
	// onPut sees each write as it arrives.
	onPut func(eff msg.PutObject)

	reads, writes, watches int
}

type objectKey struct {
	kind msg.Kind
	name string
}

type waiter struct {
	node *node
	eff  msg.WatchObjects
	done bool
}

func newPlatform(w *world) *platform {
	return &platform{
		world:   w,
		objects: make(map[objectKey]msg.Object),
		slowFor: func(*node, msg.Effect) time.Duration { return 0 },
		onPut:   func(msg.PutObject) {},
	}
}

// call executes an effect of a node.
func (p *platform) call(n *node, eff msg.Effect) {
	reply := func(d time.Duration, ev msg.Event) { p.world.at(d, func() { n.deliver(ev) }) }
	if p.world.cut(n.host.Host, platformHost) {
		reply(dialTimeout, failed(eff, msg.CallUnavailable))
		return
	}
	if put, ok := eff.(msg.PutObject); ok && put.NotAfter != 0 && n.clock() >= put.NotAfter {
		reply(0, failed(eff, msg.CallUnavailable))
		return
	}
	p.world.at(platformLatency+p.slow+p.slowFor(n, eff), func() {
		if p.isDown(eff) {
			reply(platformLatency, failed(eff, msg.CallUnavailable))
			return
		}
		p.serve(n, eff)
	})
}

func (p *platform) isDown(eff msg.Effect) bool {
	if _, ok := eff.(msg.ListHosts); ok && p.hostsUp {
		return false
	}
	return p.down
}

func (p *platform) serve(n *node, eff msg.Effect) {
	answer := func(ev msg.Event) { p.answer(n, eff, ev) }
	switch eff := eff.(type) {
	case msg.ListHosts:
		p.reads++
		answer(msg.HostsListed{Call: eff.Call, Hosts: slices.Clone(p.world.hosts)})
	case msg.GetObject:
		p.reads++
		o, ok := p.objects[objectKey{eff.Kind, eff.Name}]
		if !ok {
			answer(msg.GetDone{Call: eff.Call, Status: msg.CallNotFound})
			return
		}
		answer(msg.GetDone{Call: eff.Call, Object: o})
	case msg.ListObjects:
		p.reads++
		answer(msg.ListDone{Call: eff.Call, Objects: p.list(eff.Kind, eff.Prefix, 0), Revision: msg.Revision(p.revision)})
	case msg.PutObject:
		p.writes++
		answer(p.put(eff))
	case msg.DeleteObject:
		p.writes++
		answer(p.remove(eff))
	case msg.WatchObjects:
		p.watches++
		p.watch(&waiter{node: n, eff: eff})
	default:
		panic("the platform does not know this call")
	}
}

func (p *platform) list(kind msg.Kind, prefix string, after uint64) []msg.Object {
	var out []msg.Object
	for k, o := range p.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) && uint64(o.Version) > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b msg.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (p *platform) put(eff msg.PutObject) msg.Event {
	p.onPut(eff)
	k := objectKey{eff.Kind, eff.Name}
	if p.objects[k].Version != eff.IfVersion {
		return msg.PutDone{Call: eff.Call, Status: msg.CallConflict}
	}
	p.revision++
	p.objects[k] = msg.Object{Kind: k.kind, Name: k.name, Version: msg.Version(p.revision), Value: eff.Value}
	for _, w := range p.waiting {
		if w.eff.Kind == k.kind {
			p.finish(w)
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.done })
	return msg.PutDone{Call: eff.Call, Version: msg.Version(p.revision)}
}

func (p *platform) remove(eff msg.DeleteObject) msg.Event {
	k := objectKey{eff.Kind, eff.Name}
	if p.objects[k].Version != eff.IfVersion {
		return msg.PutDone{Call: eff.Call, Status: msg.CallConflict}
	}
	p.revision++
	delete(p.objects, k)
	return msg.PutDone{Call: eff.Call}
}

func (p *platform) watch(w *waiter) {
	if len(p.list(w.eff.Kind, "", uint64(w.eff.Since))) > 0 || w.eff.Wait == 0 {
		p.finish(w)
		return
	}
	p.waiting = append(p.waiting, w)
	p.world.at(w.eff.Wait, func() {
		if w.done {
			return
		}
		p.finish(w)
		p.waiting = slices.DeleteFunc(p.waiting, func(o *waiter) bool { return o == w })
	})
}

func (p *platform) finish(w *waiter) {
	w.done = true
	p.answer(w.node, w.eff, msg.WatchDone{
		Call:     w.eff.Call,
		Objects:  p.list(w.eff.Kind, "", uint64(w.eff.Since)),
		Revision: msg.Revision(p.revision),
	})
}

// answer sends an answer back, unless it is to be lost or the way is cut.
func (p *platform) answer(n *node, eff msg.Effect, ev msg.Event) {
	_, write := eff.(msg.PutObject)
	lost := p.world.cut(platformHost, n.host.Host) || p.isDown(eff)
	if write && p.loseNext > 0 {
		p.loseNext--
		lost = true
	}
	if write && p.loseShare > 0 && p.world.rand.Float64() < p.loseShare {
		lost = true
	}
	if !lost {
		p.world.at(platformLatency, func() { n.deliver(ev) })
		return
	}
	status := msg.CallUnavailable
	if write {
		status = msg.CallUnknown
	}
	p.world.at(callTimeout, func() { n.deliver(failed(eff, status)) })
}

// failed is the event of a call that got no answer.
func failed(eff msg.Effect, s msg.CallStatus) msg.Event {
	switch eff := eff.(type) {
	case msg.ListHosts:
		return msg.HostsListed{Call: eff.Call, Status: s}
	case msg.GetObject:
		return msg.GetDone{Call: eff.Call, Status: s}
	case msg.ListObjects:
		return msg.ListDone{Call: eff.Call, Status: s}
	case msg.WatchObjects:
		return msg.WatchDone{Call: eff.Call, Status: s}
	case msg.PutObject:
		return msg.PutDone{Call: eff.Call, Status: s}
	case msg.DeleteObject:
		return msg.PutDone{Call: eff.Call, Status: s}
	}
	panic("the platform does not know this call")
}
