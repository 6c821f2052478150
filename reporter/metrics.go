package reporter

import (
	"io"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics holds the counters and gauges of several processes, summed by name and
// labels. The zero value is empty.
type Metrics struct {
	Pages int                // metrics pages read
	sums  map[string]float64 // by name and labels
}

// Read adds the metrics page of one process, in the Prometheus text format.
func (m *Metrics) Read(r io.Reader) error {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(r)
	if err != nil {
		return &Error{Op: "read metrics", Kind: KindMetrics, Err: err}
	}
	if m.sums == nil {
		m.sums = make(map[string]float64)
	}
	m.Pages++
	for name, f := range families {
		for _, series := range f.GetMetric() {
			if v, ok := value(series); ok {
				m.sums[name+labels(series)] += v
			}
		}
	}
	return nil
}

// value returns the value of a counter, gauge or untyped series. It returns false
// for other types, such as histograms.
func value(series *dto.Metric) (float64, bool) {
	switch {
	case series.Counter != nil:
		return series.Counter.GetValue(), true
	case series.Gauge != nil:
		return series.Gauge.GetValue(), true
	case series.Untyped != nil:
		return series.Untyped.GetValue(), true
	}
	return 0, false
}

func labels(series *dto.Metric) string {
	var list []string
	for _, l := range series.GetLabel() {
		list = append(list, l.GetName()+"="+l.GetValue())
	}
	if len(list) == 0 {
		return ""
	}
	return " {" + strings.Join(list, ", ") + "}"
}

// largestSeries returns the series that are not zero, except histogram buckets,
// sorted by descending value.
func (m *Metrics) largestSeries() []bar {
	kept := make(map[string]float64)
	for name, v := range m.sums {
		if v != 0 && !strings.Contains(name, "_bucket") {
			kept[name] = v
		}
	}
	return sortedBars(kept)
}
