package core

import (
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// fleetSpeed is the speed of a fleetTarget: lasting is the factor by which its work takes
// longer, and noisy reports whether the factor noise is added to it now.
type fleetSpeed struct {
	lasting, noise float64
	noisy          bool
}

// factor returns the factor by which work takes longer now. The zero value is that of a
// usual target.
func (s *fleetSpeed) factor() float64 {
	f := max(s.lasting, 0)
	if f == 0 {
		return 1
	}
	if s.noisy {
		f *= s.noise
	}
	return f
}

// load returns the load that a target with a speed reports.
func (t *fleetTarget) load() *msg.TargetLoad {
	if t.speed.lasting == 0 || t.silent {
		return nil
	}
	return &msg.TargetLoad{Running: len(t.jobs), Slots: t.instance.Slots, Pace: t.speed.factor()}
}

// answeredInTime runs a fleet whose plain targets differ in speed, with other work on
// their hosts that comes and goes, and returns the share of the plain requests that were
// answered within the given time. If told is not set, the targets report no load.
func answeredInTime(t *testing.T, objective time.Duration, told bool) float64 {
	f := newDirectFleet(t, 12, 6)
	for i, target := range f.targets[6:] {
		target.speed = fleetSpeed{lasting: []float64{0.7, 0.8, 1, 1.6}[i], noise: 2.5}
		target.silent = !told
		f.every(time.Duration(150+f.rand.IntN(900))*time.Millisecond, func() bool {
			target.speed.noisy = f.rand.Float64() < 0.15
			return true
		})
	}
	f.load(160, 40*time.Second)
	f.run(40 * time.Second)
	inTime, all := 0, 0
	for _, e := range f.entries {
		for _, r := range e.arrived {
			if r.PromptTokens > 0 || r.at < 15*time.Second {
				continue
			}
			all++
			if r.answeredAt > 0 && r.answeredAt-r.at <= objective {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(all)
}

// Requests of a plain service go to the targets that are fast at the moment: fewer are
// late if placement knows the paces.
func TestPlainRequestsGoToFastTargets(t *testing.T) {
	t.Parallel()
	told, silent := answeredInTime(t, 100*time.Millisecond, true), answeredInTime(t, 100*time.Millisecond, false)
	t.Logf("%.3f answered in time with paces, %.3f without", told, silent)
	if 1-told > 0.75*(1-silent) {
		t.Errorf("%.3f are late with paces, %.3f without", 1-told, 1-silent)
	}
}
