// Package targetspeed keeps how fast each target is, compared with the other targets of
// its service.
//
// It is designed for a load in which the hosts of targets differ lastingly, and are
// shared with other work that changes many times a second. Two sources say how long work
// takes at a target. The first is the pace that the target reports. Its latest value
// counts while it is fresh and gives way to its usual value as it ages, so that no target
// is avoided for what was true some time ago. The second is what the pace does not
// explain: the ratio of observed to usual times, divided by the pace. Both are learnt by
// all daemons together (see [Tracker.Merge]).
//
// A pace may be relative to what is usual at the target or in its service. Both are
// understood, because the usual pace and the ratio are each taken relative to their mean in
// the service.
package targetspeed

import (
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// memory is the time constant with which all that is known of a target loses its
	// weight. A target that is avoided shows nothing new, so that its factor returns
	// to 1 and it is tried again.
	memory = 30 * time.Second
	// maxWeight limits the weight of the observed ratios of a target, so that their mean
	// follows a change within about as many further observations.
	maxWeight = 25
	// ratioPrior and pacePrior are the weights of the assumption that a target is like its
	// service. The target's own word needs little confirmation.
	ratioPrior = 3
	pacePrior  = 0.2
	// maxPaceWeight limits the weight of the reported paces of a target. A report weighs 1
	// if it comes paceMemory or longer after the one before.
	maxPaceWeight = 30
	// minPaceWeight is the weight of a report that comes at the same time as the last.
	minPaceWeight = 0.05
	// maxDeviation limits how far one observation may differ from the mean, as the
	// logarithm of a ratio.
	maxDeviation = 0.5
	// minFactor and maxFactor limit factors and paces.
	minFactor = 0.2
	maxFactor = 8.0
	// paceMemory is the time constant with which a reported pace gives way to the usual
	// one, and paceRetention the age after which it has no influence.
	paceMemory    = 400 * time.Millisecond
	paceRetention = 10 * paceMemory
	// centerInterval is the time between two updates of the means of the services.
	centerInterval = 500 * time.Millisecond
	// restartShare is the share of their weight that observations keep when a target
	// starts again. The speed belongs to the host, but the process is another one.
	restartShare = 0.5
)

// Tracker holds the factors of all targets.
type Tracker struct {
	targets map[msg.TargetID]*speed
	// services holds the means of the services, so that the factors of all daemons have
	// the same reference, whatever each of them takes to be the usual time.
	services map[msg.ServiceID]center
	centerAt msg.Time
}

// center holds the means of the logarithms of the ratios and of the paces of a service.
type center struct{ ratio, pace float64 }

// speed is what is known of one target.
type speed struct {
	service msg.ServiceID
	// ratios averages the logarithms of observed ratios, and paces those of reported
	// paces.
	ratios, paces average
	// pace is the reported pace, which was true at paceAt. Zero means that there is
	// none.
	pace   float64
	paceAt msg.Time
	// unsentSum and unsentWeight add up the observations of this daemon that the others
	// have not been told, and unsentPace reports whether pace is one of those.
	unsentSum, unsentWeight float64
	unsentPace              bool
}

// average is a weighted average whose observations lose their weight with time.
type average struct {
	sum, weight float64
	at          msg.Time
}

// add adds an observation.
func (a *average) add(now msg.Time, v, weight, maxWeight float64) {
	a.decay(now)
	a.sum += v * weight
	a.weight += weight
	if a.weight > maxWeight {
		a.sum *= maxWeight / a.weight
		a.weight = maxWeight
	}
}

// decay takes from the observations the weight that they have lost until now.
func (a *average) decay(now msg.Time) {
	if now <= a.at {
		return
	}
	keep := math.Exp(-float64(now-a.at) / float64(memory))
	a.sum *= keep
	a.weight *= keep
	a.at = now
}

// mean returns the average as of now, drawn towards an assumed value.
func (a *average) mean(now msg.Time, assumed, prior float64) float64 {
	a.decay(now)
	return (a.sum + assumed*prior) / (a.weight + prior)
}

// New returns a tracker without targets.
func New() *Tracker {
	return &Tracker{targets: make(map[msg.TargetID]*speed), services: make(map[msg.ServiceID]center)}
}

// SetTargets sets the list of targets and forgets those that are not in it.
func (t *Tracker) SetTargets(list []msg.Instance) {
	known := t.targets
	t.targets = make(map[msg.TargetID]*speed, len(list))
	for _, in := range list {
		sp := known[in.Target]
		if sp == nil || sp.service != in.Service {
			sp = &speed{service: in.Service}
		}
		t.targets[in.Target] = sp
	}
}

// Restarted records that a target has started again.
func (t *Tracker) Restarted(id msg.TargetID) {
	sp := t.targets[id]
	if sp == nil {
		return
	}
	for _, a := range []*average{&sp.ratios, &sp.paces} {
		a.sum *= restartShare
		a.weight *= restartShare
	}
	sp.pace = 0
}

// Observation is an observed time of a target.
type Observation struct {
	// Ratio is the time divided by that which is usual in the service.
	Ratio float64
	// Took is the time, and Pace the pace that the target reported at its end; 0
	// without one.
	Took time.Duration
	Pace float64
	// Weight is 1 if the time shows the speed of the target and nothing else, and less
	// otherwise.
	Weight float64
}

