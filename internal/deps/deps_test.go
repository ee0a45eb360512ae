// Package deps pins modules that packages under construction are about to use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/gorilla/mux"
	_ "github.com/invopop/jsonschema"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/quic-go/quic-go"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
