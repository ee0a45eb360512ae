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

// When the network drops the packets of a connection, the attempt is resumed on a
// new one.
func TestSilentConnectionResumesWithoutLossOrDuplicates(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 60, step: 20 * time.Millisecond, starts: map[msg.AttemptID]int{}})
	expectEvent[msg.Started](t, harness.events)
	x := harness.start(t.Context(), "a1")
	text := x.readChunks(10)
	is.Equal(harness.middlebox.forget(), 1) // One connection carried the attempt.
	text += x.readChunks(50)
	ended := expectEvent[msg.AttemptEnded](t, harness.events)
	is.Equal(ended.Result, msg.AttemptDone)
	is.Equal(text, wholeText(60))
	is.Equal(harness.target.starts, map[msg.AttemptID]int{"a1": 1}) // The attempt was resumed and did not run again.
}

// A connection that was taken out of use because it is silent is reported as lost.
// When it is replaced, the peer is reported as up again.
func TestRetiredConnectionIsReportedDown(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 60, step: 20 * time.Millisecond, starts: map[msg.AttemptID]int{}})
	x := harness.start(t.Context(), "a1")
	x.readChunks(10)
	expectEvent[msg.PeerUp](t, harness.events)
	is.Equal(harness.middlebox.forget(), 1)
	x.readChunks(50)
	expectEvent[msg.PeerDown](t, harness.events)
	expectEvent[msg.PeerUp](t, harness.events)
}

// If an entry daemon resumes an attempt that is unknown to the side daemon, the side
// daemon reports that it did not run. This must stay true if the offer of the attempt
// arrives later.
func TestResumeOfUnknownAttemptKeepsItFromRunning(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 3, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	s, _, err := harness.entry.node.OpenAttempt(t.Context(), "s1", nil)
	is.NoErr(err)
	is.NoErr(s.Write(&link.Frame{Resume: &link.AttemptResume{Attempt: "late"}}, time.Second))
	f, err := s.Read()
	is.NoErr(err)
	is.True(f.Refused != nil) // The attempt is unknown to the side daemon.

	// The delayed offer of the attempt arrives afterwards.
	r := &attemptReader{
		entry: harness.entry, exchange: newExchange(t.Context(), "r", true, link.Payload{}), host: "s1", ctx: t.Context(),
		spec: msg.AttemptSpec{Attempt: "late", Timeout: time.Second}, checksum: xxhash.New(),
	}
	end := r.run(&link.AttemptOpen{Spec: r.spec})
	is.Equal(end.result, msg.AttemptNotRun)
	is.Equal(len(harness.target.starts), 0)
}

// An entry daemon that was paused resumes an attempt whose frames the side daemon has
// removed. The attempt ran, so the side daemon must not report it as not run.
func TestEvictedAttemptIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 1, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	harness.start(t.Context(), "a1").readChunks(1)
	is.Equal(expectEvent[msg.AttemptEnded](t, harness.events).Result, msg.AttemptDone)
	for harness.side.attempts.anyAwaited(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	harness.side.attempts.sweep(time.Now().Add(2 * attemptGrace))
	is.True(harness.side.attempts.get("a1") == nil)
	s, _, err := harness.entry.node.OpenAttempt(t.Context(), "s1", nil)
	is.NoErr(err)
	is.NoErr(s.Write(&link.Frame{Resume: &link.AttemptResume{Attempt: "a1"}}, time.Second))
	f, err := s.Read()
	is.NoErr(err)
	is.True(f.Refused == nil)
	is.Equal(f.End.Result, msg.AttemptLost)
}

// The side daemon's attempt table may have removed an ended attempt that is still
// recorded in its reducer. A second offer of the attempt must not be reported as not
// run, and must not run again.
func TestRepeatedOfferIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 1, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	harness.start(t.Context(), "a1").readChunks(1)
	is.Equal(expectEvent[msg.AttemptEnded](t, harness.events).Result, msg.AttemptDone)
	harness.side.attempts.mu.Lock()
	delete(harness.side.attempts.runs, "a1")
	harness.side.attempts.mu.Unlock()
	harness.start(t.Context(), "a1")
	is.Equal(expectEvent[msg.AttemptEnded](t, harness.events).Result, msg.AttemptLost)
	is.Equal(harness.target.starts, map[msg.AttemptID]int{"a1": 1})
}

// A stopping side daemon waits for an entry daemon that lost its connection before it had
// read the end of an attempt.
func TestStopWaitsForResumption(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 30, step: 20 * time.Millisecond, starts: map[msg.AttemptID]int{}})
	expectEvent[msg.Started](t, harness.events)
	x := harness.start(t.Context(), "a1")
	text := x.readChunks(10)
	is.Equal(harness.middlebox.forget(), 1)
	run := harness.side.attempts.get("a1")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for ended := false; !ended; time.Sleep(time.Millisecond) {
			_, ended = run.detachedFor(time.Now())
		}
		harness.side.drainStreams()
		harness.side.node.Close()
	}()
	is.Equal(expectEvent[msg.AttemptEnded](t, harness.events).Result, msg.AttemptDone)
	is.Equal(text+x.readChunks(20), wholeText(30))
	<-stopped
}

// Cancelling an attempt on the entry daemon stops its run on the target.
func TestCancelStopsTargetRun(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 1_000_000, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	x := harness.start(t.Context(), "a1")
	x.readChunks(3)
	harness.entry.loop.Query(func(now msg.Time) {
		harness.entry.execute(now, msg.CancelAttempt{Attempt: "a1", Reason: "caller left"})
	})
	is.Equal(expectEvent[msg.AttemptEnded](t, harness.events).Result, msg.AttemptCancelled)
	run := harness.side.attempts.get("a1")
	<-run.ctx.Done()
}

// An attempt whose caller does not read must not use up the flow control window that
// all streams of the connection share.
func TestSlowCallerDoesNotBlockOtherStreams(t *testing.T) {
	is := is.New(t)
	const tokens = 60_000
	harness := newLinkHarness(t, &scriptedTarget{tokens: tokens, step: 0, starts: map[msg.AttemptID]int{}})
	harness.start(t.Context(), "slow") // Its chunks are not read.
	x := harness.start(t.Context(), "quick")
	is.Equal(x.readChunks(tokens), wholeText(tokens))
}

// A peer with a certificate of another authority is refused, and so is data that is
// not QUIC. Neither affects other peers.
func TestUntrustedPeerIsRefusedInIsolation(t *testing.T) {
	is := is.New(t)
	harness := newLinkHarness(t, &scriptedTarget{tokens: 3, step: time.Millisecond, starts: map[msg.AttemptID]int{}})
	foreign, err := identity.OpenAuthority(t.TempDir())
	is.NoErr(err)
	stranger := newTestNode(t, foreign, link.Hello{Host: "e1"}, msg.HostEntry, testEntryLinkAddr+":"+newTestPort(), harness.entry)
	defer stranger.Close()
	stranger.SetAddr(link.Peer{Kind: msg.HostTarget, Host: "s1"}, testSideIP)
	_, _, err = stranger.OpenAttempt(t.Context(), "s1", nil)
	is.True(err != nil)
	// Invalid datagrams are ignored.
	c, err := net.Dial("udp", harness.middlebox.to.String())
	is.NoErr(err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	x := harness.start(t.Context(), "a1")
	is.Equal(x.readChunks(3), wholeText(3))
}
