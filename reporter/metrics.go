package reporter

import (
	"io"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics are counters and gauges summed over the pages of processes, by name
// with labels. The zero value has none.
type Metrics struct {
	Pages int
	sums  map[string]float64
}

// Read adds one process's page in the text format.
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
		for _, x := range f.GetMetric() {
			if v, ok := value(x); ok {
				m.sums[name+labels(x)] += v
			}
		}
	}
	return nil
}

// value returns a series' value. Histograms are counted elsewhere.
func value(x *dto.Metric) (float64, bool) {
	switch {
	case x.Counter != nil:
		return x.Counter.GetValue(), true
	case x.Gauge != nil:
		return x.Gauge.GetValue(), true
	case x.Untyped != nil:
		return x.Untyped.GetValue(), true
	}
	return 0, false
}

func labels(x *dto.Metric) string {
	var list []string
	for _, l := range x.GetLabel() {
		list = append(list, l.GetName()+"="+l.GetValue())
	}
	if len(list) == 0 {
		return ""
	}
	return " {" + strings.Join(list, ", ") + "}"
}

// table returns the series but the buckets of histograms, the largest first.
func (m *Metrics) table() []bar {
	kept := make(map[string]float64)
	for name, v := range m.sums {
		if v != 0 && !strings.Contains(name, "_bucket") {
			kept[name] = v
		}
	}
	return bars(kept)
}
