package proof

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Scenes are faults and requests that meet. Single actions meet like this
// only in very many cases.

// entries returns three live entries, the first of them drawn, or nil.
func (f *fuzzer) entries(t *rapid.T) []*proc {
	alive := f.s.alive(msg.HostEntry)
	if len(alive) < 3 {
		return nil
	}
	i := rapid.IntRange(0, 2).Draw(t, "entry")
	return []*proc{alive[i], alive[(i+1)%3], alive[(i+2)%3]}
}

// isolate cuts a host off from others for some time.
func (f *fuzzer) isolate(a msg.HostID, others []msg.HostID, d time.Duration) {
	for _, b := range others {
		f.s.setCut(a, b, 3, true)
	}
	f.s.after(d, func() {
		for _, b := range others {
			f.s.setCut(a, b, 3, false)
		}
	})
}

// withdraw takes the key a-2 out of the configuration.
func (f *fuzzer) withdraw(p *proc) {
	if _, ok := f.s.keys["a-2"]; !ok {
		return
	}
	f.s.toggleKey("a-2")
	f.s.propose(p, p.gen)
}

// corner: an entry that reaches the targets only, while a key is withdrawn.
func (f *fuzzer) corner(t *rapid.T) {
	e := f.entries(t)
	if e == nil {
		return
	}
	f.isolate(e[0].self.Host, []msg.HostID{platform, e[1].self.Host, e[2].self.Host}, 20*time.Second)
	f.withdraw(e[1])
	f.sendFor(t, e[0])
}

// split: only one entry reaches the platform; the others see each other.
func (f *fuzzer) split(t *rapid.T) {
	e := f.entries(t)
	if e == nil {
		return
	}
	f.isolate(e[0].self.Host, []msg.HostID{e[1].self.Host, e[2].self.Host}, 20*time.Second)
	f.isolate(e[1].self.Host, []msg.HostID{platform}, 20*time.Second)
	f.isolate(e[2].self.Host, []msg.HostID{platform}, 20*time.Second)
	f.withdraw(e[0])
	f.sendFor(t, e[1])
}

// sendFor sends requests with a withdrawn key for some seconds.
func (f *fuzzer) sendFor(t *rapid.T, p *proc) {
	for range rapid.IntRange(4, 14).Draw(t, "seconds") {
		f.s.sendKeyed(p, "a-2", "")
		f.s.run(time.Second)
	}
}

// crashAndResend: a target goes down under an order, which is sent again.
func (f *fuzzer) crashAndResend(t *rapid.T) {
	p := f.some(t, msg.HostEntry)
	if p == nil {
		return
	}
	f.s.nextOp++
	op := fmt.Sprintf("op-%d", f.s.nextOp)
	f.s.sendKeyed(p, "b-1", op)
	f.s.run(drawTime(t, "until the crash", 5*time.Millisecond, 60*time.Millisecond))
	for _, h := range []msg.HostID{"t3", "t4"} {
		f.s.engines[h].crash()
	}
	for range rapid.IntRange(1, 3).Draw(t, "resends") {
		f.s.run(drawTime(t, "pause", 10*time.Millisecond, 6*time.Second))
		if again := f.some(t, msg.HostEntry); again != nil {
			f.s.sendKeyed(again, "b-1", op)
		}
	}
}

// cutWhileRunning: an entry loses its connection to the targets under its
// requests, for longer than it waits for a connection to come back.
func (f *fuzzer) cutWhileRunning(t *rapid.T) {
	p := f.some(t, msg.HostEntry)
	if p == nil {
		return
	}
	f.s.nextOp++
	f.s.sendKeyed(p, "b-1", fmt.Sprintf("op-%d", f.s.nextOp))
	f.s.sendKeyed(p, "b-1", "")
	f.s.run(drawTime(t, "until the cut", 5*time.Millisecond, 150*time.Millisecond))
	for _, h := range []msg.HostID{"t1", "t3"} {
		f.isolate(p.self.Host, []msg.HostID{h}, drawTime(t, "for", 4*time.Second, 8*time.Second))
	}
	f.s.run(drawTime(t, "pause", time.Second, 10*time.Second))
}

// leave: a target's host begins to leave, and its process is not yet told.
func (f *fuzzer) leave(t *rapid.T) {
	s, p := f.s, f.some(t, msg.HostTarget)
	if p == nil || p.stopped || s.serving(p) < 2 {
		return
	}
	id := p.self.Host
	if _, ok := s.oracle.leaving[id]; ok {
		return
	}
	s.setState(id, msg.HostLeaving)
	s.oracle.leaving[id] = s.now
	s.after(drawTime(t, "for", 5*time.Second, 20*time.Second), func() {
		delete(s.oracle.leaving, id)
		s.setState(id, msg.HostLive)
	})
	e := f.some(t, msg.HostEntry)
	if e == nil {
		return
	}
	for range rapid.IntRange(0, 12).Draw(t, "seconds") {
		s.nextOp++
		s.sendKeyed(e, "b-1", "")
		s.sendKeyed(e, "b-1", fmt.Sprintf("op-%d", s.nextOp))
		s.run(time.Second)
	}
}

// lostAnswers: the platform's answers are lost while a change and orders are
// written, after their effect.
func (f *fuzzer) lostAnswers(t *rapid.T) {
	s, p := f.s, f.some(t, msg.HostEntry)
	if p == nil {
		return
	}
	s.loseRate = 0.8
	s.after(drawTime(t, "for", time.Second, 5*time.Second), func() { s.loseRate = 0 })
	s.toggleKey("a-2")
	s.propose(p, p.gen)
	s.nextOp++
	s.sendKeyed(p, "b-1", fmt.Sprintf("op-%d", s.nextOp))
	s.run(drawTime(t, "pause", time.Second, 8*time.Second))
}
