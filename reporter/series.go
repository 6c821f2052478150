package reporter

import (
	"cmp"
	"maps"
	"slices"

	"mustardlever.dev/mustardlever/explainer"
)

const (
	microsPerSecond              = 1e6
	medianQuantile, tailQuantile = 0.5, 0.99
)

// point is a value at a time, in seconds since the first line.
type point struct{ seconds, value float64 }

// curve is one named curve of a plot.
type curve struct {
	name   string
	points []point
}

// counts holds numbers of events by name and second.
type counts map[string]map[int]float64

func (c counts) add(name string, second int, count float64) {
	if c[name] == nil {
		c[name] = make(map[int]float64)
	}
	c[name][second] += count
}

// curves returns a curve for each name, with a point for each second up to
// lastSecond.
func (c counts) curves(lastSecond int) []curve {
	var list []curve
	for _, name := range slices.Sorted(maps.Keys(c)) {
		cv := curve{name: name}
		for s := range lastSecond + 1 {
			cv.points = append(cv.points, point{float64(s), c[name][s]})
		}
		list = append(list, cv)
	}
	return list
}

// logSeries holds the time series of a log, in seconds since its first line.
type logSeries struct {
	lastSecond       int // second of the last line
	arrivals         counts
	answersByOutcome counts
	unservedByCause  counts // answers with a cause, by outcome and cause
	startsByAgent    map[string]float64
	latencies        map[int][]float64  // of answers, in ms, by second
	waitingTasks     map[string][]point // by entry, at answers with a cause
	configuration    map[string][]point // by process
	omittedLines     float64
}

// newLogSeries returns the time series of lines, which must be sorted by clock. Jobs
// and answers whose lines were omitted from the logs are counted in the second in
// which the omission was reported.
func newLogSeries(lines []explainer.Line) *logSeries {
	ls := &logSeries{
		arrivals: counts{}, answersByOutcome: counts{}, unservedByCause: counts{}, startsByAgent: map[string]float64{}, latencies: map[int][]float64{},
		waitingTasks: map[string][]point{}, configuration: map[string][]point{},
	}
	for i := range lines {
		l := &lines[i]
		at := float64(l.Clock-lines[0].Clock) / microsPerSecond
		ls.lastSecond = max(ls.lastSecond, int(at))
		ls.add(l, at)
	}
	return ls
}

// add adds a line; at is its time in seconds since the first line.
func (ls *logSeries) add(l *explainer.Line, at float64) {
	second := int(at)
	switch l.Message {
	case explainer.MessageJobTaken:
		ls.arrivals.add("jobs", second, 1)
	case explainer.MessageTaskStarting:
		ls.startsByAgent[l.Process]++
	case explainer.MessageConfiguration:
		ls.configuration[l.Process] = append(ls.configuration[l.Process], point{at, float64(l.Configuration)})
	case explainer.MessageJobAnswered:
		ls.addAnswer(l, at)
	case explainer.MessageLinesOmitted:
		for message, n := range l.Omitted {
			ls.omittedLines += float64(n)
			switch message {
			case explainer.MessageJobTaken:
				ls.arrivals.add("jobs", second, float64(n))
			case explainer.MessageJobAnswered:
				ls.answersByOutcome.add("omitted from logs", second, float64(n))
			}
		}
	}
}

// addAnswer adds the line of an answer; at is its time in seconds since the first
// line.
func (ls *logSeries) addAnswer(l *explainer.Line, at float64) {
	second := int(at)
	ls.answersByOutcome.add(l.Outcome, second, 1)
	ls.latencies[second] = append(ls.latencies[second], float64(l.TookMillis))
	if l.Cause == "" {
		return
	}
	ls.unservedByCause.add(l.Outcome+": "+l.Cause, second, 1)
	ls.waitingTasks[l.Process] = append(ls.waitingTasks[l.Process], point{at, float64(l.WaitingTasks)})
}

// latencyCurves returns the median and the 99th percentile of the answers'
// latencies by second.
func (ls *logSeries) latencyCurves() []curve {
	medianCurve, tailCurve := curve{name: "median"}, curve{name: "99th percentile"}
	for _, s := range slices.Sorted(maps.Keys(ls.latencies)) {
		list := ls.latencies[s]
		slices.Sort(list)
		medianCurve.points = append(medianCurve.points, point{float64(s), quantile(list, medianQuantile)})
		tailCurve.points = append(tailCurve.points, point{float64(s), quantile(list, tailQuantile)})
	}
	return []curve{medianCurve, tailCurve}
}

// curvesByName returns a curve for each name, sorted by name.
func curvesByName(m map[string][]point) []curve {
	var list []curve
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, curve{name, m[name]})
	}
	return list
}

// bar is a named value, for a bar chart or a table.
type bar struct {
	Name  string
	Value float64
}

// sortedBars returns the values as bars, sorted by descending value.
func sortedBars(m map[string]float64) []bar {
	var list []bar
	for name, v := range m {
		list = append(list, bar{name, v})
	}
	slices.SortFunc(list, func(a, b bar) int { return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Name, b.Name)) })
	return list
}
