package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

// A request that a stopping daemon accepts must have time to end. No request is
// accepted whatever its deadline later than three seconds after the request to stop, and
// none is given up before the last sixth of the grace period.
func TestShutdownLeavesTimeForAcceptedRequests(t *testing.T) {
	is := is.New(t)
	is.True(listenerCloseDelay < 3*time.Second)
	is.True(listenerCloseDelay > 2*time.Second) // The load balancer checks once a second and requires two failed checks.
	for _, grace := range []time.Duration{6 * time.Second, 8 * time.Second, 30 * time.Second} {
		is.True(requestDrainTimeout(grace) > grace*5/6)
		is.True(deliveryTimeout(grace) > requestDrainTimeout(grace))
		is.True(deliveryTimeout(grace) < grace)
	}
}

// smallBuffers makes the system hold little of what is written to callers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// A planned stop waits for a caller that has not yet read the response that the daemon
// holds for it.
func TestDirectShutdownWaitsForSlowCaller(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.process.sockets.callers = smallBuffers{env.process.sockets.callers}
	env.start()
	for _, r := range env.decodeEngines {
		r.EventPadding = 30_000
	}
	c, err := net.Dial("tcp", env.process.settings.CallersAddr)
	env.is.NoErr(err)
	defer func() { _ = c.Close() }()
	env.is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10))
	_, err = io.WriteString(c, "POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nX-Api-Key: key-1\r\nX-Token-Usage: 90,20\r\nContent-Length: 0\r\n\r\n")
	env.is.NoErr(err)
	env.eventually(func() bool { return env.process.budget.Stats().Behind > 0 })
	done := make(chan struct{})
	go func() { env.process.shutdown(); close(done) }()
	time.Sleep(listenerCloseDelay + 500*time.Millisecond)
	select {
	case <-done:
		t.Fatal("the daemon stopped although a caller was behind")
	default:
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	env.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	env.is.NoErr(err)
	env.is.True(len(b) > 4*30_000)
	<-done
}

func TestDirectStopAnswersRequestOnItsWay(t *testing.T) {
	env := newDirectEnv(t)
	done := make(chan struct{})
	go func() { env.process.shutdown(); close(done) }()
	time.Sleep(listenerCloseDelay - httpdrain.InFlightTime/4)
	c, err := net.Dial("tcp", env.process.settings.CallersAddr)
	env.is.NoErr(err)
	defer func() { _ = c.Close() }()
	time.Sleep(httpdrain.InFlightTime / 2)
	_, err = io.WriteString(c, "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n")
	env.is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	env.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	env.is.Equal(resp.StatusCode, http.StatusOK)
	env.is.True(resp.Close)
	<-done
	env.is.Equal(env.process.driver.callers.Stats().Unanswered, int64(0))
}

func TestStopEndsWithinShortGracePeriod(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.process.settings.Bounds.GracePeriod = 2 * time.Second
	env.start()
	start := time.Now()
	env.process.shutdown()
	env.is.True(time.Since(start) < 2*time.Second)
}

// A request without an end of its own gets an answer before the process ends.
func TestDirectStopAnswersRequestThatDoesNotEnd(t *testing.T) {
	env := newStoppedDirectEnv(t)
	env.process.settings.Bounds.GracePeriod = 3500 * time.Millisecond
	env.start()
	for _, r := range env.appTargets {
		r.InjectFaults(platformtest.FaultHang, platformtest.FaultHang)
	}
	answered := make(chan int, 1)
	time.AfterFunc(time.Second, func() {
		resp, _ := env.call("POST", "/order/1", "{}")
		answered <- resp.StatusCode
	})
	env.process.shutdown()
	env.is.Equal(<-answered, http.StatusBadGateway)
	env.is.Equal(env.process.driver.callers.Stats().Open, 0)
}

func TestListenerStaysOpenWhileCallersCome(t *testing.T) {
	env := newDirectEnv(t)
	env.process.driver.acceptLonger.Store(true)
	done := make(chan struct{})
	go func() { env.process.shutdown(); close(done) }()
	open := func() bool {
		c, err := net.Dial("tcp", env.process.settings.CallersAddr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	for begin := time.Now(); time.Since(begin) < listenerCloseDelay+quietTime; time.Sleep(quietTime / 5) {
		env.is.True(open())
	}
	time.Sleep(2 * quietTime) // Nobody comes.
	env.is.True(!open())
	<-done
}
