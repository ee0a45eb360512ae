package experiment

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// drawPace draws the pace of the engine's host, now and from time to time.
func (e *engine) drawPace() {
	n := e.spec.Noise
	if n.Every <= 0 {
		return
	}
	e.pace = 1
	if e.sim.rand.Float64() < n.Share {
		e.pace = n.Factor
	}
	e.sim.after(time.Duration(e.sim.rand.ExpFloat64()*float64(n.Every)), e.drawPace)
}

// load returns the load that the engine reports.
func (e *engine) load() *msg.TargetLoad {
	l := &msg.TargetLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: e.spec.Slots}
	if !e.spec.HidePace {
		l.Pace = e.lastingFactor * e.pace
	}
	return l
}
