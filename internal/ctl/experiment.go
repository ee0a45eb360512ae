package ctl

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/experiment"
)

// experimentCommand plays loads against the decisions of entries.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "play a described load against the entries' decisions in virtual time",
		ArgsUsage: "EXPERIMENT...",
		UsageText: "verbenaspurctl experiment examples/experiments/short-fleet.yaml",
		Description: "Entries decide as in the daemon; engines batch, read prompts and cache as the file\n" +
			"says. The same file and seed give the same result. It leaves out the network's\n" +
			"faults, the platform's store and processor time: compare policies, not days.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed in place of the file's"},
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return usageError("name at least one experiment")
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
		if err := print(cmd, result, func(w io.Writer) { result.Table(w) }); err != nil {
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
		return nil, exitWith(exitInvalid, "%s: %v", path, err)
	}
	return spec, nil
}
