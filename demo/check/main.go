// Command check sends the demo's requests to running processes and fails unless
// every answer is correct.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

// checkTimeout limits the time of the whole check.
const checkTimeout = 2 * time.Minute

func main() {
	cmd := &cli.Command{
		Name:  "check",
		Usage: "run the demo's main job and check it",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `URL` of an entry daemon", Required: true},
			&cli.StringSliceFlag{Name: "engine", Usage: "`URL` of an engine stand-in", Required: true},
			&cli.StringFlag{Name: "service", Usage: "`URL` of the service stand-in", Required: true},
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the platform stand-in", Required: true},
			&cli.StringFlag{Name: "operator-token", Usage: "operator `TOKEN`", Required: true},
			&cli.StringFlag{Name: "manifest", Usage: "manifest `FILE` in force", Required: true},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo: FAILED:", err)
		os.Exit(1)
	}
}

// step is one part of the check. The name is printed.
type step struct {
	name string
	run  func(context.Context) error
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	s := &session{
		entries: cmd.StringSlice("entry"), engines: cmd.StringSlice("engine"),
		service: cmd.String("service"), platform: cmd.String("platform"),
		operatorToken: cmd.String("operator-token"), manifest: cmd.String("manifest"),
		expectedUsage: make(map[string]chatUsage),
	}
	for _, st := range s.steps() {
		began := time.Now()
		if err := st.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", st.name, err)
		}
		fmt.Printf("demo: ok: %s (%s)\n", st.name, time.Since(began).Round(time.Millisecond))
	}
	return nil
}
