package ctl

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/experiment"
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
		result := experiment.Run(spec)
		if err := print(cmd, result, func(w io.Writer) { result.WriteTable(w) }); err != nil {
			return err
		}
	}
	return nil
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
