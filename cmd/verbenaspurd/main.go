// Command verbenaspurd runs a daemon. Depending on its settings, this is an entry
// daemon, which forwards requests to the targets, or a side daemon, which runs next
// to one target.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/daemon"
	"github.com/verbenaspur/verbenaspur/internal/settings"
)

func main() {
	cmd := &cli.Command{
		Name:      "verbenaspurd",
		Usage:     "run an entry or side daemon",
		UsageText: "verbenaspurd --settings FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{directCommand()},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "verbenaspurd:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.String("settings") == "" {
		return errors.New("--settings is missing")
	}
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	return daemon.Run(ctx, s, newLogger(s.Log))
}

func newLogger(l settings.Log) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // the level was validated when the settings were loaded
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
