package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

func TestSilentConnectionResumesWithoutLossOrDuplicates(t *testing.T) {
	is := is.New(t)
	b := newLinkHarness(t, &scriptedTarget{tokens: 60, step: 20 * time.Millisecond, starts: map[msg.AttemptID]int{}})
	expectEvent[msg.Started](t, b.events)
	x := b.start(t.Context(), "a1")
	text := x.readChunks(10)
	is.Equal(b.middlebox.forget(), 1) // one connection carried it
	text += x.readChunks(50)
	ended := expectEvent[msg.AttemptEnded](t, b.events)
	is.Equal(ended.Result, msg.AttemptDone)
	is.Equal(text, wholeText(60))
	is.Equal(b.target.starts, map[msg.AttemptID]int{"a1": 1}) // resumed, not run again
}

func TestResumeOfUnknownAttemptKeepsItFromRunning(t *testing.T) {
	is := is.New(t)
	b := newLinkHarness(t, &scriptedTarget{tokens: 3, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	s, _, err := b.entry.node.OpenAttempt(t.Context(), "s1", nil)
	is.NoErr(err)
	is.NoErr(s.Write(&link.Frame{Resume: &link.AttemptResume{Attempt: "late"}}, time.Second))
	f, err := s.Read()
	is.NoErr(err)
	is.True(f.Refused != nil) // the side daemon does not know it

	// The attempt that was on its way arrives afterwards.
	r := &attemptReader{
		entry: b.entry, exchange: newExchange(t.Context(), "r", true, link.Payload{}), host: "s1", ctx: t.Context(),
		spec: msg.AttemptSpec{Attempt: "late", Timeout: time.Second}, checksum: xxhash.New(),
	}
	end := r.run(&link.AttemptOpen{Spec: r.spec})
	is.Equal(end.result, msg.AttemptNotRun)
	is.Equal(len(b.target.starts), 0)
}

// An entry daemon that was paused comes back for an attempt whose frames the
// side daemon no longer keeps. It ran, so "not run" would be untrue.
func TestEvictedAttemptIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	b := newLinkHarness(t, &scriptedTarget{tokens: 1, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	b.start(t.Context(), "a1").readChunks(1)
	is.Equal(expectEvent[msg.AttemptEnded](t, b.events).Result, msg.AttemptDone)
	for b.side.attempts.anyAttached() {
		time.Sleep(time.Millisecond)
	}
	b.side.attempts.sweep(time.Now().Add(2 * attemptGrace))
	is.True(b.side.attempts.get("a1") == nil)
	s, _, err := b.entry.node.OpenAttempt(t.Context(), "s1", nil)
	is.NoErr(err)
	is.NoErr(s.Write(&link.Frame{Resume: &link.AttemptResume{Attempt: "a1"}}, time.Second))
	f, err := s.Read()
	is.NoErr(err)
	is.True(f.Refused == nil)
	is.Equal(f.End.Result, msg.AttemptLost)
}

// The side daemon's table may have forgotten an ended attempt that its reducer
// still remembers.
func TestRepeatedOfferIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	b := newLinkHarness(t, &scriptedTarget{tokens: 1, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	b.start(t.Context(), "a1").readChunks(1)
	is.Equal(expectEvent[msg.AttemptEnded](t, b.events).Result, msg.AttemptDone)
	b.side.attempts.mu.Lock()
	delete(b.side.attempts.runs, "a1")
	b.side.attempts.mu.Unlock()
	b.start(t.Context(), "a1")
	is.Equal(expectEvent[msg.AttemptEnded](t, b.events).Result, msg.AttemptLost)
	is.Equal(b.target.starts, map[msg.AttemptID]int{"a1": 1})
}

func TestCancelStopsTargetRun(t *testing.T) {
	is := is.New(t)
	b := newLinkHarness(t, &scriptedTarget{tokens: 1_000_000, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	x := b.start(t.Context(), "a1")
	x.readChunks(3)
	b.entry.loop.Query(func(now msg.Time) { b.entry.execute(now, msg.CancelAttempt{Attempt: "a1", Reason: "caller left"}) })
	is.Equal(expectEvent[msg.AttemptEnded](t, b.events).Result, msg.AttemptCancelled)
	run := b.side.attempts.get("a1")
	<-run.ctx.Done()
}

func TestSlowCallerDoesNotBlockOtherStreams(t *testing.T) {
	is := is.New(t)
	const tokens = 60_000
	b := newLinkHarness(t, &scriptedTarget{tokens: tokens, step: 0, starts: map[msg.AttemptID]int{}})
	b.start(t.Context(), "slow") // nobody reads it
	x := b.start(t.Context(), "quick")
	is.Equal(x.readChunks(tokens), wholeText(tokens))
}

func TestUntrustedPeerIsRefusedInIsolation(t *testing.T) {
	is := is.New(t)
	b := newLinkHarness(t, &scriptedTarget{tokens: 3, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	foreign, err := identity.OpenAuthority(t.TempDir())
	is.NoErr(err)
	port := freePort(t)
	stranger := newTestNode(t, foreign, link.Hello{Host: "e1"}, msg.HostEntry, "127.0.90.4:"+port, b.entry)
	defer stranger.Close()
	stranger.SetAddr(link.Peer{Kind: msg.HostTarget, Host: "s1"}, testSideIP)
	_, _, err = stranger.OpenAttempt(t.Context(), "s1", nil)
	is.True(err != nil)
	// Garbage on the port is passed over.
	c, err := net.Dial("udp", b.middlebox.to.String())
	is.NoErr(err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	x := b.start(t.Context(), "a1")
	is.Equal(x.readChunks(3), wholeText(3))
}
