// Package svgplot draws bar charts and quantile plots of reports as SVG.
package svgplot

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width    = 16 * vg.Centimeter
	height   = 8 * vg.Centimeter
	barWidth = 12 * vg.Millimeter
)

var barColor = color.Gray{Y: 0x60}

// Curve is one line of a quantile plot. At returns the time at quantile q.
type Curve struct {
	Name string
	At   func(q float64) time.Duration
}

// plottedQuantiles are the points of a curve, denser towards the tail.
var plottedQuantiles = []float64{0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999}

// Quantiles plots times over quantiles. The x axis is logarithmic in the share of
// slower requests, which makes the tail readable.
func Quantiles(title string, curves ...Curve) ([]byte, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "share of requests that are faster"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Tick.Marker = plot.ConstantTicks(quantileTicks())
	for i, c := range curves {
		points := make(plotter.XYs, len(plottedQuantiles))
		for j, q := range plottedQuantiles {
			points[j] = plotter.XY{X: nines(q), Y: float64(c.At(q)) / float64(time.Millisecond)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", c.Name, err)
		}
		line.Dashes = dashStyle(i)
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	p.Add(plotter.NewGrid())
	return render(p)
}

// nines returns the number of nines of q: 1 for 0.9, 2 for 0.99 and so on.
func nines(q float64) float64 { return -math.Log10(1 - q) }

func quantileTicks() []plot.Tick {
	labels := []float64{0.1, 0.5, 0.9, 0.99, 0.999, 0.9999}
	ticks := make([]plot.Tick, len(labels))
	for i, q := range labels {
		ticks[i] = plot.Tick{Value: nines(q), Label: fmt.Sprintf("%g", q)}
	}
	return ticks
}

func dashStyle(i int) []vg.Length {
	styles := [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(2), vg.Points(2)}}
	return styles[i%len(styles)]
}

// Bars draws one bar for each label.
func Bars(title, unit string, labels []string, values []float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(plotter.Values(values), barWidth)
	if err != nil {
		return nil, fmt.Errorf("plot %s: %w", title, err)
	}
	bars.Color = barColor
	bars.LineStyle.Width = 0
	p.Add(bars)
	p.NominalX(labels...)
	p.X.Min, p.X.Max = -0.5, float64(len(values))-0.5
	p.Y.Max = max(p.Y.Max, 1)
	return render(p)
}

func render(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("write SVG: %w", err)
	}
	return b.Bytes(), nil
}
