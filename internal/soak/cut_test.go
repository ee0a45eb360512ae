package soak

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// retransmissions are the times after which a kernel sends again what is not acknowledged.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond, 12600 * time.Millisecond,
}

// partition is a network partition of what passes over a proxy. Bytes on open connections
// are held up until their sender's kernel sends them again after the partition has healed.
// They are dropped if the sender has reset the connection.
type partition struct {
	// acknowledged lets them pass all the same, soon after the partition has healed, as
	// something between does that has acknowledged them.
	acknowledged bool

	mu sync.Mutex
	// healed is closed when the partition heals. It is nil without one.
	healed chan struct{}
	// trigger is what starts the partition as soon as it passes, if it is not nil. begun is
	// closed then.
	trigger []byte
	begun   chan struct{}
}

// cut starts the partition.
func (p *partition) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger = nil
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

// cutAt returns a channel that is closed when bytes that hold a text pass. The partition
// starts then, and holds them up.
func (p *partition) cutAt(text string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger, p.begun = []byte(text), make(chan struct{})
	return p.begun
}

// heal ends the partition.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger = nil
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// pass waits while bytes that src has sent are held up. It returns false if they are lost.
func (p *partition) pass(src net.Conn, b []byte) bool {
	sentAt := time.Now()
	p.mu.Lock()
	if p.trigger != nil && bytes.Contains(b, p.trigger) {
		p.trigger = nil
		p.healed = make(chan struct{})
		close(p.begun)
	}
	healed := p.healed
	p.mu.Unlock()
	if healed == nil {
		return true
	}
	<-healed
	if p.acknowledged {
		time.Sleep(passedOnAfter)
		return true
	}
	for _, d := range retransmissions {
		if wait := time.Until(sentAt.Add(d)); wait > 0 {
			time.Sleep(wait)
			break
		}
	}
	return !isReset(src)
}

// active reports whether the partition lasts.
func (p *partition) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed != nil
}

// tcpClosed is the state of a connection that has been reset, as Linux numbers it.
const tcpClosed = 7

// isReset reports whether the other side has reset a connection.
func isReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClosed
	})
	return closed
}

// TestCutsOfLeaseHolder guards against calls of a former holder that arrive after those of
// its successor: real holders are cut off, some while a report is on its way, and are killed
// or paused meanwhile.
func TestCutsOfLeaseHolder(t *testing.T) {
	forSeeds(t, nil, shortWindows, (*deployment).runCuts)
}

// passedOnAfter is how long after a partition has healed bytes pass that were acknowledged.
const passedOnAfter = time.Second

// TestCutsOfLeaseHolderBehindProxy guards against the same where something between the holder
// and the platform has acknowledged the report, so that its sender can't recall it.
func TestCutsOfLeaseHolderBehindProxy(t *testing.T) {
	forSeeds(t, nil, ordinaryWindows, func(d *deployment) {
		for _, p := range d.storeProxies {
			p.partition.acknowledged = true
		}
		d.runCuts()
	})
}

// cutCycles is the number of partitions for each seed.
const cutCycles = 2

func (d *deployment) runCuts() {
	d.awaitReady()
	endCallers := d.startCallers(callerCounts{normal: 4, distant: 4})
	for range cutCycles {
		d.cutHolder()
	}
	endCallers()
	d.clearFaults()
	d.awaitReady()
	d.check()
}

// cutHolder cuts the present holder of the usage lease off from the platform for longer than
// its lease lasts.
func (d *deployment) cutHolder() {
	i := d.awaitHolder()
	e, link := d.entries[i], &d.storeProxies[i].partition
	before := len(d.store.Reports())
	if d.rand.IntN(3) > 0 {
		select {
		case <-link.cutAt("POST /usage"):
		case <-time.After(reportWait): // Another entry has acquired the lease.
			link.cut()
		}
	} else {
		time.Sleep(time.Duration(d.rand.IntN(2000)) * time.Millisecond)
		link.cut()
	}
	time.Sleep(time.Duration(d.rand.IntN(600)) * time.Millisecond)
	fault := d.rand.IntN(3)
	switch fault {
	case 0:
		e.kill()
		d.start(e)
	case 1:
		time.Sleep(callTime)
		e.process().signal(syscall.SIGSTOP)
	}
	time.Sleep(7*time.Second + time.Duration(d.rand.IntN(2000))*time.Millisecond)
	link.heal()
	if fault == 1 {
		time.Sleep(time.Duration(d.rand.IntN(3000)) * time.Millisecond)
		e.process().signal(syscall.SIGCONT)
	}
	time.Sleep(time.Duration(d.usage.window+2) * time.Second)
	d.t.Logf("entry %d was cut off (%s): %d reports before, %d after", i, [...]string{"killed", "paused", "running"}[fault], before, len(d.store.Reports()))
}

// callTime is the time after which a call is given up. A process is paused after that: a proxy
// acknowledges what it holds up, so that the kernel of a paused process does not give it up
// as it does in a partition (see TestHeldUpMessageIsVoid of tcpabort).
const callTime = 1700 * time.Millisecond

// reportWait is the time within which a holder reports. Windows are shorter.
const reportWait = 10 * time.Second

// awaitHolder waits for a report and returns the index of the entry that sent it.
func (d *deployment) awaitHolder() int {
	d.t.Helper()
	before := len(d.store.Reports())
	for end := time.Now().Add(2 * reportWait); time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		r := d.store.Reports()
		if len(r) == before {
			continue
		}
		for i := range d.entries {
			if r[len(r)-1].Holder == fmt.Sprint("entry-", i) {
				return i
			}
		}
	}
	d.printLogs()
	d.t.Fatal("no usage is reported")
	return 0
}
