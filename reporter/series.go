package reporter

import (
	"cmp"
	"maps"
	"slices"

	"mustardlever.dev/mustardlever/explainer"
)

const (
	microsPerSecond = 1e6
	median, tail    = 0.5, 0.99
)

// point is a value at a time in seconds from the first line.
type point struct{ at, value float64 }

// curve is a named line of a plot.
type curve struct {
	name   string
	points []point
}

// counts are numbers of events by name and second.
type counts map[string]map[int]float64

func (c counts) add(name string, second int, n float64) {
	if c[name] == nil {
		c[name] = make(map[int]float64)
	}
	c[name][second] += n
}

// curves returns a curve for each name, with a point for each second up to last.
func (c counts) curves(last int) []curve {
	var list []curve
	for _, name := range slices.Sorted(maps.Keys(c)) {
		x := curve{name: name}
		for s := range last + 1 {
			x.points = append(x.points, point{float64(s), c[name][s]})
		}
		list = append(list, x)
	}
	return list
}

// day is what a log tells, by second from its first line.
type day struct {
	last          int // second of the last line
	arrivals      counts
	answers       counts // by outcome
	refusals      counts // by cause, of what was not served
	starts        map[string]float64
	took          map[int][]float64
	waiting       map[string][]point // by entry, when a job was not served
	configuration map[string][]point // by process
	omitted       float64
}

// newDay reads the series of a log that is in order. Lines that processes left
// out count for arrivals and answers, in the second after which they were told.
func newDay(lines []explainer.Line) *day {
	d := &day{
		arrivals: counts{}, answers: counts{}, refusals: counts{}, starts: map[string]float64{}, took: map[int][]float64{},
		waiting: map[string][]point{}, configuration: map[string][]point{},
	}
	for i := range lines {
		l := &lines[i]
		at := float64(l.Clock-lines[0].Clock) / microsPerSecond
		d.last = max(d.last, int(at))
		d.take(l, at)
	}
	return d
}

func (d *day) take(l *explainer.Line, at float64) {
	second := int(at)
	switch l.Message {
	case explainer.MessageJobTaken:
		d.arrivals.add("jobs", second, 1)
	case explainer.MessageTaskStarting:
		d.starts[l.Process]++
	case explainer.MessageConfiguration:
		d.configuration[l.Process] = append(d.configuration[l.Process], point{at, float64(l.Configuration)})
	case explainer.MessageJobAnswered:
		d.takeAnswer(l, at)
	case explainer.MessageLinesOmitted:
		for message, n := range l.Omitted {
			d.omitted += float64(n)
			switch message {
			case explainer.MessageJobTaken:
				d.arrivals.add("jobs", second, float64(n))
			case explainer.MessageJobAnswered:
				d.answers.add("left out of logs", second, float64(n))
			}
		}
	}
}

func (d *day) takeAnswer(l *explainer.Line, at float64) {
	second := int(at)
	d.answers.add(l.Outcome, second, 1)
	d.took[second] = append(d.took[second], float64(l.TookMillis))
	if l.Cause == "" {
		return
	}
	d.refusals.add(l.Outcome+": "+l.Cause, second, 1)
	d.waiting[l.Process] = append(d.waiting[l.Process], point{at, float64(l.WaitingTasks)})
}

// times returns the median and the 99th percentile of the answers' times.
func (d *day) times() []curve {
	half, most := curve{name: "median"}, curve{name: "99th percentile"}
	for _, s := range slices.Sorted(maps.Keys(d.took)) {
		list := d.took[s]
		slices.Sort(list)
		half.points = append(half.points, point{float64(s), quantile(list, median)})
		most.points = append(most.points, point{float64(s), quantile(list, tail)})
	}
	return []curve{half, most}
}

// named returns a curve for each name, in their order.
func named(m map[string][]point) []curve {
	var list []curve
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, curve{name, m[name]})
	}
	return list
}

// bar is a named amount.
type bar struct {
	Name  string
	Value float64
}

// bars returns amounts, the largest first.
func bars(m map[string]float64) []bar {
	var list []bar
	for name, v := range m {
		list = append(list, bar{name, v})
	}
	slices.SortFunc(list, func(a, b bar) int { return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Name, b.Name)) })
	return list
}
