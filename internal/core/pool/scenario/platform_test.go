package scenario

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// platform is a fake of the object API and the host list.
type platform struct {
	sim            *simulation
	revision       uint64
	objects        map[objectKey]msg.Object
	pendingWatches []*pendingWatch

	down bool
	// hostsUp keeps the host list available while the object API is down.
	hostsUp bool
	// lostResponses is the number of next writes whose responses are lost.
	lostResponses int
	// responseLossRate is the probability that the response to a write is lost.
	responseLossRate float64
	latency          time.Duration
	// extraLatency returns the additional time that a call takes to arrive.
	extraLatency func(n *node, eff msg.Effect) time.Duration
	// onPut is called with each write as it arrives.
	onPut func(eff msg.PutObject)

	reads, writes, watches int
}

type objectKey struct {
	kind msg.Kind
	name string
}

type pendingWatch struct {
	node *node
	eff  msg.WatchObjects
	done bool
}

func newPlatform(sim *simulation) *platform {
	return &platform{
		sim:          sim,
		objects:      make(map[objectKey]msg.Object),
		extraLatency: func(*node, msg.Effect) time.Duration { return 0 },
		onPut:        func(msg.PutObject) {},
	}
}

// call sends a call of a node to the platform.
func (p *platform) call(n *node, eff msg.Effect) {
	reply := func(d time.Duration, ev msg.Event) { p.sim.at(d, func() { n.deliver(ev) }) }
	if p.sim.cut(n.host.Host, platformHost) {
		reply(dialTimeout, failed(eff, msg.CallUnavailable))
		return
	}
	if put, ok := eff.(msg.PutObject); ok && put.NotAfter != 0 && n.clock() >= put.NotAfter {
		reply(0, failed(eff, msg.CallUnavailable))
		return
	}
	p.sim.at(platformLatency+p.latency+p.extraLatency(n, eff), func() {
		if p.isDown(eff) {
			reply(platformLatency, failed(eff, msg.CallUnavailable))
			return
		}
		p.execute(n, eff)
	})
}

func (p *platform) isDown(eff msg.Effect) bool {
	if _, ok := eff.(msg.ListHosts); ok && p.hostsUp {
		return false
	}
	return p.down
}

func (p *platform) execute(n *node, eff msg.Effect) {
	answer := func(ev msg.Event) { p.respond(n, eff, ev) }
	switch eff := eff.(type) {
	case msg.ListHosts:
		p.reads++
		answer(msg.HostsListed{Call: eff.Call, Hosts: slices.Clone(p.sim.hosts)})
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
		p.watch(&pendingWatch{node: n, eff: eff})
	default:
		panic("unsupported call to the platform")
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
	for _, w := range p.pendingWatches {
		if w.eff.Kind == k.kind {
			p.finish(w)
		}
	}
	p.pendingWatches = slices.DeleteFunc(p.pendingWatches, func(w *pendingWatch) bool { return w.done })
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

func (p *platform) watch(w *pendingWatch) {
	if len(p.list(w.eff.Kind, "", uint64(w.eff.Since))) > 0 || w.eff.Wait == 0 {
		p.finish(w)
		return
	}
	p.pendingWatches = append(p.pendingWatches, w)
	p.sim.at(w.eff.Wait, func() {
		if w.done {
			return
		}
		p.finish(w)
		p.pendingWatches = slices.DeleteFunc(p.pendingWatches, func(o *pendingWatch) bool { return o == w })
	})
}

func (p *platform) finish(w *pendingWatch) {
	w.done = true
	p.respond(w.node, w.eff, msg.WatchDone{
		Call:     w.eff.Call,
		Objects:  p.list(w.eff.Kind, "", uint64(w.eff.Since)),
		Revision: msg.Revision(p.revision),
	})
}

// respond sends the response to a call, unless the response is to be lost or
// the connection is cut.
func (p *platform) respond(n *node, eff msg.Effect, ev msg.Event) {
	_, write := eff.(msg.PutObject)
	lost := p.sim.cut(platformHost, n.host.Host) || p.isDown(eff)
	if write && p.lostResponses > 0 {
		p.lostResponses--
		lost = true
	}
	if write && p.responseLossRate > 0 && p.sim.rand.Float64() < p.responseLossRate {
		lost = true
	}
	if !lost {
		p.sim.at(platformLatency, func() { n.deliver(ev) })
		return
	}
	status := msg.CallUnavailable
	if write {
		status = msg.CallUnknown
	}
	p.sim.at(callTimeout, func() { n.deliver(failed(eff, status)) })
}

// failed returns the result of a call that got no response.
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
	panic("unsupported call to the platform")
}
