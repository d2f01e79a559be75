// Package capacity measures how state, messages, processor time and memory of
// each role grow, and works out what they come to at the size of the target.
// Every figure of docs/CAPACITY.md comes from here.
package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement: Y at size X.
type Point struct {
	X, Y float64
}

// Slope is a quantity measured at several sizes with the straight line fitted
// to it by least squares.
type Slope struct {
	Name   string
	XUnit  string // what the size counts
	YUnit  string
	Points []Point
	A, B   float64 // Y = A + B·X
	Worst  float64 // largest deviation of a point from the line, as a share of the point
}

// Fit returns the slope through the points. The squares are weighted by
// 1/Y², so that the line is off by the same share at small and large sizes.
func Fit(name, xUnit, yUnit string, points ...Point) Slope {
	s := Slope{Name: name, XUnit: xUnit, YUnit: yUnit, Points: points}
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		weight := 1 / max(p.Y*p.Y, math.SmallestNonzeroFloat32)
		w += weight
		wx += weight * p.X
		wy += weight * p.Y
		wxx += weight * p.X * p.X
		wxy += weight * p.X * p.Y
	}
	if d := w*wxx - wx*wx; d != 0 {
		s.B = (w*wxy - wx*wy) / d
	}
	if w > 0 {
		s.A = (wy - s.B*wx) / w
	}
	for _, p := range points {
		if p.Y != 0 {
			s.Worst = max(s.Worst, math.Abs(s.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
	return s
}

// At returns the line's value at size x.
func (s Slope) At(x float64) float64 { return s.A + s.B*x }

// Row writes the slope as a row of a Markdown table.
func (s Slope) Row() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%s: %s", number(p.X), number(p.Y)))
	}
	return fmt.Sprintf("| %s | %s | %s | %s + %s·x %s | %.0f%% |",
		s.Name, s.XUnit, strings.Join(points, ", "), number(s.A), number(s.B), s.YUnit, 100*s.Worst)
}

// number writes v with three significant digits and no exponent.
func number(v float64) string {
	a := math.Abs(v)
	switch {
	case a >= 1e6:
		return fmt.Sprintf("%.2fM", v/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.1fk", v/1e3)
	case a >= 100 || a == math.Trunc(a):
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
