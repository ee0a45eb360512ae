package link

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Stream is a bidirectional stream of frames. Only one goroutine may read; writes
// are safe for concurrent use.
type Stream struct {
	quicStream *quic.Stream
	conn       *conn
	// heartbeatInterval is the time between heartbeats, and idleTimeout the
	// longest time without any frame.
	heartbeatInterval, idleTimeout time.Duration
	mu                             sync.Mutex
}

// newAttemptStream returns an attempt stream.
func newAttemptStream(s *quic.Stream, c *conn) *Stream {
	return &Stream{quicStream: s, conn: c, heartbeatInterval: HeartbeatInterval, idleTimeout: IdleTimeout}
}

// newControlStream returns a control stream.
func newControlStream(s *quic.Stream) *Stream {
	return &Stream{quicStream: s, heartbeatInterval: ControlHeartbeatInterval, idleTimeout: ControlIdleTimeout}
}

// Write writes a frame. It fails if flow control blocks it for longer than
// timeout. Zero means no timeout: it blocks until the connection is closed.
func (s *Stream) Write(f *Frame, timeout time.Duration) error {
	return s.writeIf(f, timeout, func() bool { return true })
}

// writeIf writes a frame if valid returns true once earlier writes are done.
func (s *Stream) writeIf(f *Frame, timeout time.Duration, valid func() bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !valid() {
		return ErrAuthorityExpired
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.quicStream.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return writeFrame(s.quicStream, f)
}

// Read returns the next frame that is not a heartbeat. It fails if no frame at
// all, heartbeats included, arrives for the idle timeout of the stream.
func (s *Stream) Read() (*Frame, error) {
	for {
		if err := s.quicStream.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
			return nil, err
		}
		f, err := readFrame(s.quicStream)
		if err != nil || f.Heartbeat == nil {
			return f, err
		}
	}
}

// SendHeartbeats writes heartbeats until a write fails, the stream ends or done
// is closed.
func (s *Stream) SendHeartbeats(done <-chan struct{}) {
	t := time.NewTicker(s.heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if s.Write(&Frame{Heartbeat: &Heartbeat{}}, writeTimeout) != nil {
				return
			}
		case <-done:
			return
		case <-s.quicStream.Context().Done():
			return
		}
	}
}

// CloseWrite closes the sending direction of the stream.
func (s *Stream) CloseWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.quicStream.Close()
}

// Reset aborts both directions of the stream without waiting for the other end.
func (s *Stream) Reset() {
	s.quicStream.CancelRead(codeReset)
	s.quicStream.CancelWrite(codeReset)
}

// Done returns a channel that is closed when nothing can be written to the
// stream any more.
func (s *Stream) Done() <-chan struct{} { return s.quicStream.Context().Done() }
