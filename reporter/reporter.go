package reporter

import (
	"html/template"
	"io"

	"mustardlever.dev/mustardlever/explainer"
)

// Report holds the logs and metrics of a day. Metrics may be nil.
type Report struct {
	Title   string
	Log     *explainer.Log
	Metrics *Metrics
}

// page is the data of pageTemplate.
type page struct {
	Title, LogExtent string
	OmittedLines     float64
	Plots            []template.HTML
	Starts           []bar
	Phases           []Phase
	Pages            int
	Metrics          []bar
}

// Write writes the report as an HTML page. It returns an error of KindEmpty for a
// log without lines.
func (r *Report) Write(w io.Writer) error {
	if len(r.Log.Lines) == 0 {
		return &Error{Op: "report", Kind: KindEmpty, Detail: r.Log.Extent()}
	}
	r.Log.Sort()
	ls := newLogSeries(r.Log.Lines)
	plots, err := ls.plots()
	if err != nil {
		return err
	}
	p := page{Title: r.Title, LogExtent: r.Log.Extent(), OmittedLines: ls.omittedLines, Plots: plots, Starts: sortedBars(ls.startsByAgent), Phases: StartPhases(r.Log.Lines)}
	if r.Metrics != nil {
		p.Pages, p.Metrics = r.Metrics.Pages, r.Metrics.largestSeries()
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return &Error{Op: "report", Kind: KindWrite, Err: err}
	}
	return nil
}

// plots returns the plots of the series, except those without data.
func (ls *logSeries) plots() ([]template.HTML, error) {
	var list []template.HTML
	for _, spec := range []struct {
		title, unit string
		curves      []curve
		steps       bool
	}{
		{"Jobs taken", "per second", ls.arrivals.curves(ls.lastSecond), false},
		{"Answers by outcome", "per second", ls.answersByOutcome.curves(ls.lastSecond), false},
		{"Not served, by outcome and cause", "per second", ls.unservedByCause.curves(ls.lastSecond), false},
		{"Latency of answers (logged answers only)", "ms", ls.latencyCurves(), false},
		{"Waiting tasks when a job was not served", "tasks", curvesByName(ls.waitingTasks), false},
		{"Configuration in use", "version", curvesByName(ls.configuration), true},
	} {
		if !hasPoints(spec.curves) {
			continue
		}
		svg, err := drawCurves(spec.title, spec.unit, spec.curves, ls.lastSecond, spec.steps)
		if err != nil {
			return nil, err
		}
		list = append(list, svg)
	}
	if len(ls.startsByAgent) == 0 {
		return list, nil
	}
	svg, err := drawBars("Task starts by agent (logged starts only)", "starts", sortedBars(ls.startsByAgent))
	return append(list, svg), err
}

func hasPoints(curves []curve) bool {
	for _, c := range curves {
		if len(c.points) > 0 {
			return true
		}
	}
	return false
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em; color: #222 }
svg { display: block; max-width: 100%; height: auto; margin: 1.2em 0 }
table { border-collapse: collapse } td, th { padding: .15em 1em .15em 0; text-align: left }
td:last-child { text-align: right; font-variant-numeric: tabular-nums }
</style></head><body>
<h1>{{.Title}}</h1>
<p>{{.LogExtent}}.{{if .OmittedLines}} The processes omitted {{printf "%.0f" .OmittedLines}} lines; the jobs and answers among them are counted in the second in which they were reported.{{end}}</p>
{{range .Plots}}{{.}}
{{end}}
<h2>Time to the first start</h2>
<table><tr><th>phase</th><th>jobs</th><th>median</th><th>99th percentile</th></tr>
{{range .Phases}}<tr><td>{{.Name}}</td><td>{{.Jobs}}</td><td>{{.Median}}</td><td>{{.P99}}</td></tr>
{{end}}</table>
{{if .Pages}}<h2>Metrics, summed over {{.Pages}} pages</h2>
<table>{{range .Metrics}}<tr><td>{{.Name}}</td><td>{{printf "%.6g" .Value}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))
