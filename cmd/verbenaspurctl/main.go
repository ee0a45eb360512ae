// Command verbenaspurctl checks and applies the manifest of a verbenaspur
// deployment and explains what the deployment does.
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
