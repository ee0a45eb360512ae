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
	// resumeTimeout limits the time spent on reconnecting to a side daemon after an
	// attempt's stream broke or went silent.
	resumeTimeout = 5 * time.Second
	// resumeRetryInterval is the time between two tries to reconnect.
	resumeRetryInterval = 200 * time.Millisecond
	// progressInterval is the minimum time between two progress events.
	progressInterval = 200 * time.Millisecond
)

// attemptReader receives the frames of one attempt on the entry daemon.
type attemptReader struct {
	entry    *entry
	exchange *exchange
	spec     msg.AttemptSpec
	host     msg.HostID
	ctx      context.Context
	// next is the sequence number of the next frame that is expected.
	next uint64
	// checksum is the running checksum of the response.
	checksum *xxhash.Digest
	// progressed reports whether the present stream has delivered content.
	progressed bool
	// lastProgress is the time of the last progress event.
	lastProgress time.Time
}

// attemptEnd is the end of an attempt, to be reported to the reducer.
type attemptEnd struct {
	result     msg.AttemptResult
	reason     string
	usage      msg.TokenUsage
	retryAfter time.Duration
}

// lostAttempt returns the end of an attempt that may have run.
func lostAttempt(err error) attemptEnd {
	return attemptEnd{result: msg.AttemptLost, reason: err.Error()}
}

// notRunAttempt returns the end of an attempt that certainly did not run.
func notRunAttempt(err error) attemptEnd {
	return attemptEnd{result: msg.AttemptNotRun, reason: err.Error()}
}

// run offers the attempt to its side daemon and receives the response until the
// attempt ends. It resumes the attempt on a new stream if the stream fails.
func (r *attemptReader) run(open *link.AttemptOpen) attemptEnd {
	s, hello, err := r.entry.node.OpenAttempt(r.ctx, r.host, nil)
	if err != nil {
		return notRunAttempt(err)
	}
	first := &link.Frame{Open: open}
	startTime := time.Now()
	var deadline time.Time
	for {
		end, err := r.readStream(s, first)
		if err == nil && end.result == msg.AttemptNotRun && time.Since(startTime) > attemptIDRetention/2 {
			// The side daemon forgets that an attempt ran after attemptIDRetention.
			// After half of that time its record may be gone, so the refusal is no
			// longer taken as proof that the attempt did not run.
			return attemptEnd{result: msg.AttemptLost, reason: end.reason}
		}
		if err == nil {
			return end
		}
		if r.ctx.Err() != nil {
			return attemptEnd{result: msg.AttemptCancelled, reason: context.Cause(r.ctx).Error()}
		}
		if errors.Is(err, errSuperseded) || errors.Is(err, errResponseTooLarge) {
			return attemptEnd{result: msg.AttemptFailed, reason: err.Error()}
		}
		// A stream that delivered content restarts the timeout.
		if deadline.IsZero() || r.progressed {
			deadline = time.Now().Add(resumeTimeout)
		}
		r.progressed = false
		if s, err = r.reopen(s, hello, deadline); err != nil {
			return lostAttempt(err)
		}
		first = &link.Frame{Resume: &link.AttemptResume{Attempt: r.spec.Attempt, Next: r.next}}
	}
}

// reopen opens a stream on a new connection to the same process of the side
// daemon. It fails if the side daemon was restarted.
func (r *attemptReader) reopen(old *link.Stream, hello *link.Hello, deadline time.Time) (*link.Stream, error) {
	old.Reset()
	for {
		s, h, err := r.entry.node.OpenAttempt(r.ctx, r.host, old)
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
		time.Sleep(resumeRetryInterval)
	}
}

// readStream sends the first frame and reads one stream to its end. An error means
// that the stream failed, or that the response can't be delivered; the attempt may
// still be running.
func (r *attemptReader) readStream(s *link.Stream, first *link.Frame) (attemptEnd, error) {
	done := make(chan struct{})
	defer close(done)
	stop := context.AfterFunc(r.ctx, func() {
		_ = s.Write(&link.Frame{Cancel: &link.AttemptCancel{Reason: context.Cause(r.ctx).Error()}}, time.Second)
		s.CloseWrite()
		time.AfterFunc(time.Second, s.Reset)
	})
	defer stop()
	if err := s.Write(first, resumeTimeout); err != nil {
		return attemptEnd{}, err
	}
	go s.SendHeartbeats(done)
	acked := r.next
	for {
		f, err := s.Read()
		if err != nil {
			return attemptEnd{}, err
		}
		end, over, err := r.handleFrame(f)
		if err == nil && r.next-acked >= link.Credit/4 {
			acked = r.next
			err = s.Write(&link.Frame{Ack: &link.AttemptAck{Next: acked}}, resumeTimeout)
		}
		if over || err != nil {
			s.CloseWrite()
			return end, err
		}
	}
}

// handleFrame handles one frame and reports whether it was the last.
func (r *attemptReader) handleFrame(f *link.Frame) (attemptEnd, bool, error) {
	switch {
	case f.Refused != nil:
		return attemptEnd{result: msg.AttemptNotRun, reason: f.Refused.Reason, retryAfter: f.Refused.RetryAfter}, true, nil
	case f.Accepted != nil:
		if r.next == 0 {
			r.entry.loop.Post(msg.AttemptAccepted{Attempt: r.spec.Attempt})
		}
		return attemptEnd{}, false, nil
	case f.Head != nil:
		return attemptEnd{}, false, r.handleContent(f, f.Head.Seq)
	case f.Chunk != nil:
		addChecksum(r.checksum, f.Chunk)
		return attemptEnd{}, false, r.handleContent(f, f.Chunk.Seq)
	case f.End != nil:
		return r.checkEnd(f.End), true, nil
	}
	return attemptEnd{}, false, nil
}

// handleContent delivers a head or chunk to the caller's exchange. The frames must
// arrive without gaps.
func (r *attemptReader) handleContent(f *link.Frame, seq uint64) error {
	if seq != r.next {
		return errors.Newf("received frame %d, expected frame %d", seq, r.next)
	}
	r.next++
	r.progressed = true
	if r.spec.PrefillOnly {
		return nil
	}
	if err := r.exchange.deliver(r.spec.Attempt, f); err != nil {
		return err
	}
	if seq == 0 || time.Since(r.lastProgress) >= progressInterval {
		r.lastProgress = time.Now()
		r.entry.loop.Post(msg.AttemptProgress{Attempt: r.spec.Attempt, Tokens: r.exchange.tokenCount()})
	}
	return nil
}

// checkEnd returns the end of the attempt. An attempt fails if the number of frames
// or the checksum of the response differs from what the side daemon sent.
func (r *attemptReader) checkEnd(end *link.End) attemptEnd {
	if end.Result == msg.AttemptLost {
		return attemptEnd{result: msg.AttemptLost, reason: end.Reason}
	}
	if end.Frames != r.next || end.Checksum != r.checksum.Sum64() {
		return attemptEnd{result: msg.AttemptFailed, reason: "answer failed its check", usage: end.Usage}
	}
	return attemptEnd{result: end.Result, reason: end.Reason, usage: end.Usage}
}