// Observe learns from an observation of this daemon.
func (t *Tracker) Observe(now msg.Time, id msg.TargetID, o Observation) {
	sp := t.targets[id]
	if sp == nil || !(o.Ratio > 0) || !(o.Weight > 0) {
		return
	}
	c := t.services[sp.service]
	known := sp.ratios.mean(now, c.ratio, ratioPrior)
	// The deviation is limited, because a lost packet or work of which this daemon does
	// not know may delay any response.
	v := math.Log(o.Ratio / t.paceOver(now, id, o.Pace, o.Took))
	v = known + min(max(v-known, -maxDeviation), maxDeviation)
	sp.ratios.add(now, v, o.Weight, maxWeight)
	sp.unsentSum += v * o.Weight
	sp.unsentWeight += o.Weight
}

// paceOver returns the mean pace over work that took the given time, relative to the mean
// of the service. At its end the target reported the given pace; without one, 0, the last
// report counts with its age.
func (t *Tracker) paceOver(now msg.Time, id msg.TargetID, pace float64, took time.Duration) float64 {
	sp := t.targets[id]
	if sp == nil {
		return 1
	}
	usual := t.usualPace(now, sp)
	mean := usual
	if pace > 0 {
		mean += (clampFactor(pace) - usual) * meanInfluence(took)
	} else if age, ok := t.PaceAge(now, id); ok {
		mean += (sp.pace - usual) * influence(age) * meanInfluence(took)
	}
	return mean / math.Exp(t.services[sp.service].pace)
}

// usualPace returns the pace that a target usually reports. It is that of its service as
// long as it has reported none.
func (t *Tracker) usualPace(now msg.Time, sp *speed) float64 {
	return math.Exp(sp.paces.mean(now, t.services[sp.service].pace, pacePrior))
}

// ratio returns the factor that the pace of a target does not explain.
func (t *Tracker) ratio(now msg.Time, sp *speed) float64 {
	c := t.services[sp.service].ratio
	return math.Exp(sp.ratios.mean(now, c, ratioPrior) - c)
}

// Advance updates the means of the services from time to time.
func (t *Tracker) Advance(now msg.Time) {
	if now < t.centerAt {
		return
	}
	t.centerAt = now + centerInterval
	t.updateMeans(now)
}

// Lasting returns the factor by which a target usually takes longer than its service: 1
// for one that is like its service, more for a slower one.
func (t *Tracker) Lasting(now msg.Time, id msg.TargetID) float64 {
	sp := t.targets[id]
	if sp == nil {
		return 1
	}
	return clampFactor(t.ratio(now, sp) * t.usualPace(now, sp) / math.Exp(t.services[sp.service].pace))
}

// Factor returns the mean factor for work that a target begins after a delay and that
// takes the given time.
func (t *Tracker) Factor(now msg.Time, id msg.TargetID, delay, duration time.Duration) float64 {
	sp := t.targets[id]
	if sp == nil {
		return 1
	}
	pace := t.usualPace(now, sp)
	if age, ok := t.PaceAge(now, id); ok {
		pace += (sp.pace - pace) * influence(age+delay) * meanInfluence(duration)
	}
	return clampFactor(t.ratio(now, sp) * pace / math.Exp(t.services[sp.service].pace))
}

// Over returns the mean factor over work that took the given time. At its end the target
// reported the given pace, or none if that is 0.
func (t *Tracker) Over(now msg.Time, id msg.TargetID, pace float64, took time.Duration) float64 {
	sp := t.targets[id]
	if sp == nil {
		return 1
	}
	return clampFactor(t.ratio(now, sp) * t.paceOver(now, id, pace, took))
}

// Report records the pace that a target reported to this daemon.
func (t *Tracker) Report(now msg.Time, id msg.TargetID, pace float64) {
	if sp := t.targets[id]; sp != nil && pace > 0 {
		sp.report(now, clampFactor(pace))
		sp.unsentPace = true
	}
}

// report records a pace that was true at an instant, which must not be before that of the
// last one.
func (sp *speed) report(at msg.Time, pace float64) {
	weight := 1.0
	if sp.pace > 0 {
		weight = min(max(float64(at-sp.paceAt)/float64(paceMemory), minPaceWeight), 1)
	}
	sp.paces.add(at, math.Log(pace), weight, maxPaceWeight)
	sp.pace, sp.paceAt = pace, at
}

// PaceAge returns the age of the last pace of a target that still has an influence.
func (t *Tracker) PaceAge(now msg.Time, id msg.TargetID) (time.Duration, bool) {
	sp := t.targets[id]
	if sp == nil || sp.pace == 0 || now-sp.paceAt > paceRetention {
		return 0, false
	}
	return now - sp.paceAt, true
}

// influence returns the influence that a pace has at an age.
func influence(age time.Duration) float64 { return math.Exp(-float64(age) / float64(paceMemory)) }

// meanInfluence returns the mean share of its influence that a pace has over the given
// time from or up to its report.
func meanInfluence(duration time.Duration) float64 {
	x := float64(duration) / float64(paceMemory)
	if x < 1e-3 {
		return 1
	}
	return (1 - math.Exp(-x)) / x
}

func clampFactor(v float64) float64 { return min(max(v, minFactor), maxFactor) }
