package burn

import (
	"bytes"
	"html/template"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
)

var pageTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em;max-width:75em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>
</head><body><h1>Service-level burn</h1><p>{{.At}}</p>
<pre>{{.Table}}</pre>
<h2>Burn rate by class</h2><p>1 uses exactly the error budget.</p>{{.Burn}}
<h2>Misses by cause</h2>{{.Causes}}
</body></html>
`))

// WritePage writes the report as an HTML page without external references.
func (r *Report) WritePage(w io.Writer) error {
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	burnPlot, err := r.burnPlot()
	if err != nil {
		return err
	}
	causePlot, err := r.causePlot()
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, map[string]any{
		"At":     r.At.UTC().Format("2006-01-02 15:04:05 UTC"),
		"Table":  table.String(),
		"Burn":   burnPlot,
		"Causes": causePlot,
	})
}

// burnPlot draws one group of bars per class, with one bar per window.
func (r *Report) burnPlot() (template.HTML, error) {
	rows := r.ByClass()
	groups := make([]barGroup, len(Windows))
	for i, length := range Windows {
		groups[i].name = formatDuration(length)
		for _, row := range rows {
			groups[i].values = append(groups[i].values, row.Counts[i].BurnRate(r.Targets[row.Class].Objective))
		}
	}
	return drawBars("burn rate", classNames(rows), groups)
}

// causePlot draws one group of bars per class, with one bar per cause, for the
// longest window.
func (r *Report) causePlot() (template.HTML, error) {
	rows := r.ByClass()
	groups := make([]barGroup, len(Causes))
	for i, cause := range Causes {
		groups[i].name = string(cause)
		for _, row := range rows {
			groups[i].values = append(groups[i].values, row.Counts[len(Windows)-1].Missed[cause])
		}
	}
	return drawBars("missed requests", classNames(rows), groups)
}

func classNames(rows []Row) []string {
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		names = append(names, row.Class)
	}
	return names
}

type barGroup struct {
	name   string
	values plotter.Values
}

func drawBars(label string, names []string, groups []barGroup) (template.HTML, error) {
	if len(names) == 0 {
		return "<p>No requests.</p>", nil
	}
	p := plot.New()
	p.Y.Label.Text = label
	p.Legend.Top = true
	highest := 1.0
	for i, g := range groups {
		bars, err := plotter.NewBarChart(g.values, barWidth)
		if err != nil {
			return "", result.Wrap(result.InvalidRequest, err, "cannot draw plot of %s", label)
		}
		bars.Offset = vg.Length(i)*barWidth - vg.Length(len(groups)-1)*barWidth/2
		bars.Color = barColors[i%len(barColors)]
		p.Add(bars)
		p.Legend.Add(g.name, bars)
		for _, v := range g.values {
			highest = math.Max(highest, v)
		}
	}
	p.Y.Min, p.Y.Max = 0, highest
	p.NominalX(names...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", result.Wrap(result.InvalidRequest, err, "cannot draw plot of %s", label)
	}
	_, svg, _ := strings.Cut(b.String(), "<svg")
	return template.HTML("<svg" + svg), nil
}
