package link

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Stream is a stream of frames. Reads are for one goroutine; writes may come
// from several.
type Stream struct {
	s   *quic.Stream
	via *conn
	// beat and silence are the time between heartbeats and the longest time
	// without any frame.
	beat, silence time.Duration
	mu            sync.Mutex
}

// newStream returns the stream of an attempt.
func newStream(s *quic.Stream, via *conn) *Stream {
	return &Stream{s: s, via: via, beat: HeartbeatInterval, silence: IdleTimeout}
}

// newControl returns a control stream.
func newControl(s *quic.Stream) *Stream {
	return &Stream{s: s, beat: ControlHeartbeatInterval, silence: ControlIdleTimeout}
}

// Write writes a frame. It fails when the other end takes nothing for limit;
// zero waits as long as the connection lives.
func (s *Stream) Write(f *Frame, limit time.Duration) error {
	return s.writeIf(f, limit, func() bool { return true })
}

// writeIf writes a frame if valid holds once the stream is free.
func (s *Stream) writeIf(f *Frame, limit time.Duration, valid func() bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !valid() {
		return ErrAuthorityExpired
	}
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	if err := s.s.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return writeFrame(s.s, f)
}

// Read returns the next frame that is not a heartbeat. It fails when nothing
// at all arrives for the stream's silence limit.
func (s *Stream) Read() (*Frame, error) {
	for {
		if err := s.s.SetReadDeadline(time.Now().Add(s.silence)); err != nil {
			return nil, err
		}
		f, err := readFrame(s.s)
		if err != nil || f.Heartbeat == nil {
			return f, err
		}
	}
}

// SendHeartbeats writes heartbeats until the stream ends or done is closed.
func (s *Stream) SendHeartbeats(done <-chan struct{}) {
	t := time.NewTicker(s.beat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if s.Write(&Frame{Heartbeat: &Heartbeat{}}, writeLimit) != nil {
				return
			}
		case <-done:
			return
		case <-s.s.Context().Done():
			return
		}
	}
}

// CloseWrite ends this end's frames.
func (s *Stream) CloseWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.s.Close()
}

// Reset gives the stream up at both ends without waiting.
func (s *Stream) Reset() {
	s.s.CancelRead(codeAbandoned)
	s.s.CancelWrite(codeAbandoned)
}

// Done is closed when nothing can be written to the stream any more.
func (s *Stream) Done() <-chan struct{} { return s.s.Context().Done() }
