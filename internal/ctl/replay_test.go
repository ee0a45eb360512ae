package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/trace"
)

// alteredReducer adds an effect to one step, like a reducer that is not
// deterministic.
type alteredReducer struct {
	trace.Reducer
	steps, at int
}

// Step implements [trace.Reducer].
func (a *alteredReducer) Step(now msg.Time, ev msg.Event) []msg.Effect {
	a.steps++
	effs := a.Reducer.Step(now, ev)
	if a.steps == a.at {
		effs = append(effs, msg.StopCompleted{})
	}
	return effs
}

// record returns the path of a recording of 51 steps. The step number alterAt,
// counted from 1, has an additional effect.
func record(t *testing.T, alterAt int) string {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "trace")
	f, err := os.Create(path)
	is.NoErr(err)
	defer f.Close()
	self := msg.Self{Host: "e1"}
	rec := trace.NewRecorder(&alteredReducer{Reducer: core.NewEntry(core.EntryConfig{Self: self, Incarnation: "i"}), at: alterAt}, f)
	rec.Step(0, msg.Started{Self: self, Incarnation: "i", Seed: 7})
	for i := range 50 {
		rec.Step(time.Duration(i)*msg.TickInterval, msg.Tick{Wall: time.Unix(100, 0).UTC()})
	}
	is.NoErr(rec.Close())
	return path
}

func TestReplay(t *testing.T) {
	is := is.New(t)
	code, out, _ := run(t, "replay", record(t, -1))
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "51 steps"))

	code, _, errOut := run(t, "replay", record(t, 10))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errOut, "1 of 51 steps differ, first step 9"))
}
