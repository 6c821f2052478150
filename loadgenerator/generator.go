package loadgenerator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxInFlight       = 20_000                                     // unanswered jobs; further jobs are counted as skipped
	maxMicros         = int64(10 * time.Minute / time.Microsecond) // longest latency recorded
	significantDigits = 3                                          // of recorded latencies
	microsPerMilli    = 1000.0
	seedStream        = 1 << 32 // random number stream, separate from other uses of the seed
)

// Job is one job of a plan.
type Job struct {
	Kind       *Kind
	Number     uint64
	Entry      string // address of the entry to try first
	Tasks      int
	WorkMillis int  // work of each task, in ms
	Fails      bool // its tasks fail
}

// Outcome is the final state of a job as its caller sees it.
type Outcome string

// Outcomes.
const (
	OutcomeCompleted  Outcome = "completed"
	OutcomeFailed     Outcome = "failed"
	OutcomeRefused    Outcome = "refused"    // refused on every try: it has not run
	OutcomeUnanswered Outcome = "unanswered" // no final answer: it may have run
)

// Generator submits the jobs of a Plan.
type Generator struct {
	Plan *Plan
	// Submit submits one job as a caller would, with retries, until it has a
	// final answer or ctx is done. The deadline of ctx is the caller's. The
	// result attempts is the number of times the job was sent.
	Submit func(ctx context.Context, j Job) (o Outcome, attempts int)
}

// Result holds the outcomes and latencies of one kind of jobs. Latencies are
// measured from the first try to the final answer, in milliseconds.
type Result struct {
	Kind       string  `json:"kind"`
	Submitted  int     `json:"asked"`
	Completed  int     `json:"completed"`
	Failed     int     `json:"failed"`
	Refused    int     `json:"refused"`
	Unanswered int     `json:"unanswered"`
	Skipped    int     `json:"skipped"` // not sent, since maxInFlight jobs were unanswered
	InTime     int     `json:"in-time"` // final answers within the kind's DueMillis
	Attempts   int     `json:"tries"`
	Median     float64 `json:"median-ms"`
	P90        float64 `json:"p90-ms"`
	P99        float64 `json:"p99-ms"`
	Max        float64 `json:"max-ms"`

	latencies *hdrhistogram.Histogram
}

// run is the state of one call of Generator.Run.
type run struct {
	*Generator
	mu       sync.Mutex
	results  []Result
	inFlight int
	jobs     sync.WaitGroup
}

// Run executes the plan, waits for the last answer and returns a result for each
// kind. It ends early when ctx is done.
func (g *Generator) Run(ctx context.Context) []Result {
	r := &run{Generator: g, results: make([]Result, len(g.Plan.Kinds))}
	var arrivals sync.WaitGroup
	for i := range g.Plan.Kinds {
		r.results[i] = Result{Kind: g.Plan.Kinds[i].Name, latencies: hdrhistogram.New(1, maxMicros, significantDigits)}
		arrivals.Go(func() { r.generateArrivals(ctx, i) })
	}
	arrivals.Wait()
	r.jobs.Wait()
	for i := range r.results {
		r.results[i].computePercentiles()
	}
	return r.results
}

// generateArrivals submits the jobs of one kind at the times of a Poisson process,
// as independent callers would.
func (r *run) generateArrivals(ctx context.Context, i int) {
	k := &r.Plan.Kinds[i]
	rng := rand.New(rand.NewPCG(uint64(r.Plan.Seed), seedStream+uint64(i)))
	start := time.Now()
	arrival := 0.0
	for n := uint64(0); ; n++ {
		arrival += rng.ExpFloat64() / (k.Rate * r.Plan.rateFactor(arrival))
		if arrival >= r.Plan.Seconds {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(arrival * float64(time.Second))))):
		}
		j := Job{
			Kind: k, Number: uint64(i)<<48 | uint64(r.Plan.Seed)<<32&(1<<48-1) | n, Entry: r.Plan.Entries[rng.IntN(len(r.Plan.Entries))],
			Tasks: k.Tasks.sample(rng), WorkMillis: k.WorkMillis.sample(rng), Fails: rng.Float64() < k.FailureRate,
		}
		r.startJob(ctx, i, j)
	}
}

func (r Range) sample(rng *rand.Rand) int { return r.Min + rng.IntN(r.Max-r.Min+1) }

// startJob submits a job on its own goroutine.
func (r *run) startJob(ctx context.Context, i int, j Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= maxInFlight {
		r.results[i].Skipped++
		return
	}
	r.inFlight++
	r.results[i].Submitted++
	r.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(j.Kind.DeadlineMillis)*time.Millisecond)
		defer cancel()
		start := time.Now()
		outcome, attempts := r.Submit(ctx, j)
		elapsed := time.Since(start)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight--
		r.results[i].record(j.Kind, outcome, attempts, elapsed)
	})
}

// record counts a job, and its latency if it has a final answer.
func (r *Result) record(k *Kind, outcome Outcome, attempts int, elapsed time.Duration) {
	r.Attempts += attempts
	switch outcome {
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
	if k.DueMillis == 0 || elapsed <= time.Duration(k.DueMillis)*time.Millisecond {
		r.InTime++
	}
	if r.latencies.RecordValue(max(elapsed.Microseconds(), 1)) != nil {
		r.latencies.RecordValue(maxMicros) // above maxMicros, which exceeds usual deadlines; counted as maxMicros
	}
}

// computePercentiles sets the percentiles and the maximum of the latencies.
func (r *Result) computePercentiles() {
	percentileMillis := func(percentile float64) float64 {
		return float64(r.latencies.ValueAtQuantile(percentile)) / microsPerMilli
	}
	r.Median, r.P90, r.P99, r.Max = percentileMillis(50), percentileMillis(90), percentileMillis(99), float64(r.latencies.Max())/microsPerMilli
}
