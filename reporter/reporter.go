package reporter

import (
	"html/template"
	"io"

	"mustardlever.dev/mustardlever/explainer"
)

// Report is a day's logs and metrics. Metrics may be nil.
type Report struct {
	Title   string
	Log     *explainer.Log
	Metrics *Metrics
}

// page is what the template shows.
type page struct {
	Title, Extent string
	Omitted       float64
	Plots         []template.HTML
	Starts        []bar
	Parts         []Part
	Pages         int
	Metrics       []bar
}

// Write writes the page. It errors with KindEmpty for a log without lines.
func (r *Report) Write(w io.Writer) error {
	if len(r.Log.Lines) == 0 {
		return &Error{Op: "report", Kind: KindEmpty, Detail: r.Log.Extent()}
	}
	r.Log.Sort()
	d := newDay(r.Log.Lines)
	plots, err := d.plots()
	if err != nil {
		return err
	}
	p := page{Title: r.Title, Extent: r.Log.Extent(), Omitted: d.omitted, Plots: plots, Starts: bars(d.starts), Parts: Parts(r.Log.Lines)}
	if r.Metrics != nil {
		p.Pages, p.Metrics = r.Metrics.Pages, r.Metrics.table()
	}
	if err := layout.Execute(w, p); err != nil {
		return &Error{Op: "report", Kind: KindWrite, Err: err}
	}
	return nil
}

// plots draws what the day has; a plot without any data is left out.
func (d *day) plots() ([]template.HTML, error) {
	var list []template.HTML
	for _, x := range []struct {
		title, unit string
		curves      []curve
		steps       bool
	}{
		{"Jobs taken", "a second", d.arrivals.curves(d.last), false},
		{"Answers by outcome", "a second", d.answers.curves(d.last), false},
		{"Not served, by outcome and cause", "a second", d.refusals.curves(d.last), false},
		{"Time to the answer, of the lines that were written", "ms", d.times(), false},
		{"Tasks that waited when a job was not served", "tasks", named(d.waiting), false},
		{"Configuration in force", "version", named(d.configuration), true},
	} {
		if !hasPoints(x.curves) {
			continue
		}
		picture, err := draw(x.title, x.unit, x.curves, d.last, x.steps)
		if err != nil {
			return nil, err
		}
		list = append(list, picture)
	}
	if len(d.starts) == 0 {
		return list, nil
	}
	picture, err := drawBars("Starts by agent, of the lines that were written", "starts", bars(d.starts))
	return append(list, picture), err
}

func hasPoints(curves []curve) bool {
	for _, c := range curves {
		if len(c.points) > 0 {
			return true
		}
	}
	return false
}

var layout = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em; color: #222 }
svg { display: block; max-width: 100%; height: auto; margin: 1.2em 0 }
table { border-collapse: collapse } td, th { padding: .15em 1em .15em 0; text-align: left }
td:last-child { text-align: right; font-variant-numeric: tabular-nums }
</style></head><body>
<h1>{{.Title}}</h1>
<p>{{.Extent}}.{{if .Omitted}} The processes left out {{printf "%.0f" .Omitted}} lines; jobs and answers among them are counted in the second after.{{end}}</p>
{{range .Plots}}{{.}}
{{end}}
<h2>Time to the first start</h2>
<table><tr><th>part</th><th>jobs</th><th>median</th><th>99th percentile</th></tr>
{{range .Parts}}<tr><td>{{.Name}}</td><td>{{.Jobs}}</td><td>{{.Median}}</td><td>{{.Tail}}</td></tr>
{{end}}</table>
{{if .Pages}}<h2>Metrics, summed over {{.Pages}} pages</h2>
<table>{{range .Metrics}}<tr><td>{{.Name}}</td><td>{{printf "%.6g" .Value}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))
