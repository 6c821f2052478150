package reporter

import (
	"bytes"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 9 * vg.Inch
	plotHeight  = 2.6 * vg.Inch
	barWidth    = 8    // points
	maxLegend   = 12   // curves named in the legend
	legendScale = 1.25 // length of the X axis relative to the data, so that the legend is beside the curves
)

// drawCurves returns an SVG plot of curves over the given number of seconds. With
// steps, a value holds until the next point; otherwise points are joined by lines.
func drawCurves(title, unit string, curves []curve, seconds int, steps bool) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds since the first line", unit
	p.Legend.Top, p.Y.Min = true, 0
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		xys := make(plotter.XYs, len(c.points))
		for k, pt := range c.points {
			xys[k].X, xys[k].Y = pt.seconds, pt.value
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", &Error{Op: "draw " + title, Kind: KindDraw, Err: err}
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		if steps {
			line.StepStyle = plotter.PostStep
		}
		p.Add(line)
		if i < maxLegend {
			p.Legend.Add(c.name, line)
		}
	}
	p.X.Min, p.X.Max = 0, float64(max(seconds, 1))*legendScale
	return renderSVG(p, title)
}

// drawBars returns an SVG bar chart.
func drawBars(title, unit string, list []bar) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	values, names := make(plotter.Values, len(list)), make([]string, len(list))
	for i, b := range list {
		values[i], names[i] = b.Value, b.Name
	}
	chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return "", &Error{Op: "draw " + title, Kind: KindDraw, Err: err}
	}
	chart.Color = plotutil.Color(0)
	p.Add(chart)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = 0.9, -1, -0.3
	return renderSVG(p, title)
}

func renderSVG(p *plot.Plot, title string) (template.HTML, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", &Error{Op: "draw " + title, Kind: KindDraw, Err: err}
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", &Error{Op: "draw " + title, Kind: KindDraw, Err: err}
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // remove the XML declaration, which is not allowed within HTML
	}
	return template.HTML(svg), nil //nolint // written by the plot library, which escapes the texts
}
