package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/load"
	"github.com/verbenaspur/verbenaspur/internal/operator"
	"github.com/verbenaspur/verbenaspur/internal/report"
)

const (
	flagOut         = "out"
	flagMaxInFlight = "max-in-flight"
	flagTimeout     = "timeout"
	flagSeed        = "seed"
	flagPlots       = "plots"
	flagFormat      = "format"
)

const (
	defaultMaxInFlight = 20_000
	defaultTimeout     = 2 * time.Minute
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send the requests of a workload and measure the responses",
		ArgsUsage: "WORKLOAD",
		UsageText: "verbenaspurctl load --out shift.json examples/workload-demo.yaml\n" +
			"verbenaspurctl -s http://10.0.0.1:8080 -s http://10.0.0.2:8080 load workload.yaml",
		Description: "Requests are sent to the --server URLs in turn, at times that the workload and its seed\n" +
			"determine, however slow the responses are. Latencies count from those times. Each response\n" +
			"is checked to be complete and, if the workload says how, to belong to its request. The\n" +
			"exit code is 1 if a response was broken or belonged to another request.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOut, Usage: "`FILE` to which the result is written as JSON"},
			&cli.IntFlag{Name: flagMaxInFlight, Usage: "largest number of requests in flight; requests beyond it count as not sent", Value: defaultMaxInFlight},
			&cli.DurationFlag{Name: flagTimeout, Usage: "longest duration of one request", Value: defaultTimeout},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed to use instead of the workload's"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "the workload")
	if err != nil {
		return err
	}
	w, err := load.Read(path)
	if err != nil {
		return err
	}
	if cmd.IsSet(flagSeed) {
		w.Seed = cmd.Uint64(flagSeed)
	}
	transport, err := loadTransport(cmd)
	if err != nil {
		return err
	}
	res, err := load.Run(ctx, w, load.Options{
		Servers: cmd.StringSlice(flagServer), MaxInFlight: cmd.Int(flagMaxInFlight),
		Timeout: cmd.Duration(flagTimeout), Transport: transport, Progress: printProgress(cmd),
	})
	if err != nil {
		return err
	}
	return writeLoadResult(cmd, res)
}

func loadTransport(cmd *cli.Command) (http.RoundTripper, error) {
	t, err := operator.NewTransport(cmd.String(flagCA))
	if err != nil {
		return nil, err
	}
	t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, cmd.Int(flagMaxInFlight)
	return t, nil
}

// printProgress returns a function that prints the progress of a load run.
func printProgress(cmd *cli.Command) func(time.Duration, load.Summary) {
	return func(at time.Duration, s load.Summary) {
		_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "%4.0fs  ended %d  done %d  good %d\n", at.Seconds(), s.Requests, s.Done, s.Good)
	}
}

// writeLoadResult prints the result of a load run and writes it to the file that
// the command line names. It returns an error if a response was broken or belonged
// to another request.
func writeLoadResult(cmd *cli.Command, res *load.Result) error {
	if out := cmd.String(flagOut); out != "" {
		b, err := json.MarshalIndent(res, "", " ")
		if err != nil {
			return errors.Wrap(err, "load")
		}
		if err := os.WriteFile(out, append(b, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "load")
		}
	}
	if err := print(cmd, res, loadTable(res)); err != nil {
		return err
	}
	if n := res.Total.Outcomes[load.OutcomeBroken] + res.Total.Outcomes[load.OutcomeForeign]; n > 0 {
		return exitErrorf(exitFailed, "%d responses were broken or belonged to another request", n)
	}
	return nil
}

func loadTable(res *load.Result) func(io.Writer) {
	return func(w io.Writer) {
		row(w, "PART", "REQUESTS", "DONE", "GOOD", "NOT-RUN", "UNKNOWN", "BROKEN", "FOREIGN", "FIRST p50/p95/p99 ms", "BETWEEN p50/p95 ms")
		loadRow(w, &res.Total)
		for i := range res.Streams {
			loadRow(w, &res.Streams[i])
		}
		for i := range res.Accounts {
			loadRow(w, &res.Accounts[i])
		}
	}
}

func loadRow(w io.Writer, g *load.Group) {
	o := g.Outcomes
	row(w, g.Name, g.Requests, g.Done, g.Good, o[load.OutcomeNotRun], o[load.OutcomeUnknown], o[load.OutcomeBroken], o[load.OutcomeForeign],
		fmt.Sprintf("%.0f/%.0f/%.0f", g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99), fmt.Sprintf("%.1f/%.1f", g.BetweenTokens.P50, g.BetweenTokens.P95))
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "compare the results of load runs in a Markdown table and plots",
		ArgsUsage: "RESULT...",
		UsageText: "verbenaspurctl report before.json after.json > comparison.md\n" +
			"verbenaspurctl report --plots docs/measurements --format svg before.json after.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPlots, Usage: "`DIRECTORY` to which plots are written; without it there are no plots"},
			&cli.StringFlag{Name: flagFormat, Usage: "`FORMAT` of the plots: png or svg", Value: "png"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return usageErrorf("at least one result file of verbenaspurctl load --out is required")
			}
			runs, err := report.Read(cmd.Args().Slice())
			if err != nil {
				return err
			}
			if err := report.WriteTable(cmd.Root().Writer, runs); err != nil {
				return err
			}
			if cmd.String(flagPlots) == "" {
				return nil
			}
			_, err = report.WritePlots(cmd.String(flagPlots), cmd.String(flagFormat), runs)
			return err
		},
	}
}
