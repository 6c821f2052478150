package loadgenerator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxWaiting   = 20_000 // jobs on their way; more are counted as skipped
	maxMicros    = int64(10 * time.Minute / time.Microsecond)
	figures      = 3       // significant figures of a time
	microsMillis = 1000.0  // in a millisecond
	seedStream   = 1 << 32 // of the random numbers, apart from other uses of a seed
)

// Job is one job of a plan.
type Job struct {
	Kind   *Kind
	Number uint64
	Entry  string // address to send it to first
	Tasks  int
	Millis int // work of each task
	Fails  bool
}

// Outcome is what became of a job.
type Outcome string

// Outcomes.
const (
	OutcomeCompleted  Outcome = "completed"
	OutcomeFailed     Outcome = "failed"
	OutcomeRefused    Outcome = "refused"    // to the end: it has not run
	OutcomeUnanswered Outcome = "unanswered" // it may have run
)

// Generator submits the jobs of a Plan.
type Generator struct {
	Plan *Plan
	// Submit has one job done as a caller would, until it has a final answer or
	// ctx, which ends with the caller's patience, is done. Tries counts how often
	// it was sent.
	Submit func(ctx context.Context, j Job) (o Outcome, tries int)
}

// Result is what was seen of a kind of jobs. Times are of final answers, from
// the first try, in milliseconds.
type Result struct {
	Kind       string  `json:"kind"`
	Submitted  int     `json:"asked"`
	Completed  int     `json:"completed"`
	Failed     int     `json:"failed"`
	Refused    int     `json:"refused"`
	Unanswered int     `json:"unanswered"`
	Skipped    int     `json:"skipped"` // not sent, since too many were on their way
	InTime     int     `json:"in-time"`
	Tries      int     `json:"tries"`
	Median     float64 `json:"median-ms"`
	Ninety     float64 `json:"p90-ms"`
	Tail       float64 `json:"p99-ms"`
	Most       float64 `json:"max-ms"`

	times *hdrhistogram.Histogram
}

// run is a run of a Loader.
type run struct {
	*Generator
	mu      sync.Mutex
	results []Result
	waiting int
	jobs    sync.WaitGroup
}

// Run plays the plan, waits for the last answer, and returns a result for each
// kind. It ends sooner when ctx does.
func (l *Generator) Run(ctx context.Context) []Result {
	r := &run{Generator: l, results: make([]Result, len(l.Plan.Kinds))}
	var arrivals sync.WaitGroup
	for i := range l.Plan.Kinds {
		r.results[i] = Result{Kind: l.Plan.Kinds[i].Name, times: hdrhistogram.New(1, maxMicros, figures)}
		arrivals.Go(func() { r.arrive(ctx, i) })
	}
	arrivals.Wait()
	r.jobs.Wait()
	for i := range r.results {
		r.results[i].settle()
	}
	return r.results
}

// arrive has the jobs of a kind arrive as those of independent callers do.
func (r *run) arrive(ctx context.Context, i int) {
	k := &r.Plan.Kinds[i]
	x := rand.New(rand.NewPCG(uint64(r.Plan.Seed), seedStream+uint64(i)))
	begin := time.Now()
	at := 0.0
	for n := uint64(0); ; n++ {
		at += x.ExpFloat64() / (k.Rate * r.Plan.rateAt(at))
		if at >= r.Plan.Seconds {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(time.Duration(at * float64(time.Second))))):
		}
		j := Job{
			Kind: k, Number: uint64(i)<<48 | uint64(r.Plan.Seed)<<32&(1<<48-1) | n, Entry: r.Plan.Entries[x.IntN(len(r.Plan.Entries))],
			Tasks: k.Tasks.draw(x), Millis: k.WorkMillis.draw(x), Fails: x.Float64() < k.Fails,
		}
		r.send(ctx, i, j)
	}
}

func (r Range) draw(x *rand.Rand) int { return r.Least + x.IntN(r.Most-r.Least+1) }

// send submits a job on a goroutine of its own.
func (r *run) send(ctx context.Context, i int, j Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting >= maxWaiting {
		r.results[i].Skipped++
		return
	}
	r.waiting++
	r.results[i].Submitted++
	r.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(j.Kind.DeadlineMillis)*time.Millisecond)
		defer cancel()
		begin := time.Now()
		o, tries := r.Submit(ctx, j)
		took := time.Since(begin)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.waiting--
		r.results[i].add(j.Kind, o, tries, took)
	})
}

// add counts a job.
func (r *Result) add(k *Kind, o Outcome, tries int, took time.Duration) {
	r.Tries += tries
	switch o {
	case OutcomeCompleted:
		r.Completed++
	case OutcomeFailed:
		r.Failed++
	case OutcomeRefused:
		r.Refused++
		return
	default:
		r.Unanswered++
		return
	}
	if k.DueMillis == 0 || took <= time.Duration(k.DueMillis)*time.Millisecond {
		r.InTime++
	}
	if r.times.RecordValue(max(took.Microseconds(), 1)) != nil {
		r.times.RecordValue(maxMicros) // longer than any deadline allows
	}
}

// settle takes the percentiles.
func (r *Result) settle() {
	at := func(percent float64) float64 { return float64(r.times.ValueAtQuantile(percent)) / microsMillis }
	r.Median, r.Ninety, r.Tail, r.Most = at(50), at(90), at(99), float64(r.times.Max())/microsMillis
}
