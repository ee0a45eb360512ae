package core

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// fleetTarget is a simulated target.
type fleetTarget struct {
	fleet    *directFleet
	instance msg.Instance
	downAt   time.Duration
	down     bool
	// gone reports whether the target has left for good.
	gone bool
	jobs map[msg.AttemptID]*fleetJob
	// notice is what the target states in its responses.
	notice msg.TargetNotice
	// speed is how fast the target is, and silent reports whether it reports no load.
	speed  fleetSpeed
	silent bool
	// told holds when each process was first told the notice, and arrivals the requests
	// that reached the target.
	told     map[fleetProcess]time.Duration
	arrivals []fleetArrival
}

// fleetProcess is a process of an entry daemon.
type fleetProcess struct {
	host msg.HostID
	life int
}

// fleetArrival is a request that reached a target.
type fleetArrival struct {
	at   time.Duration
	from fleetProcess
}

type fleetJob struct {
	entry   *fleetEntry
	life    int // of the entry
	start   msg.StartDirectAttempt
	request *fleetRequest
	// event is the number of the last event of a stream.
	event int64
}

// report delivers an event of a job to its entry.
func (j *fleetJob) report(ev msg.Event) {
	f := j.entry.fleet
	f.after(fleetHop, func() {
		if j.entry.life != j.life || j.entry.targets[j.start.Attempt] == nil {
			return
		}
		if _, ended := ev.(msg.DirectAttemptEnded); ended {
			delete(j.entry.targets, j.start.Attempt)
		}
		j.entry.step(ev)
	})
}

func (j *fleetJob) from() fleetProcess { return fleetProcess{j.entry.host, j.life} }

// end delivers the end of a job without a response.
func (j *fleetJob) end(result msg.DirectResult) {
	j.report(msg.DirectAttemptEnded{Attempt: j.start.Attempt, Result: result})
}

// respond delivers the end of a job with a response of its target.
func (t *fleetTarget) respond(j *fleetJob, result msg.DirectResult, handle string) {
	n := t.state(j)
	j.report(msg.DirectAttemptEnded{Attempt: j.start.Attempt, Result: result, Handle: handle, Notice: &n, Load: t.load()})
}

// state returns the notice for a response to a job.
func (t *fleetTarget) state(j *fleetJob) msg.TargetNotice {
	if _, ok := t.told[j.from()]; !ok && t.notice != (msg.TargetNotice{}) {
		t.told[j.from()] = t.fleet.now + fleetHop
	}
	return t.notice
}

// submit makes the target run a request.
func (t *fleetTarget) submit(j *fleetJob) {
	f := t.fleet
	if t.down || t.gone {
		j.end(msg.DirectUnreachable)
		return
	}
	if p := j.start.Spec.Process; p != 0 && p != t.instance.StartedMS {
		j.report(msg.DirectAttemptEnded{Attempt: j.start.Attempt, Result: msg.DirectNotSent, Process: t.instance.StartedMS})
		return
	}
	t.arrivals = append(t.arrivals, fleetArrival{f.now, j.from()})
	f.recordQuotaUse(j)
	id := j.start.Attempt
	t.jobs[id] = j
	if j.request.crashesTargets() && (!f.harmlessPrefill || j.start.Spec.Step != msg.StepPrefill) {
		f.crashingSends = append(f.crashingSends, f.now)
		f.after(fleetCrashDelay, func() { t.crashUnder(j) })
		return
	}
	if j.request.stream != nil && j.start.Spec.Step != msg.StepPrefill {
		t.runStream(j)
		return
	}
	took := time.Duration(float64(20+f.rand.IntN(80)) * t.speed.factor() * float64(time.Millisecond))
	f.after(took, func() {
		if t.jobs[id] != j {
			return
		}
		delete(t.jobs, id)
		if j.start.Spec.Step == msg.StepPrefill {
			t.respond(j, msg.DirectPrefilled, string(id))
			return
		}
		n := t.state(j)
		j.request.began = true
		j.report(msg.DirectAttemptStarted{Attempt: id, Notice: &n})
		if f.rand.Float64() < f.unframed {
			j.endUnframed()
			return
		}
		t.respond(j, msg.DirectDone, "")
	})
}

// endUnframed delivers the end of a response that has neither a length nor chunks.
func (j *fleetJob) endUnframed() {
	j.report(msg.DirectAttemptEnded{Attempt: j.start.Attempt, Result: msg.DirectDone, Unframed: true})
}

// crashUnder makes the target crash while it runs a job, unless the job has ended.
func (t *fleetTarget) crashUnder(j *fleetJob) {
	if t.jobs[j.start.Attempt] != j {
		return
	}
	t.fleet.crashes = append(t.fleet.crashes, t.fleet.now)
	t.crash()
}

// crash interrupts all jobs of the target and starts its process again later.
func (t *fleetTarget) crash() { t.restart(fleetDowntime, t.instance.Version) }

// restart interrupts all jobs of the target and starts its process again after some time,
// with a version of its software.
func (t *fleetTarget) restart(downtime time.Duration, version string) {
	f := t.fleet
	t.down = true
	t.downAt = f.now
	jobs := t.jobs
	t.jobs = make(map[msg.AttemptID]*fleetJob)
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j := jobs[id]
		if f.rand.Float64() < f.unframed && j.start.Spec.Step != msg.StepPrefill {
			// The response seems to be complete.
			j.report(msg.DirectAttemptStarted{Attempt: id})
			j.endUnframed()
			continue
		}
		j.interrupt()
	}
	f.after(downtime, func() {
		t.down = false
		t.instance.StartedMS++
		t.instance.Version = version
	})
}
