package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const benchTargets = 600

// benchController returns a controller that holds the lease of a pool of 600
// engines.
func benchController(b *testing.B) (*Controller, func(msg.Time, msg.Event)) {
	b.Helper()
	c := New(Config{})
	objects := coretest.NewObjects()
	var step func(now msg.Time, ev msg.Event)
	step = func(now msg.Time, ev msg.Event) {
		for _, eff := range c.Step(now, ev) {
			if done, ok := objects.Do(eff); ok {
				step(now, done)
			}
		}
	}
	step(0, msg.Started{Self: msg.Self{Host: "e0"}, Incarnation: "1"})
	step(0, msg.ConfigChanged{Generation: 1, Index: manifest.NewIndex(testManifest("1", manifest.RolePolicy{}))})
	step(0, msg.LeaseChanged{Name: "fleet/" + testPool, Held: true, Epoch: 1, Until: 1000 * time.Hour})
	return c, step
}

func benchReport(i int) msg.TargetReported {
	return msg.TargetReported{
		Target: msg.TargetIdentity{Target: msg.TargetID(fmt.Sprintf("t%03d", i)), Pool: testPool},
		Host:   msg.HostID(fmt.Sprintf("h%03d", i)),
		Domain: msg.FailureDomain(fmt.Sprintf("d%d", i%4)),
		Report: msg.LoadReport{
			MaxBatch: 64, Running: 40, PrefillRate: 20_000, StepTime: 32 * time.Millisecond,
			Models: []msg.LoadedModel{{Model: "m", Version: "1"}},
		},
	}
}

// BenchmarkSecond600 measures one second of a lease holder's work with 600
// engines: two reports of each engine, and one decision.
func BenchmarkSecond600(b *testing.B) {
	c, step := benchController(b)
	now := msg.Time(0)
	b.ReportAllocs()
	for b.Loop() {
		for range 2 {
			for i := range benchTargets {
				step(now, benchReport(i))
			}
		}
		now += time.Second
		step(now, msg.Tick{})
	}
	if c.pools[testPool].authority.stage != stageActive {
		b.Fatal("the controller does not manage the pool")
	}
}
