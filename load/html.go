package load

import (
	"bytes"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// reportTemplate is the report page. It has no scripts and loads no external resources.
var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>azurelead load: {{.Name}}</title>
<style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>
</head><body>
<h1>{{.Name}} under {{.Policy}}</h1>
<h2>Service over time</h2>{{.Timeline}}
<h2>Latency of whole answers</h2>{{.Latency}}
<h2>Endpoint time by stage</h2>{{.Cost}}
<h2>Figures</h2><pre>{{.Text}}</pre>
</body></html>
`))

// pageData holds the values of reportTemplate. The plots are safe as HTML: they are drawn in this
// package, and their only external texts are the scenario's stage and class names, which the plot
// library escapes.
type pageData struct {
	Name, Policy, Text      string
	Timeline, Latency, Cost template.HTML
}

// WriteHTML writes a report as an HTML page with plots.
func WriteHTML(w io.Writer, r Report) error {
	var text bytes.Buffer
	if err := Print(&text, r); err != nil {
		return err
	}
	data := pageData{Name: r.Scenario.Name, Policy: r.Policy, Text: text.String()}
	for _, chart := range []struct {
		target *template.HTML
		draw   func(Report) (*plot.Plot, error)
	}{
		{&data.Timeline, drawTimeline}, {&data.Latency, drawLatency}, {&data.Cost, drawCost},
	} {
		drawn, err := chart.draw(r)
		if err != nil {
			return Error.Wrap(err)
		}
		svg, err := renderSVG(drawn)
		if err != nil {
			return err
		}
		*chart.target = svg
	}
	return Error.Wrap(reportTemplate.Execute(w, data))
}

func drawTimeline(r Report) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "requests"
	var requests, onTime, refused, lateOrFailed plotter.XYs
	for _, s := range r.Timeline {
		x := float64(s.Second)
		requests = append(requests, plotter.XY{X: x, Y: float64(s.Requests)})
		onTime = append(onTime, plotter.XY{X: x, Y: float64(s.OnTime)})
		refused = append(refused, plotter.XY{X: x, Y: float64(s.Refused)})
		lateOrFailed = append(lateOrFailed, plotter.XY{X: x, Y: float64(s.LateOrFailed)})
	}
	return p, plotutil.AddLines(p, "asked", requests, "whole", onTime, "refused", refused, "lost", lateOrFailed)
}

func drawLatency(r Report) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = "milliseconds"
	var names []string
	var p50, p99 plotter.Values
	for _, c := range r.Classes {
		names = append(names, c.Name)
		p50 = append(p50, float64(c.Latency.P50)/microsecondsPerMillisecond)
		p99 = append(p99, float64(c.Latency.P99)/microsecondsPerMillisecond)
	}
	return p, addBars(p, names, []barSeries{{"p50", p50}, {"p99", p99}})
}

func drawCost(r Report) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = "endpoint seconds"
	var names []string
	var total, wasted plotter.Values
	for _, s := range r.Stages {
		names = append(names, s.Stage)
		total = append(total, s.EndpointSeconds)
		wasted = append(wasted, s.WastedSeconds)
	}
	return p, addBars(p, names, []barSeries{{"all", total}, {"wasted", wasted}})
}

// barSeries is a series of bars of the same colour.
type barSeries struct {
	name   string
	values plotter.Values
}

// addBars adds bar series to a plot, with one group of adjacent bars for each name.
func addBars(p *plot.Plot, names []string, series []barSeries) error {
	if len(names) == 0 {
		return nil
	}
	const barWidth = 14
	for i, s := range series {
		bars, err := plotter.NewBarChart(s.values, vg.Points(barWidth))
		if err != nil {
			return Error.Wrap(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(series)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.NominalX(names...)
	return nil
}

// renderSVG renders a plot as an SVG element, without the XML prologue.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", Error.Wrap(err)
	}
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}
