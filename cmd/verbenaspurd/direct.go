package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/daemon"
	"github.com/verbenaspur/verbenaspur/internal/jsonlog"
	"github.com/verbenaspur/verbenaspur/platform"
)

// directCommand runs an entry daemon that manages its targets itself, without side
// daemons. It reads the settings file of the operator's platform.
func directCommand() *cli.Command {
	return &cli.Command{
		Name:  "direct",
		Usage: "run an entry daemon on the platform, without side daemons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE` instead of the one that the environment names"},
			&cli.StringFlag{Name: "metrics", Usage: "serve metrics at `ADDRESS`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: runDirect,
	}
}

func runDirect(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("settings")
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return err
		}
	}
	if cmd.Bool("check") {
		s, err := platform.LoadSettings(path)
		if err != nil {
			return err
		}
		limits := daemon.NewCallerLimits(s)
		fmt.Println("settings are valid")
		fmt.Printf("connections (0: any): callers %d, ready %d, metrics %d; held for callers: %d bytes\n", limits.Callers, limits.Ready, limits.Metrics, limits.Bytes)
		return nil
	}
	out := jsonlog.New(os.Stdout)
	defer out.Close()
	return daemon.RunDirect(ctx, path, cmd.String("metrics"), out.Logger(slog.LevelInfo))
}
