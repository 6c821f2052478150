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
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	barWidth   = 8 // points
	maxLegend  = 12
	legendRoom = 1.25 // times the length of the day, so that names stand beside the curves
)

// draw returns curves over a day of some seconds as a picture. Steps holds a
// value until the next one.
func draw(title, unit string, curves []curve, seconds int, steps bool) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds from the first line", unit
	p.Legend.Top, p.Y.Min = true, 0
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		xys := make(plotter.XYs, len(c.points))
		for k, x := range c.points {
			xys[k].X, xys[k].Y = x.at, x.value
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
	p.X.Min, p.X.Max = 0, float64(max(seconds, 1))*legendRoom
	return render(p, title)
}

// drawBars returns amounts as a picture.
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
	return render(p, title)
}

func render(p *plot.Plot, title string) (template.HTML, error) {
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
		svg = svg[i:] // an HTML page takes no XML declaration
	}
	return template.HTML(svg), nil //nolint // the library's own output, whose texts it escapes
}
