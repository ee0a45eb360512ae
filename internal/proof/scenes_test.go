package proof

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The actions in this file combine faults and requests. Sequences of single
// actions lead to such combinations in very few cases only.

// drawEntries returns three live entries in cyclic order, starting with a drawn
// one, or nil if there are fewer.
func (f *fuzzer) drawEntries(t *rapid.T) []*proc {
	alive := f.s.live(msg.HostEntry)
	if len(alive) < 3 {
		return nil
	}
	i := rapid.IntRange(0, 2).Draw(t, "entry")
	return []*proc{alive[i], alive[(i+1)%3], alive[(i+2)%3]}
}

// blockHosts blocks the network between a host and others for d.
func (f *fuzzer) blockHosts(a msg.HostID, others []msg.HostID, d time.Duration) {
	for _, b := range others {
		f.s.setBlocked(a, b, 3, true)
	}
	f.s.after(d, func() {
		for _, b := range others {
			f.s.setBlocked(a, b, 3, false)
		}
	})
}

// withdrawKey proposes a configuration without the key a-2, unless it is already
// withdrawn.
func (f *fuzzer) withdrawKey(p *proc) {
	if _, ok := f.s.keys["a-2"]; !ok {
		return
	}
	f.s.toggleKey("a-2")
	f.s.propose(p, p.generation)
}

// isolateEntry withdraws a key while an entry can reach targets only, and sends
// requests with that key to this entry.
func (f *fuzzer) isolateEntry(t *rapid.T) {
	entries := f.drawEntries(t)
	if entries == nil {
		return
	}
	f.blockHosts(entries[0].self.Host, []msg.HostID{platform, entries[1].self.Host, entries[2].self.Host}, 20*time.Second)
	f.withdrawKey(entries[1])
	f.sendWithWithdrawnKey(t, entries[0])
}

// splitEntries withdraws a key through the only entry that can reach the platform.
// The other two can reach each other, and one of them receives requests with that
// key.
func (f *fuzzer) splitEntries(t *rapid.T) {
	e := f.drawEntries(t)
	if e == nil {
		return
	}
	f.blockHosts(e[0].self.Host, []msg.HostID{e[1].self.Host, e[2].self.Host}, 20*time.Second)
	f.blockHosts(e[1].self.Host, []msg.HostID{platform}, 20*time.Second)
	f.blockHosts(e[2].self.Host, []msg.HostID{platform}, 20*time.Second)
	f.withdrawKey(e[0])
	f.sendWithWithdrawnKey(t, e[1])
}

// sendWithWithdrawnKey sends a request with the key a-2 each second for some
// seconds.
func (f *fuzzer) sendWithWithdrawnKey(t *rapid.T, p *proc) {
	for range rapid.IntRange(4, 14).Draw(t, "seconds") {
		f.s.sendKeyed(p, "a-2", "")
		f.s.run(time.Second)
	}
}

// crashAndResend crashes the plain service while it runs an operation, and sends
// the operation again.
func (f *fuzzer) crashAndResend(t *rapid.T) {
	p := f.drawProcess(t, msg.HostEntry)
	if p == nil {
		return
	}
	f.s.operationCount++
	op := fmt.Sprintf("op-%d", f.s.operationCount)
	f.s.sendKeyed(p, "b-1", op)
	f.s.run(drawDuration(t, "until the crash", 5*time.Millisecond, 60*time.Millisecond))
	for _, h := range []msg.HostID{"t3", "t4"} {
		f.s.engines[h].crash()
	}
	for range rapid.IntRange(1, 3).Draw(t, "resends") {
		f.s.run(drawDuration(t, "pause", 10*time.Millisecond, 6*time.Second))
		if again := f.drawProcess(t, msg.HostEntry); again != nil {
			f.s.sendKeyed(again, "b-1", op)
		}
	}
}

// disconnectTargets disconnects an entry from targets that run its requests, for
// 4 s to 8 s. This may be longer than reconnectTimeout, for which the entry waits
// for the connection to be restored.
func (f *fuzzer) disconnectTargets(t *rapid.T) {
	p := f.drawProcess(t, msg.HostEntry)
	if p == nil {
		return
	}
	f.s.operationCount++
	f.s.sendKeyed(p, "b-1", fmt.Sprintf("op-%d", f.s.operationCount))
	f.s.sendKeyed(p, "b-1", "")
	f.s.run(drawDuration(t, "until the cut", 5*time.Millisecond, 150*time.Millisecond))
	for _, h := range []msg.HostID{"t1", "t3"} {
		f.blockHosts(p.self.Host, []msg.HostID{h}, drawDuration(t, "for", 4*time.Second, 8*time.Second))
	}
	f.s.run(drawDuration(t, "pause", time.Second, 10*time.Second))
}

// leaveUnannounced marks a target's host as leaving without a request to its
// process to stop, and sends requests meanwhile.
func (f *fuzzer) leaveUnannounced(t *rapid.T) {
	s, p := f.s, f.drawProcess(t, msg.HostTarget)
	if p == nil || p.stopped || s.servingCount(p) < 2 {
		return
	}
	id := p.self.Host
	if _, ok := s.oracle.leavingSince[id]; ok {
		return
	}
	s.setState(id, msg.HostLeaving)
	s.oracle.leavingSince[id] = s.now
	s.after(drawDuration(t, "for", 5*time.Second, 20*time.Second), func() {
		delete(s.oracle.leavingSince, id)
		s.setState(id, msg.HostLive)
	})
	e := f.drawProcess(t, msg.HostEntry)
	if e == nil {
		return
	}
	for range rapid.IntRange(0, 12).Draw(t, "seconds") {
		s.operationCount++
		s.sendKeyed(e, "b-1", "")
		s.sendKeyed(e, "b-1", fmt.Sprintf("op-%d", s.operationCount))
		s.run(time.Second)
	}
}

// loseAnswers loses 80% of the platform's responses to calls that take effect, while a configuration change and an operation are written.
func (f *fuzzer) loseAnswers(t *rapid.T) {
	s, p := f.s, f.drawProcess(t, msg.HostEntry)
	if p == nil {
		return
	}
	s.answerLossRate = 0.8
	s.after(drawDuration(t, "for", time.Second, 5*time.Second), func() { s.answerLossRate = 0 })
	s.toggleKey("a-2")
	s.propose(p, p.generation)
	s.operationCount++
	s.sendKeyed(p, "b-1", fmt.Sprintf("op-%d", s.operationCount))
	s.run(drawDuration(t, "pause", time.Second, 8*time.Second))
}
