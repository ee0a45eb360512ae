package ctl

import (
	"context"
	"io"
	"os"
	"runtime"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/experiment"
	"github.com/verbenaspur/verbenaspur/internal/report"
)

// Flags of the command experiment.
const (
	flagLoads = "loads"
	flagSeeds = "seeds"
	flagPlot  = "plot"
)

// experimentCommand returns the command that simulates entry daemons under a
// described load.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "simulate entry daemons under a described load in virtual time",
		ArgsUsage: "EXPERIMENT...",
		UsageText: "verbenaspurctl experiment examples/experiments/short-fleet.yaml",
		Description: "Entry daemons decide as in a deployment; engines batch, prefill and cache as the file\n" +
			"describes. The same file and seed produce the same result. Network faults, the platform's\n" +
			"store and processor time are not simulated: compare policies, don't predict figures.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed to use instead of the file's"},
			&cli.FloatSliceFlag{Name: flagLoads, Usage: "multiply the arrival rates by each of `FACTORS` and print what callers get"},
			&cli.IntFlag{Name: flagSeeds, Value: 3, Usage: "number of seeds for each of the loads"},
			&cli.StringFlag{Name: flagPlot, Usage: "write a plot of the loads to `FILE` (png or svg)"},
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return usageErrorf("at least one experiment file is required")
	}
	for _, path := range cmd.Args().Slice() {
		spec, err := readExperiment(path)
		if err != nil {
			return err
		}
		if cmd.IsSet(flagSeed) {
			spec.Seed = cmd.Uint64(flagSeed)
		}
		if cmd.IsSet(flagLoads) {
			if err := sweepLoads(cmd, spec); err != nil {
				return err
			}
			continue
		}
		result := experiment.Run(spec)
		if err := print(cmd, result, func(w io.Writer) { result.WriteTable(w) }); err != nil {
			return err
		}
	}
	return nil
}

// sweepLoads plays an experiment at several loads.
func sweepLoads(cmd *cli.Command, spec *experiment.Spec) error {
	sweep := experiment.Sweep{Spec: spec, Loads: cmd.FloatSlice(flagLoads), Seeds: cmd.Int(flagSeeds), Parallel: max(runtime.NumCPU()/2, 1)}
	for _, load := range sweep.Loads {
		if load <= 0 {
			return usageErrorf("a load of %v is not positive", load)
		}
	}
	if sweep.Seeds < 1 {
		return usageErrorf("at least one seed is required")
	}
	points := sweep.Run()
	if path := cmd.String(flagPlot); path != "" {
		if err := report.WriteSweepPlot(path, points); err != nil {
			return err
		}
	}
	return print(cmd, points, func(w io.Writer) { experiment.WriteSweepTable(w, points) })
}

func readExperiment(path string) (*experiment.Spec, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	spec, err := experiment.Parse(b)
	if err != nil {
		return nil, exitErrorf(exitInvalid, "%s: %v", path, err)
	}
	return spec, nil
}
