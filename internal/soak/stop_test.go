package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopRounds is how often TestStopAnswersEveryRequestRead stops each entry. A round
// takes about 8 s.
const stopRounds = 3

// TestStopAnswersEveryRequestRead guards against requests that an entry reads during a
// planned stop and answers neither with a response nor with a refusal. Callers behind
// slow links use kept and new connections until the processes have ended. Nothing
// fails meanwhile, so each response must also be complete.
func TestStopAnswersEveryRequestRead(t *testing.T) {
	forSeeds(t, nil, shortWindows, (*deployment).runStops)
}

// runStops stops the entries several times while callers send requests, first both at
// once and then at overlapping times.
func (d *deployment) runStops() {
	d.awaitReady()
	endCallers := d.startCallers(callerCounts{normal: 4, distant: 60})
	time.Sleep(time.Second)
	var stops sync.WaitGroup
	for _, e := range d.entries {
		r := newRand(d.rand.Uint64(), 0)
		stops.Go(func() { d.stopRepeatedly(e, r) })
	}
	stops.Wait()
	d.awaitReady()
	endCallers()
	d.checkLinks(func(unansweredRequest) bool { return true })
	d.check()
}

// hangUp announces changed settings a few times during a stop.
func (e *entry) hangUp(r *rand.Rand) {
	for range r.IntN(3) {
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
		e.process().signal(syscall.SIGHUP)
	}
}

func (d *deployment) stopRepeatedly(e *entry, r *rand.Rand) {
	for i := range stopRounds {
		if i > 0 {
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		}
		p := e.requestStop()
		e.hangUp(r)
		if err := p.wait(); err != nil {
			d.violation("entry at %s ended with %v after a request to stop", e.callerAddr, err)
		}
		d.start(e)
		if !awaitReady(e) {
			return // as the test will find
		}
	}
}
