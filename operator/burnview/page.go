package burnview

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/pomelospool/pomelospool/operator/svgplot"
	"github.com/pomelospool/pomelospool/process/burn"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// section is the part of the page about one service.
type section struct {
	Name  string
	Rows  []Row
	Codes []CodeCount
	Times []Quantiles
	Orgs  []OrgRow
	Plots []template.HTML
}

type pageData struct {
	View
	Answered int
	Sections []section
}

// HTML writes the view as one HTML page with embedded plots, which opens without
// a network.
func (v View) HTML(out io.Writer) error {
	d := pageData{View: v, Answered: v.Asked - len(v.Missing)}
	for _, s := range v.Report.Services {
		plots, err := renderPlots(s)
		if err != nil {
			return err
		}
		d.Sections = append(d.Sections, section{s.Name, Rows(s), Codes(s), Times(s), Orgs(s), plots})
	}
	if err := page.Execute(out, d); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func renderPlots(s burn.Service) ([]template.HTML, error) {
	var plots []template.HTML
	add := func(svg []byte, err error) error {
		if err == nil {
			plots = append(plots, stripProlog(svg))
		}
		return err
	}
	labels := []string{"5m", "1h", "6h", "3d"}
	for _, o := range allObjectives {
		if !hasSamples(s, o) || len(s.Windows) != len(labels) {
			continue
		}
		rates := make([]float64, len(s.Windows))
		for i, w := range s.Windows {
			rates[i] = w.Rate(o, s.Goals.Target)
		}
		if err := add(svgplot.Bars("Burn rate: "+o.String(), "times the allowed rate", labels, rates)); err != nil {
			return nil, err
		}
	}
	var curves []svgplot.Curve
	for _, c := range []struct {
		name string
		h    burn.Histogram
	}{{"first token", s.First}, {"whole answer", s.Answer}} {
		if c.h.Count() > 0 {
			curves = append(curves, svgplot.Curve{Name: c.name, At: c.h.Quantile})
		}
	}
	if len(curves) == 0 {
		return plots, nil
	}
	return plots, add(svgplot.Quantiles("Times of the last hour", curves...))
}

// stripProlog removes the XML prolog before the svg element, for embedding in
// HTML. The result is safe as template.HTML because the plot library escapes its
// texts.
func stripProlog(svg []byte) template.HTML {
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg)
}
