package loadgenerator

import (
	"strconv"

	"mustardlever.dev/mustardlever/configurer"
)

// Range is an inclusive range of integers with a uniform distribution.
type Range struct {
	Min int `json:"least"`
	Max int `json:"most"`
}

// Burst multiplies all rates by Factor during a time interval.
type Burst struct {
	StartSeconds    float64 `json:"at-s"`
	DurationSeconds float64 `json:"for-s"`
	Factor          float64 `json:"times"`
}

// Kind is one kind of jobs. Host and Prefix name a route on the users' platform.
// Service names a service of mustardlever's own HTTP API.
type Kind struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	Prefix         string  `json:"prefix"`
	Service        string  `json:"service"`
	Rate           float64 `json:"rate"` // jobs per second
	Tasks          Range   `json:"tasks"`
	WorkMillis     Range   `json:"work-ms"`     // of each task of a job
	CPU            int     `json:"cpu"`         // of each task, in millicores
	FailureRate    float64 `json:"fails"`       // fraction of jobs whose tasks fail
	DeadlineMillis int     `json:"deadline-ms"` // how long the caller of a job waits; default 10000
	DueMillis      int     `json:"due-ms"`      // an answer within this time is in time; default: every answer is
}

// Plan describes the load to generate.
type Plan struct {
	Seconds float64  `json:"seconds"`
	Seed    int      `json:"seed"` // of arrivals, sizes and failures
	Entries []string `json:"entries"`
	Bursts  []Burst  `json:"bursts"`
	Kinds   []Kind   `json:"kinds"`
}

// Limits of a plan.
const (
	MaxTasks              = 270 // tasks of a job
	defaultDeadlineMillis = 10_000
)

// Parse parses a plan, which is JSON with comments. Its error lists all mistakes
// with line and column.
func Parse(name string, text []byte) (*Plan, error) {
	p := new(Plan)
	if err := configurer.Decode(name, text, p, p.validate); err != nil {
		return nil, err
	}
	for i := range p.Kinds {
		if p.Kinds[i].DeadlineMillis == 0 {
			p.Kinds[i].DeadlineMillis = defaultDeadlineMillis
		}
	}
	return p, nil
}

func (p *Plan) validate(reject func(path, format string, args ...any)) {
	if p.Seconds <= 0 {
		reject("seconds", "found %g, expected more than 0", p.Seconds)
	}
	if len(p.Entries) == 0 {
		reject("entries", "expected at least one entry address")
	}
	if len(p.Kinds) == 0 {
		reject("kinds", "expected at least one kind of jobs")
	}
	for i, b := range p.Bursts {
		if b.StartSeconds < 0 || b.DurationSeconds <= 0 || b.Factor <= 0 {
			reject("bursts/"+strconv.Itoa(i), "expected at-s of 0 or more, for-s and times above 0")
		}
	}
	for i := range p.Kinds {
		p.Kinds[i].validate("kinds/"+strconv.Itoa(i), reject)
	}
}

func (k *Kind) validate(path string, reject func(path, format string, args ...any)) {
	if k.Name == "" {
		reject(path+"/name", "expected a name")
	}
	if k.Service == "" && (k.Host == "" || k.Prefix == "") {
		reject(path, "expected a service, or a host and a prefix")
	}
	if k.Rate <= 0 {
		reject(path+"/rate", "found %g, expected more than 0", k.Rate)
	}
	k.Tasks.validate(path+"/tasks", 1, MaxTasks, reject)
	k.WorkMillis.validate(path+"/work-ms", 0, 1<<30, reject)
	if k.FailureRate < 0 || k.FailureRate > 1 {
		reject(path+"/fails", "found %g, expected 0 to 1", k.FailureRate)
	}
	if k.CPU < 0 || k.DeadlineMillis < 0 || k.DueMillis < 0 {
		reject(path, "cpu, deadline-ms and due-ms must not be negative")
	}
}

func (r Range) validate(path string, lower, upper int, reject func(path, format string, args ...any)) {
	if r.Min < lower || r.Max > upper || r.Min > r.Max {
		reject(path, "found %d to %d, expected a range within %d to %d", r.Min, r.Max, lower, upper)
	}
}

// rateFactor returns the factor by which bursts multiply all rates at a time, in
// seconds since the start.
func (p *Plan) rateFactor(seconds float64) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if seconds >= b.StartSeconds && seconds < b.StartSeconds+b.DurationSeconds {
			factor *= b.Factor
		}
	}
	return factor
}
