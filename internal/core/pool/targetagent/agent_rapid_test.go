package targetagent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// model checks the effects of one agent against its invariants.
type model struct {
	t        *rapid.T
	s        *side
	checked  int
	running  map[msg.AttemptID]bool
	started  map[msg.AttemptID]bool
	applying *msg.Order
	// highestEpoch is the highest epoch of the orders that were started.
	highestEpoch msg.Epoch
	lastID       int
}

// observe checks the effects that were added since the last call.
func (m *model) observe() {
	for _, eff := range m.s.effects[m.checked:] {
		switch eff := eff.(type) {
		case msg.RunAttempt:
			m.onRun(eff.Spec.Attempt)
		case msg.ApplyOrder:
			m.onApply(eff.Order)
		case msg.StopCompleted:
			m.require(len(m.running) == 0, "stop completed while attempts run")
		}
	}
	m.checked = len(m.s.effects)
}

func (m *model) onRun(id msg.AttemptID) {
	m.require(!m.started[id], "attempt %s started twice", id)
	m.require(m.applying == nil || m.applying.Kind == msg.OrderLoadAdapter, "attempt %s started while an order is applied", id)
	m.started[id] = true
	m.running[id] = true
}

func (m *model) onApply(o msg.Order) {
	m.require(m.applying == nil, "order %s started while %v is applied", o.ID, m.applying)
	m.require(o.Epoch == m.s.leaseEpoch, "order of epoch %d started under lease epoch %d", o.Epoch, m.s.leaseEpoch)
	m.require(o.Epoch >= m.highestEpoch, "order epochs decrease")
	m.require(o.Kind == msg.OrderLoadAdapter || len(m.running) == 0, "order %s interrupts running attempts %v", o.ID, m.running)
	m.highestEpoch = o.Epoch
	m.applying = &o
	m.s.report.Phase = msg.PhaseChanging
}

func (m *model) require(ok bool, format string, args ...any) {
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

func (m *model) id(prefix string) string {
	m.lastID++
	return fmt.Sprint(prefix, m.lastID)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.observe() },
		"offer": func(t *rapid.T) {
			m.s.offer(msg.AttemptID(m.id("a")), 1, rapid.Bool().Draw(t, "idempotent"))
		},
		"offer again": func(t *rapid.T) {
			m.s.offer(msg.AttemptID(fmt.Sprint("a", rapid.IntRange(0, m.lastID).Draw(t, "id"))), 1, true)
		},
		"close": func(*rapid.T) {
			for _, id := range m.s.agent.attempts.matching(func(*runningAttempt) bool { return true }) {
				delete(m.running, id)
				m.s.step(msg.SideAttemptEnded{Attempt: id})
				return
			}
		},
		"order": func(t *rapid.T) {
			epoch := msg.Epoch(rapid.IntRange(max(1, int(m.s.leaseEpoch)-2), int(m.s.leaseEpoch)).Draw(t, "epoch"))
			kind := msg.OrderKind(rapid.IntRange(0, 4).Draw(t, "kind"))
			m.s.order(msg.OrderID(m.id("o")), epoch, uint64(m.lastID), kind)
		},
		"order again": func(t *rapid.T) {
			n := rapid.IntRange(0, m.lastID).Draw(t, "id")
			m.s.order(msg.OrderID(fmt.Sprint("o", n)), m.s.leaseEpoch, uint64(n), msg.OrderSetRole)
		},
		"applied": func(t *rapid.T) {
			if m.applying == nil {
				return
			}
			status := rapid.SampledFrom([]msg.OrderStatus{msg.OrderDone, msg.OrderFailed, msg.OrderUnknown}).Draw(t, "status")
			m.applying = nil
			m.s.report.Phase = msg.PhaseServing
			m.s.apply(status)
		},
		"crash": func(t *rapid.T) {
			m.s.step(msg.TargetCrashed{})
		},
		"new holder": func(*rapid.T) { m.s.leaseEpoch++ },
		"platform":   func(t *rapid.T) { m.s.platformDown = rapid.Bool().Draw(t, "down") },
		"silent":     func(t *rapid.T) { m.s.unresponsive = rapid.Bool().Draw(t, "silent") },
		"wait": func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{20, 300, 1100, 3000, 8000}).Draw(t, "ms")
			m.s.wait(time.Duration(ms) * time.Millisecond)
		},
	}
}

func TestAgentKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:       t,
			s:       newSide(time.Second),
			running: make(map[msg.AttemptID]bool),
			started: make(map[msg.AttemptID]bool),
		}
		t.Repeat(m.actions())
	})
}
