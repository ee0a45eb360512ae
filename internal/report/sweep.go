package report

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/verbenaspur/verbenaspur/internal/experiment"
)

// WriteSweepPlot writes a plot of what callers get at several loads. The file's extension
// selects the format.
func WriteSweepPlot(path string, points []experiment.SweepPoint) error {
	p := plot.New()
	p.Title.Text = "Answers by load"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	err := plotutil.AddLinePoints(p,
		"asked", sweepLine(points, func(p experiment.SweepPoint) float64 { return p.Asked }),
		"limit", sweepLine(points, func(p experiment.SweepPoint) float64 { return p.Limit }),
		"in time", sweepLine(points, func(p experiment.SweepPoint) float64 { return p.InTime }),
		"late", sweepLine(points, func(p experiment.SweepPoint) float64 { return p.Late }),
		"refused", sweepLine(points, func(p experiment.SweepPoint) float64 { return p.Refused }),
	)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "report")
}

func sweepLine(points []experiment.SweepPoint, value func(experiment.SweepPoint) float64) plotter.XYs {
	xys := make(plotter.XYs, len(points))
	for i, p := range points {
		xys[i] = plotter.XY{X: p.Load, Y: value(p)}
	}
	return xys
}
