package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/pomelospool/pomelospool/bench/policy"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 6 * vg.Inch

	// legendHeightShare is the space for the legend, as a share of the highest
	// value.
	legendHeightShare = 0.55
)

// colours distinguish the systems, in the order of the results.
var colours = []color.RGBA{
	{0x00, 0x6d, 0x2c, 0xff}, {0xd9, 0x5f, 0x0e, 0xff}, {0x99, 0x99, 0x99, 0xff},
	{0x75, 0x6b, 0xb1, 0xff}, {0x31, 0x82, 0xbd, 0xff}, {0xde, 0x2d, 0x26, 0xff},
}

// writePlot draws the offered work and each system's goodput over time. The
// suffix of the file name selects the format.
func writePlot(file, title string, results []policy.Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "work finished on time, engines"
	p.Legend.Top = true
	offered, err := plotter.NewLine(points(results[0].Points, func(x policy.Point) float64 { return x.Offered }))
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	offered.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(offered)
	p.Legend.Add("offered", offered)
	for i, r := range results {
		line, err := plotter.NewLine(points(r.Points, func(x policy.Point) float64 { return x.OnTime }))
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = colours[i%len(colours)]
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (%d changes)", r.System, r.Changes), line)
	}
	// Extend the y axis so that the legend doesn't cover the lines.
	p.Y.Min = 0
	p.Y.Max *= 1 + legendHeightShare
	p.Legend.Padding = vg.Points(2)
	p.Legend.Left = true
	p.Legend.XOffs = vg.Points(8)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func points(ps []policy.Point, y func(policy.Point) float64) plotter.XYs {
	xys := make(plotter.XYs, len(ps))
	for i, p := range ps {
		xys[i].X, xys[i].Y = p.At, y(p)
	}
	return xys
}
