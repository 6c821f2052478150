package loadgenerator

import (
	"strconv"

	"mustardlever.dev/mustardlever/configurer"
)

// Range is a span of whole numbers, each as likely as the others.
type Range struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// Burst multiplies all rates for a while.
type Burst struct {
	AtSeconds  float64 `json:"at-s"`
	ForSeconds float64 `json:"for-s"`
	Times      float64 `json:"times"`
}

// Kind is one kind of jobs. Host and Prefix are those of a route on the users'
// platform, Service is that of the product's own interface.
type Kind struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	Prefix         string  `json:"prefix"`
	Service        string  `json:"service"`
	Rate           float64 `json:"rate"` // jobs a second
	Tasks          Range   `json:"tasks"`
	WorkMillis     Range   `json:"work-ms"`     // of each task of a job
	CPU            int     `json:"cpu"`         // of each task, thousandths of a core
	Fails          float64 `json:"fails"`       // part of the jobs whose tasks fail
	DeadlineMillis int     `json:"deadline-ms"` // how long a caller waits; default 10000
	DueMillis      int     `json:"due-ms"`      // answers within it are in time; default: all are
}

// Plan says what to submit.
type Plan struct {
	Seconds float64  `json:"seconds"`
	Seed    int      `json:"seed"` // of arrivals and sizes
	Entries []string `json:"entries"`
	Bursts  []Burst  `json:"bursts"`
	Kinds   []Kind   `json:"kinds"`
}

// Limits of a plan.
const (
	MaxTasks              = 270
	defaultDeadlineMillis = 10_000
)

// Parse reads a plan, JSON with comments. Its error lists all mistakes by line
// and column.
func Parse(name string, text []byte) (*Plan, error) {
	p := new(Plan)
	if err := configurer.Decode(name, text, p, p.examine); err != nil {
		return nil, err
	}
	for i := range p.Kinds {
		if p.Kinds[i].DeadlineMillis == 0 {
			p.Kinds[i].DeadlineMillis = defaultDeadlineMillis
		}
	}
	return p, nil
}

func (p *Plan) examine(reject func(path, format string, args ...any)) {
	if p.Seconds <= 0 {
		reject("seconds", "found %g, expected more than 0", p.Seconds)
	}
	if len(p.Entries) == 0 {
		reject("entries", "expected the address of an entry")
	}
	if len(p.Kinds) == 0 {
		reject("kinds", "expected a kind of jobs")
	}
	for i, b := range p.Bursts {
		if b.AtSeconds < 0 || b.ForSeconds <= 0 || b.Times <= 0 {
			reject("bursts/"+strconv.Itoa(i), "expected at-s of 0 or more, for-s and times above 0")
		}
	}
	for i := range p.Kinds {
		p.Kinds[i].examine("kinds/"+strconv.Itoa(i), reject)
	}
}

func (k *Kind) examine(path string, reject func(path, format string, args ...any)) {
	if k.Name == "" {
		reject(path+"/name", "expected a name")
	}
	if k.Service == "" && (k.Host == "" || k.Prefix == "") {
		reject(path, "expected a service, or a host and a prefix")
	}
	if k.Rate <= 0 {
		reject(path+"/rate", "found %g, expected more than 0", k.Rate)
	}
	k.Tasks.examine(path+"/tasks", 1, MaxTasks, reject)
	k.WorkMillis.examine(path+"/work-ms", 0, 1<<30, reject)
	if k.Fails < 0 || k.Fails > 1 {
		reject(path+"/fails", "found %g, expected 0 to 1", k.Fails)
	}
	if k.CPU < 0 || k.DeadlineMillis < 0 || k.DueMillis < 0 {
		reject(path, "a number is negative")
	}
}

func (r Range) examine(path string, least, most int, reject func(path, format string, args ...any)) {
	if r.Least < least || r.Most > most || r.Least > r.Most {
		reject(path, "found %d to %d, expected a span within %d to %d", r.Least, r.Most, least, most)
	}
}

// rateAt returns by how much rates are multiplied at a time.
func (p *Plan) rateAt(seconds float64) float64 {
	times := 1.0
	for _, b := range p.Bursts {
		if seconds >= b.AtSeconds && seconds < b.AtSeconds+b.ForSeconds {
			times *= b.Times
		}
	}
	return times
}
