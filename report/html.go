// SPDX-License-Identifier: MIT

package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// palette holds the colors of the lines of a plot, which repeat if there are more lines.
var palette = []color.Color{
	color.RGBA{0x2e, 0x7d, 0x32, 0xff}, color.RGBA{0xf9, 0xa8, 0x25, 0xff}, color.RGBA{0x15, 0x65, 0xc0, 0xff},
	color.RGBA{0xc6, 0x28, 0x28, 0xff}, color.RGBA{0x6a, 0x1b, 0x9a, 0xff}, color.RGBA{0x00, 0x83, 0x8f, 0xff},
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>What became of requests</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
</head><body><h1>What became of requests</h1><p>{{.Summary}}</p>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}{{range .Tables}}<table><tr><th>{{.Title}}</th><th>requests</th><th>in time</th><th>late</th><th>refused</th><th>failed</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Counts.Total}}</td>{{range .Counts}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}{{if .Steps}}<table><tr><th>roll-out of</th><th>first</th><th>last</th><th>lines</th><th>what</th></tr>
{{range .Steps}}<tr><td>{{.Service}}</td><td>{{.First}}</td><td>{{.Last}}</td><td>{{.Lines}}</td><td>{{.What}}</td></tr>
{{end}}</table>
{{end}}</body></html>
`))

// pageData is the input of pageTemplate.
type pageData struct {
	Summary string
	Plots   []pagePlot
	Tables  []pageTable
	Steps   []pageStep
}

// pageStep is a row of the table of rollout steps.
type pageStep struct {
	Service, First, Last string
	Lines                int
	What                 string
}

type pagePlot struct {
	Title string
	SVG   template.HTML
}

type pageTable struct {
	Title string
	Rows  []pageRow
}

type pageRow struct {
	Name   string
	Counts Counts
}

// WriteHTML writes the report as a self-contained HTML page with plots.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Summary: r.summary()}
	ws := r.windows()
	for _, x := range []struct {
		title  string
		series map[string]plotter.XYs
		order  []string
	}{
		{"Requests a second by outcome", outcomeSeries(r, ws), []string{"in time", "late", "refused", "failed"}},
		{"Requests a second not answered in time, by cause", causeSeries(r, ws), nil},
	} {
		svg, err := renderPlot(x.series, x.order)
		if err != nil {
			return errors.Annotate(err, x.title)
		}
		data.Plots = append(data.Plots, pagePlot{Title: x.title, SVG: template.HTML(svg)}) // rendered here from numbers and escaped text
	}
	for _, s := range sections {
		data.Tables = append(data.Tables, newTable(s.title, r.sumBy(s.label)))
	}
	if sums := r.sumByVersion(); len(sums) > 0 {
		data.Tables = append(data.Tables, newTable("answered by version", sums))
	}
	for _, step := range r.steps.sorted() {
		stats := r.steps.stats[step]
		data.Steps = append(data.Steps, pageStep{Service: step.service, First: formatTime(stats.first), Last: formatTime(stats.last), Lines: stats.lines, What: step.description()})
	}
	return errors.Annotate(pageTemplate.Execute(w, data), "write page")
}

// newTable returns a table with a row per sum, ordered by name.
func newTable(title string, sums map[string]Counts) pageTable {
	t := pageTable{Title: title}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		t.Rows = append(t.Rows, pageRow{Name: name, Counts: sums[name]})
	}
	return t
}

func outcomeSeries(r *Report, ws []window) map[string]plotter.XYs {
	series := make(map[string]plotter.XYs)
	for _, w := range ws {
		for o := range numOutcomes {
			series[o.String()] = append(series[o.String()], r.point(ws, w, w.counts[o]))
		}
	}
	return series
}

func causeSeries(r *Report, ws []window) map[string]plotter.XYs {
	series := make(map[string]plotter.XYs)
	for _, w := range ws {
		for cause := range w.notInTime {
			series[cause] = nil
		}
	}
	for cause := range series {
		for _, w := range ws {
			series[cause] = append(series[cause], r.point(ws, w, w.notInTime[cause]))
		}
	}
	return series
}

// point returns the point of a window with n requests: seconds since the first window,
// and requests per second.
func (r *Report) point(ws []window, w window, n int) plotter.XY {
	return plotter.XY{X: w.start.Sub(ws[0].start).Seconds(), Y: float64(n) / r.Window.Seconds()}
}

// renderPlot returns a line plot as SVG. A nil order orders the lines by name.
func renderPlot(series map[string]plotter.XYs, order []string) (string, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	if order == nil {
		order = slices.Sorted(maps.Keys(series))
	}
	for i, name := range order {
		if len(series[name]) == 0 {
			continue
		}
		l, err := plotter.NewLine(series[name])
		if err != nil {
			return "", errors.Annotate(err, fmt.Sprintf("line %q", name))
		}
		l.Color = palette[i%len(palette)]
		p.Add(l)
		p.Legend.Add(name, l)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgdraw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", errors.Annotate(err, "write plot")
	}
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg")) // drop the XML declaration
	return "<svg" + string(svg), nil
}
