package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/loadgenerator"
	platform "mustardlever.dev/mustardlever/platform/standin"
	"mustardlever.dev/mustardlever/submitter"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "submit jobs to a running system according to a plan, and measure outcomes and latencies", ArgsUsage: "PLAN",
		Description: "Job kinds with a service are submitted through mustardlever's own HTTP API,\n" +
			"those with a host and a prefix as callers of the platform submit them. The tasks\n" +
			"are for stand-in backend servers and executors (platform-standin).\nexamples/load.json is an example.",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry, overrides the plan's entries; may be repeated"},
			&cli.FloatFlag{Name: "seconds", Usage: "duration in seconds, overrides the plan's"},
		},
		Action: load,
	}
}

// maxIdleConnections is the maximum number of idle connections to each entry. A
// plan rarely has more jobs in flight.
const maxIdleConnections = 256

func load(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("expected one plan file", exitUsage)
	}
	name := c.Args().First()
	text, err := os.ReadFile(name)
	if err != nil {
		return withExitCode(err, exitUsage)
	}
	plan, err := loadgenerator.Parse(name, text)
	if err != nil {
		return withExitCode(err, exitUsage)
	}
	if entries := c.StringSlice("entry"); len(entries) > 0 {
		plan.Entries = entries
	}
	if s := c.Float("seconds"); s > 0 {
		plan.Seconds = s
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := newSender(plan)
	generator := loadgenerator.Generator{Plan: plan, Submit: s.submit}
	results := generator.Run(ctx)
	if wantsJSON(c) {
		return printJSON(results)
	}
	printResults(results)
	return nil
}

// sender submits jobs through mustardlever's own HTTP API or the platform's.
type sender struct {
	plan         *loadgenerator.Plan
	httpClient   *http.Client
	ticketClient *submitter.Client
	jobIDBase    uint64 // random, so that the job ids of two runs differ
}

func newSender(plan *loadgenerator.Plan) *sender {
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	var baseURLs []string
	for _, e := range plan.Entries {
		baseURLs = append(baseURLs, "http://"+e)
	}
	return &sender{plan: plan, httpClient: httpClient, ticketClient: &submitter.Client{Entries: baseURLs, HTTP: httpClient}, jobIDBase: rand.Uint64()}
}

func (s *sender) submit(ctx context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
	if j.Kind.Service != "" {
		return s.submitTicket(ctx, j)
	}
	return s.submitSync(ctx, j)
}

// submitTicket submits the job under a ticket through mustardlever's own HTTP API.
// The client retries on its own; its retries count as one try.
func (s *sender) submitTicket(ctx context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
	var request caller.Submission
	for i := range j.Tasks {
		work := standin.Work{ID: fmt.Sprintf("%d-%d", j.Number, i), DurationMillis: j.WorkMillis}
		if j.Fails {
			work.Status = http.StatusInternalServerError
		}
		body, err := json.Marshal(work)
		if err != nil {
			return loadgenerator.OutcomeRefused, 0
		}
		request.Tasks = append(request.Tasks, caller.Task{Body: body})
	}
	answer, err := s.ticketClient.Submit(ctx, j.Kind.Service, "", request)
	switch {
	case err != nil:
		return loadgenerator.OutcomeUnanswered, 1
	case answer.State == caller.StateComplete:
		return loadgenerator.OutcomeCompleted, 1
	}
	return loadgenerator.OutcomeFailed, 1
}

// submitSync submits the job as callers of the platform do: it resends the job to a
// random entry until it gets a final answer or ctx ends.
func (s *sender) submitSync(ctx context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
	id := platform.JobID(s.jobIDBase + j.Number)
	body := platform.Job(j.Tasks, platform.Work{DurationMillis: j.WorkMillis, Millicores: j.Kind.CPU, Fail: j.Fails})
	entry, mayHaveRun := j.Entry, false
	for attempts := 1; ; attempts++ {
		deadline, _ := ctx.Deadline()
		answer := platform.Submit(ctx, s.httpClient, entry, j.Kind.Host, j.Kind.Prefix, id, body, time.Until(deadline))
		switch {
		case answer.Completed():
			return loadgenerator.OutcomeCompleted, attempts
		case answer.Failed():
			return loadgenerator.OutcomeFailed, attempts
		}
		mayHaveRun = mayHaveRun || answer.MayHaveRun()
		select {
		case <-time.After(answer.ResendDelay()):
			entry = s.plan.Entries[rand.IntN(len(s.plan.Entries))]
		case <-ctx.Done():
			if mayHaveRun {
				return loadgenerator.OutcomeUnanswered, attempts
			}
			return loadgenerator.OutcomeRefused, attempts
		}
	}
}

func printResults(results []loadgenerator.Result) {
	fmt.Printf("%-16s %8s %10s %8s %8s %11s %8s %8s %10s %10s %10s %10s\n",
		"kind", "asked", "completed", "failed", "refused", "unanswered", "in time", "tries", "median ms", "p90 ms", "p99 ms", "max ms")
	for _, r := range results {
		fmt.Printf("%-16s %8d %10d %8d %8d %11d %8d %8d %10.1f %10.1f %10.1f %10.1f\n",
			r.Kind, r.Submitted, r.Completed, r.Failed, r.Refused, r.Unanswered, r.InTime, r.Attempts, r.Median, r.P90, r.P99, r.Max)
		if r.Skipped > 0 {
			fmt.Printf("  %d more were not sent because too many jobs were in flight\n", r.Skipped)
		}
	}
}
