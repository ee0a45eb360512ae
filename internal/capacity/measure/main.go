// Command measure measures the cost of daemons at several deployment sizes. Its
// command table reads the output of the others.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/capacity"
)

const (
	flagShare = "share"
	flagDir   = "dir"
	flagOver  = "over"

	flagCanonical = "canonical"
)

// shares are the shares of the target size at which costs are measured.
var shares = []float64{0.125, 0.25, 0.5, 1}

func main() {
	cmd := &cli.Command{
		Name:  "measure",
		Usage: "measure what daemons cost at several sizes",
		Commands: []*cli.Command{
			{Name: "manifest", Usage: "a change of configuration, by accounts", Action: measureManifest},
			{Name: "control", Usage: "the reducers of whole deployments in virtual time", Action: measureControl},
			{Name: "usage", Usage: "the reporting of usage, by requests", Action: measureUsage},
			{
				Name: "daemon", Usage: "a real entry daemon that faces stand-in peers", Action: measureDaemon,
				Flags: []cli.Flag{
					&cli.FloatFlag{Name: flagShare, Usage: "share of the target size", Value: 1},
					&cli.StringFlag{Name: flagDir, Usage: "directory for settings and certificates", Required: true},
					&cli.BoolFlag{Name: flagCanonical, Usage: "apply the manifest in its canonical form"},
					&cli.DurationFlag{Name: flagOver, Usage: "time of the measurement", Value: defaultOver},
				},
			},
			{Name: "table", Usage: "results on standard input as Markdown", Action: writeTable},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func measureManifest(context.Context, *cli.Command) error {
	for _, share := range shares {
		points, err := capacity.MeasureManifest(capacity.Target.Scale(share).Accounts)
		if err != nil {
			return err
		}
		if err := capacity.Write(os.Stdout, points); err != nil {
			return err
		}
	}
	return nil
}

func measureControl(context.Context, *cli.Command) error {
	for _, share := range shares {
		c := capacity.MeasureControl(capacity.Target.Scale(share))
		fmt.Fprintf(os.Stderr, "measure: %d entries, %d sides: %d requests finished, %d refused\n",
			c.Size.Entries, c.Size.Targets, c.Finished, c.Refused)
		for what, n := range c.Unhandled {
			fmt.Fprintf(os.Stderr, "measure: %d times %s\n", n, what)
		}
		if err := capacity.Write(os.Stdout, c.Points()); err != nil {
			return err
		}
	}
	return nil
}

// usageRates are the measured request rates. They are small shares of the target
// rate, because the cost is already measurable there.
var usageRates = []float64{25, 50, 100, 200}

func measureUsage(context.Context, *cli.Command) error {
	for _, rate := range usageRates {
		if err := capacity.Write(os.Stdout, capacity.MeasureUsage(rate)); err != nil {
			return err
		}
	}
	return nil
}

func writeTable(context.Context, *cli.Command) error {
	points, err := capacity.Read(os.Stdin)
	if err != nil {
		return err
	}
	return capacity.WriteTable(os.Stdout, points)
}
