package capacity

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Point is a value measured at a size.
type Point struct {
	Series Series  `json:"series"`
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
}

// Series identifies a measured quantity and the size on which it depends.
type Series struct {
	Name string `json:"name"`
	// Per is the name of the size, for example "entries".
	Per  string `json:"per"`
	Unit string `json:"unit"`
	// Target is the size that the design has to support.
	Target float64 `json:"target"`
}

// Line is a straight line through measured points.
type Line struct {
	// Slope is the change of the value per unit of size, and Intercept is the
	// value at size 0.
	Slope, Intercept float64
	// Residual is the largest distance of a point from the line, relative to
	// the largest value.
	Residual float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through points.
func Fit(points []Point) Line {
	var n, sx, sy, sxx, sxy, largest float64
	for _, p := range points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		largest = max(largest, math.Abs(p.Value))
	}
	var l Line
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		l.Intercept = (sy - l.Slope*sx) / n
	}
	for _, p := range points {
		if largest > 0 {
			l.Residual = max(l.Residual, math.Abs(p.Value-l.At(p.Size))/largest)
		}
	}
	return l
}

// Write writes points as JSON, one per line.
func Write(w io.Writer, points []Point) error {
	enc := json.NewEncoder(w)
	for _, p := range points {
		if err := enc.Encode(p); err != nil {
			return errors.Wrap(err, "capacity")
		}
	}
	return nil
}

// Read reads points that [Write] wrote.
func Read(r io.Reader) ([]Point, error) {
	var points []Point
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		var p Point
		if err := json.Unmarshal(scan.Bytes(), &p); err != nil {
			return nil, errors.Wrap(err, "capacity")
		}
		points = append(points, p)
	}
	return points, errors.Wrap(scan.Err(), "capacity")
}

// WriteTable writes a Markdown table with the points of each series, its line and
// the line's value at the target size.
func WriteTable(w io.Writer, points []Point) error {
	var order []Series
	groups := make(map[Series][]Point)
	for _, p := range points {
		if groups[p.Series] == nil {
			order = append(order, p.Series)
		}
		groups[p.Series] = append(groups[p.Series], p)
	}
	var b strings.Builder
	b.WriteString("| what | per | measured (size: value) | slope | residual | at the target size |\n|---|---|---|---|---|---|\n")
	for _, s := range order {
		writeSeries(&b, s, groups[s])
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "capacity")
}

// writeSeries writes the row of a series.
func writeSeries(b *strings.Builder, s Series, points []Point) {
	slices.SortFunc(points, func(x, y Point) int { return cmp.Compare(x.Size, y.Size) })
	values := make([]string, len(points))
	for i, p := range points {
		values[i] = fmt.Sprintf("%.0f: %s", p.Size, number(p.Value))
	}
	l := Fit(points)
	fmt.Fprintf(b, "| %s, %s | %s | %s | %s | %.0f%% | %.0f: %s |\n", s.Name, s.Unit, s.Per, strings.Join(values, ", "),
		number(l.Slope), 100*l.Residual, s.Target, number(l.At(s.Target)))
}

// number formats a value with three significant digits, or without decimals if it
// is 100 or more.
func number(v float64) string {
	if a := math.Abs(v); a >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
