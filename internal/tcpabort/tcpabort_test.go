package tcpabort

import (
	"bytes"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/heldup"
)

const (
	testUnacked = 300 * time.Millisecond
	// testEnd is when the kernel has ended a connection by testUnacked at the latest.
	testEnd = testUnacked + 700*time.Millisecond
	// addrVariable and plainVariable are set for a process that sends a message: the
	// address, and whether it is sent over an ordinary connection.
	addrVariable  = "TCPABORT_ADDR"
	plainVariable = "TCPABORT_PLAIN"
)

func TestMain(m *testing.M) {
	if addr := os.Getenv(addrVariable); addr != "" {
		sendMessage(addr, os.Getenv(plainVariable) != "")
		return
	}
	os.Exit(m.Run())
}

// sendMessage sends a message, reports that the kernel has taken it, closes the connection
// when a byte arrives on the standard input, and reports that too.
func sendMessage(addr string, plain bool) {
	var d net.Dialer
	if !plain {
		d.Control = Control(testUnacked)
	}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	if _, err := c.Write(bytes.Repeat([]byte("x"), heldup.Size)); err != nil {
		panic(err)
	}
	step := func() { _, _ = os.Stdout.WriteString(".") }
	step()
	_, _ = os.Stdin.Read(make([]byte, 1))
	_ = c.Close()
	step()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// sender is a process that runs sendMessage.
type sender struct {
	t       *testing.T
	process *os.Process
	in      io.WriteCloser
	out     io.Reader
}

func startSender(t *testing.T, addr string, plain bool) *sender {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), addrVariable+"="+addr)
	if plain {
		cmd.Env = append(cmd.Env, plainVariable+"=1")
	}
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s := &sender{t: t, process: cmd.Process, in: in, out: out}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	s.await()
	return s
}

// await waits until the process has completed its next step.
func (s *sender) await() {
	if _, err := io.ReadFull(s.out, make([]byte, 1)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *sender) close() {
	_, _ = io.WriteString(s.in, ".")
	s.await()
}

func (s *sender) signal(sig syscall.Signal) {
	if err := s.process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(testEnd)
}

// A message that was held up when its sender gave it up, was killed or was paused must not
// arrive afterwards. Over an ordinary connection it does, which shows that it was held up.
func TestHeldUpMessageIsVoid(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(s *sender)
	}{
		{"closed", (*sender).close},
		{"killed", func(s *sender) { s.signal(syscall.SIGKILL) }},
		{"paused", func(s *sender) { s.signal(syscall.SIGSTOP) }},
	} {
		for _, plain := range []bool{true, false} {
			name := test.name
			if plain {
				name += ", ordinary connection"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l, err := heldup.Listen()
				is.NoErr(err)
				defer l.Close()
				test.end(startSender(t, l.Addr(), plain))
				arrived := len(l.Release())
				is.Equal(arrived == heldup.Size, plain)
			})
		}
	}
}
