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

// page is the report for a browser, without scripts or anything from outside.
var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
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

// pageData fills the page. The plots are drawn here and hold no outside text
// but stage and class names of the scenario, which the plot library escapes.
type pageData struct {
	Name, Policy, Text      string
	Timeline, Latency, Cost template.HTML
}

// WriteHTML writes a report with plots.
func WriteHTML(w io.Writer, r Report) error {
	var text bytes.Buffer
	if err := Print(&text, r); err != nil {
		return err
	}
	data := pageData{Name: r.Scenario.Name, Policy: r.Policy, Text: text.String()}
	for _, p := range []struct {
		into *template.HTML
		draw func(Report) (*plot.Plot, error)
	}{
		{&data.Timeline, drawTimeline}, {&data.Latency, drawLatency}, {&data.Cost, drawCost},
	} {
		drawn, err := p.draw(r)
		if err != nil {
			return Error.Wrap(err)
		}
		svg, err := svgOf(drawn)
		if err != nil {
			return err
		}
		*p.into = svg
	}
	return Error.Wrap(page.Execute(w, data))
}

func drawTimeline(r Report) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "requests"
	var asked, whole, refused, lost plotter.XYs
	for _, s := range r.Timeline {
		x := float64(s.Second)
		asked = append(asked, plotter.XY{X: x, Y: float64(s.Requests)})
		whole = append(whole, plotter.XY{X: x, Y: float64(s.OnTime)})
		refused = append(refused, plotter.XY{X: x, Y: float64(s.Refused)})
		lost = append(lost, plotter.XY{X: x, Y: float64(s.LateOrFailed)})
	}
	return p, plotutil.AddLines(p, "asked", asked, "whole", whole, "refused", refused, "lost", lost)
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
	return p, addBars(p, names, []series{{"p50", p50}, {"p99", p99}})
}

func drawCost(r Report) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = "endpoint seconds"
	var names []string
	var all, lost plotter.Values
	for _, s := range r.Stages {
		names = append(names, s.Stage)
		all = append(all, s.EndpointSeconds)
		lost = append(lost, s.WastedSeconds)
	}
	return p, addBars(p, names, []series{{"all", all}, {"wasted", lost}})
}

// series is one colour of bars.
type series struct {
	name   string
	values plotter.Values
}

// addBars draws groups of bars side by side.
func addBars(p *plot.Plot, names []string, groups []series) error {
	if len(names) == 0 {
		return nil
	}
	const width = 14
	for i, g := range groups {
		bars, err := plotter.NewBarChart(g.values, vg.Points(width))
		if err != nil {
			return Error.Wrap(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(width * (float64(i) - float64(len(groups)-1)/2))
		p.Add(bars)
		p.Legend.Add(g.name, bars)
	}
	p.NominalX(names...)
	return nil
}

func svgOf(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", Error.Wrap(err)
	}
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}
