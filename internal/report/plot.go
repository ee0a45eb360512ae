package report

import (
	"math"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/verbenaspur/verbenaspur/internal/load"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// smoothingSeconds is the length of the moving average of goodput, in seconds.
	smoothingSeconds = 5
)

// WritePlots writes a plot of goodput over time, goodput.FORMAT, and one of the
// distribution of times to the first token, first-token.FORMAT, to the directory
// dir. The format is png or svg. It returns the paths of the two files.
func WritePlots(dir, format string, runs []Run) ([]string, error) {
	goodput, err := plotGoodput(runs)
	if err != nil {
		return nil, err
	}
	first, err := plotFirstToken(runs)
	if err != nil {
		return nil, err
	}
	var files []string
	for _, p := range []struct {
		name string
		plot *plot.Plot
	}{{"goodput", goodput}, {"first-token", first}} {
		path := filepath.Join(dir, p.name+"."+format)
		if err := p.plot.Save(plotWidth, plotHeight, path); err != nil {
			return nil, errors.Wrap(err, "report")
		}
		files = append(files, path)
	}
	return files, nil
}

func plotGoodput(runs []Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Good answers by the time at which they were due"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "good answers a second"
	p.Y.Min = 0
	var lines []any
	for _, run := range runs {
		lines = append(lines, run.Name, goodputLine(run.Result.Series))
	}
	return p, errors.Wrap(plotutil.AddLines(p, lines...), "report")
}

// goodputLine returns the moving average of the good responses per second.
func goodputLine(series []load.Second) plotter.XYs {
	xys := make(plotter.XYs, len(series))
	for i := range series {
		sum, n := 0, 0
		for _, s := range series[max(0, i-smoothingSeconds+1) : i+1] {
			sum += s.Good
			n++
		}
		xys[i] = plotter.XY{X: float64(series[i].At), Y: float64(sum) / float64(n)}
	}
	return xys
}

func plotFirstToken(runs []Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "share of answers"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var lines []any
	for _, run := range runs {
		xys, err := quantileLine(run.Result.Total.FirstToken)
		if err != nil {
			return nil, errors.Wrap(err, run.Name)
		}
		if len(xys) > 0 {
			lines = append(lines, run.Name, xys)
		}
	}
	if len(lines) == 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{}
	}
	return p, errors.Wrap(plotutil.AddLines(p, lines...), "report")
}

// quantileLine returns the latency in milliseconds at each percentile. It returns
// no points for an empty distribution.
func quantileLine(l load.Latency) (plotter.XYs, error) {
	if l.Count == 0 {
		return nil, nil
	}
	h, err := hdrhistogram.Decode([]byte(l.HDR))
	if err != nil {
		return nil, errors.Wrap(err, "report: histogram")
	}
	var xys plotter.XYs
	for q := 1; q <= 100; q++ {
		ms := float64(h.ValueAtQuantile(float64(q))) / 1000
		xys = append(xys, plotter.XY{X: float64(q) / 100, Y: math.Max(ms, 0.001)})
	}
	return xys, nil
}
