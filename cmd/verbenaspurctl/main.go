// Command verbenaspurctl checks, applies and explains what a verbenaspur
// deployment does.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/verbenaspur/verbenaspur/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
