package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
)

const (
	// resumeFor bounds the time spent on finding a side daemon again after its
	// stream broke or went silent.
	resumeFor = 5 * time.Second
	// resumePause is the time between two such tries.
	resumePause = 200 * time.Millisecond
	// progressInterval is the least time between two progress events.
	progressInterval = 200 * time.Millisecond
)

// attemptRead follows one attempt from the entry daemon's end.
type attemptRead struct {
	e     *entry
	x     *exchange
	spec  msg.AttemptSpec
	host  msg.HostID
	ctx   context.Context
	next  uint64
	sum   *xxhash.Digest
	taken bool
	told  time.Time
}

// attemptEnd is the end of an attempt before it is told to the reducer.
type attemptEnd struct {
	result     msg.AttemptResult
	reason     string
	usage      msg.TokenUsage
	retryAfter time.Duration
}

func lost(err error) attemptEnd {
	return attemptEnd{result: msg.AttemptLost, reason: err.Error()}
}

func notRun(err error) attemptEnd {
	return attemptEnd{result: msg.AttemptNotRun, reason: err.Error()}
}

// run follows the attempt to its end.
func (r *attemptRead) run(open *link.AttemptOpen) attemptEnd {
	s, hello, err := r.e.node.OpenAttempt(r.ctx, r.host, nil)
	if err != nil {
		return notRun(err)
	}
	first := &link.Frame{Open: open}
	began := time.Now()
	var deadline time.Time
	for {
		end, err := r.follow(s, first)
		if err == nil && end.result == msg.AttemptNotRun && time.Since(began) > rememberFor/2 {
			// The side daemon may have forgotten that it ran.
			return attemptEnd{result: msg.AttemptLost, reason: end.reason}
		}
		if err == nil {
			return end
		}
		if r.ctx.Err() != nil {
			return attemptEnd{result: msg.AttemptCancelled, reason: context.Cause(r.ctx).Error()}
		}
		if errors.Is(err, errSuperseded) || errors.Is(err, errAnswerTooBig) {
			return attemptEnd{result: msg.AttemptFailed, reason: err.Error()}
		}
		// A stream that brought something restarts the time.
		if deadline.IsZero() || r.taken {
			deadline = time.Now().Add(resumeFor)
		}
		r.taken = false
		if s, err = r.reopen(s, hello, deadline); err != nil {
			return lost(err)
		}
		first = &link.Frame{Resume: &link.AttemptResume{Attempt: r.spec.Attempt, Next: r.next}}
	}
}

// reopen opens a stream on a new connection to the same side process.
func (r *attemptRead) reopen(old *link.Stream, hello *link.Hello, deadline time.Time) (*link.Stream, error) {
	old.Reset()
	for {
		s, h, err := r.e.node.OpenAttempt(r.ctx, r.host, old)
		if err == nil && h.Incarnation != hello.Incarnation {
			s.Reset()
			return nil, errors.New("side daemon was restarted")
		}
		if err == nil {
			return s, nil
		}
		if r.ctx.Err() != nil || time.Now().After(deadline) {
			return nil, errors.Wrap(err, "side daemon is away")
		}
		time.Sleep(resumePause)
	}
}

// follow reads one stream. An error means that the stream broke; the attempt
// may go on.
func (r *attemptRead) follow(s *link.Stream, first *link.Frame) (attemptEnd, error) {
	done := make(chan struct{})
	defer close(done)
	stop := context.AfterFunc(r.ctx, func() {
		_ = s.Write(&link.Frame{Cancel: &link.AttemptCancel{Reason: context.Cause(r.ctx).Error()}}, time.Second)
		s.CloseWrite()
		time.AfterFunc(time.Second, s.Reset)
	})
	defer stop()
	if err := s.Write(first, resumeFor); err != nil {
		return attemptEnd{}, err
	}
	go s.SendHeartbeats(done)
	acked := r.next
	for {
		f, err := s.Read()
		if err != nil {
			return attemptEnd{}, err
		}
		end, over, err := r.take(f)
		if err == nil && r.next-acked >= link.Credit/4 {
			acked = r.next
			err = s.Write(&link.Frame{Ack: &link.AttemptAck{Next: acked}}, resumeFor)
		}
		if over || err != nil {
			s.CloseWrite()
			return end, err
		}
	}
}

// take handles one frame and reports whether it was the last.
func (r *attemptRead) take(f *link.Frame) (attemptEnd, bool, error) {
	switch {
	case f.Refused != nil:
		return attemptEnd{result: msg.AttemptNotRun, reason: f.Refused.Reason, retryAfter: f.Refused.RetryAfter}, true, nil
	case f.Accepted != nil:
		if r.next == 0 {
			r.e.loop.Post(msg.AttemptAccepted{Attempt: r.spec.Attempt})
		}
		return attemptEnd{}, false, nil
	case f.Head != nil:
		return attemptEnd{}, false, r.takeContent(f, f.Head.Seq)
	case f.Chunk != nil:
		addChecksum(r.sum, f.Chunk)
		return attemptEnd{}, false, r.takeContent(f, f.Chunk.Seq)
	case f.End != nil:
		return r.takeEnd(f.End), true, nil
	}
	return attemptEnd{}, false, nil
}

func (r *attemptRead) takeContent(f *link.Frame, seq uint64) error {
	if seq != r.next {
		return errors.Newf("frame %d came in place of %d", seq, r.next)
	}
	r.next++
	r.taken = true
	if r.spec.PrefillOnly {
		return nil
	}
	if err := r.x.deliver(r.spec.Attempt, f); err != nil {
		return err
	}
	if seq == 0 || time.Since(r.told) >= progressInterval {
		r.told = time.Now()
		r.e.loop.Post(msg.AttemptProgress{Attempt: r.spec.Attempt, Tokens: r.x.progress()})
	}
	return nil
}

func (r *attemptRead) takeEnd(end *link.End) attemptEnd {
	if end.Result == msg.AttemptLost {
		return attemptEnd{result: msg.AttemptLost, reason: end.Reason}
	}
	if end.Frames != r.next || end.Checksum != r.sum.Sum64() {
		return attemptEnd{result: msg.AttemptFailed, reason: "answer failed its check", usage: end.Usage}
	}
	return attemptEnd{result: end.Result, reason: end.Reason, usage: end.Usage}
}
