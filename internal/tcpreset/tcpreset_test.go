package tcpreset

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadBytes is far more than the buffers of both ends hold, which grow up to some MB unless
// their size is set, so that a write is in progress when the connection ends.
const (
	uploadBytes = 4 << 20
	bufferBytes = 32 << 10
)

// plainConn hides that a connection is one of the system.
type plainConn struct{ net.Conn }

// A reset whose error a write in the background takes looked like an end in order.
func TestResetIsNotAnEnd(t *testing.T) {
	const plays = 20
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	for name, tt := range map[string]struct {
		upload int
		end    func(*net.TCPConn)
		want   error
		// plain is the result on a connection whose state the system does not tell.
		plain error
	}{
		"reset during the upload":           {uploadBytes, reset, syscall.ECONNRESET, syscall.ECONNRESET},
		"reset soon after":                  {uploadBytes, func(c *net.TCPConn) { time.Sleep(2 * time.Millisecond); reset(c) }, syscall.ECONNRESET, syscall.ECONNRESET},
		"closed with bytes unread":          {uploadBytes, func(c *net.TCPConn) { _ = c.Close() }, syscall.ECONNRESET, syscall.ECONNRESET},
		"reset after the upload":            {1, reset, syscall.ECONNRESET, syscall.ECONNRESET},
		"in order":                          {1, func(c *net.TCPConn) { _ = c.Close() }, io.EOF, io.EOF},
		"in order, the upload read later":   {uploadBytes, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() }, io.EOF, io.EOF},
		"in order, the upload dropped then": {uploadBytes, func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.Close() }, io.EOF, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range plays {
				is.Equal(endSeen(t, tt.upload, tt.end, func(c net.Conn) net.Conn { return c }), tt.want)
				is.Equal(endSeen(t, tt.upload, tt.end, func(c net.Conn) net.Conn { return plainConn{c} }), tt.plain)
			}
		})
	}
}

// endSeen returns how a reader sees the end of a connection on which it uploads meanwhile:
// as [io.EOF] or as [syscall.ECONNRESET].
func endSeen(t *testing.T, upload int, end func(*net.TCPConn), wrap func(net.Conn) net.Conn) error {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(bufferBytes)
		_, _ = io.ReadFull(c, make([]byte, min(upload, 100)))
		_, _ = io.WriteString(c, "begin")
		end(c.(*net.TCPConn))
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(raw.(*net.TCPConn).SetWriteBuffer(bufferBytes))
	c := NewConn(wrap(raw))
	defer func() { _ = c.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.Copy(c, strings.NewReader(strings.Repeat("u", upload)))
	}()
	_, err = io.ReadAll(c)
	_ = c.Close()
	<-written
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, syscall.ECONNRESET):
		return syscall.ECONNRESET
	}
	return err
}
