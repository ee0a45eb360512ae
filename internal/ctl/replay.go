package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/trace"
)

const (
	flagLog   = "log"
	flagSteps = "steps"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay a daemon's recorded events in a new reducer and compare the effects",
		ArgsUsage: "TRACE",
		UsageText: "verbenaspurctl replay e1.trace\n" +
			"verbenaspurctl replay --log e1.trace | grep route:",
		Description: "A daemon records its events if its settings name a file under trace. The exit code is 1\n" +
			"if a step had other effects than in the recording.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagLog, Usage: "print the log lines of the reducer"},
			&cli.BoolFlag{Name: flagSteps, Usage: "print each step with its event and effects"},
		},
		Action: runReplay,
	}
}

// replaySummary is the result of a replay.
type replaySummary struct {
	Steps   int `json:"steps"`
	Effects int `json:"effects"`
	Differ  int `json:"differ"`
	// First is the index of the first step that differs, or -1 if none does.
	First int `json:"firstDifference"`
}

func runReplay(_ context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "the trace")
	if err != nil {
		return err
	}
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	defer func() { _ = f.Close() }()
	sum := replaySummary{First: -1}
	err = trace.Replay(f, newReducer, func(s trace.Step) {
		sum.add(s)
		printStep(cmd, s)
	})
	if err != nil {
		return errors.Wrap(err, path)
	}
	if err := print(cmd, sum, sum.table); err != nil {
		return err
	}
	if sum.Differ > 0 {
		return exitErrorf(exitFailed, "%d of %d steps differ, first step %d; the program is not the one that made the recording, or a reducer is not deterministic", sum.Differ, sum.Steps, sum.First)
	}
	return nil
}

// newReducer returns a reducer for the daemon that made a recording. The parameter
// first is the first event of the recording.
func newReducer(first msg.Started) trace.Reducer {
	if first.Self.Kind == msg.HostTarget {
		return core.NewSide(core.SideConfig{Self: first.Self, Incarnation: first.Incarnation})
	}
	return core.NewEntry(core.EntryConfig{Self: first.Self, Incarnation: first.Incarnation})
}

func (r *replaySummary) add(s trace.Step) {
	r.Steps++
	r.Effects += len(s.Effects)
	if s.Same {
		return
	}
	if r.Differ == 0 {
		r.First = s.Index
	}
	r.Differ++
}

func (r *replaySummary) table(w io.Writer) {
	row(w, fmt.Sprintf("%d steps, %d effects, %d steps differ from the recording", r.Steps, r.Effects, r.Differ))
}

// printStep prints the parts of a step that the command line selects.
func printStep(cmd *cli.Command, s trace.Step) {
	w := cmd.Root().Writer
	if cmd.Bool(flagSteps) {
		row(w, fmt.Sprintf("%d %s %T %+v", s.Index, s.Now, s.Event, s.Event))
		for _, eff := range s.Effects {
			row(w, fmt.Sprintf("    %T %+v", eff, eff))
		}
	}
	if !cmd.Bool(flagLog) {
		return
	}
	for _, eff := range s.Effects {
		if line, ok := eff.(msg.LogLine); ok {
			row(w, fmt.Sprintf("%s %s", s.Now, logText(line)))
		}
	}
}

// logText formats a log line.
func logText(line msg.LogLine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", line.Component, line.Text)
	for _, a := range line.Attrs {
		fmt.Fprintf(&b, " %s=%s", a.Key, a.Value)
	}
	return b.String()
}
