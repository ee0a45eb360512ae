// Command verbenaspur-standin runs simple stand-ins for the systems with which
// verbenaspur communicates. They serve the demo, tests and measurements.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/standin/engine"
	"github.com/verbenaspur/verbenaspur/internal/standin/platform"
	"github.com/verbenaspur/verbenaspur/internal/standin/service"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout is how long open requests may take once the process is asked to end.
	shutdownTimeout = 2 * time.Second
)

func main() {
	cmd := &cli.Command{
		Name:  "verbenaspur-standin",
		Usage: "run a stand-in for a system around verbenaspur",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "object API, host list, target and usage interfaces, weight store",
				Flags:  []cli.Flag{listenFlag()},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, platform.New()) },
			},
			engineCommand(),
			{
				Name:   "service",
				Usage:  "plain service with a register of load orders",
				Flags:  []cli.Flag{listenFlag()},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, service.New(service.Config{})) },
			},
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "verbenaspur-standin:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "serve on `ADDRESS`", Required: true}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "name in errors"},
			&cli.StringFlag{Name: "model", Usage: "model loaded at the start", Value: "dispatch-7b"},
			&cli.StringFlag{Name: "version", Usage: "its version", Value: "v1"},
			&cli.StringFlag{Name: "role", Usage: "mixed, prefill or decode", Value: "mixed"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse old fencing numbers"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, engine.New(engine.Config{
				Name: c.String("name"), Role: c.String("role"), ChecksFencing: c.Bool("checks-fencing"),
				Models: []engine.Model{{Model: c.String("model"), Version: c.String("version")}},
			}))
		},
	}
}

func serve(ctx context.Context, c *cli.Command, h http.Handler) error {
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	srv := httpdrain.New(&http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout})
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(drainCtx) != nil {
		return srv.Close()
	}
	return nil
}
