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
		Name: "load", Usage: "submit jobs to a running system as a plan says, and measure what becomes of them", ArgsUsage: "PLAN",
		Description: "Kinds with a service come by the product's own interface, those with a host and a\n" +
			"prefix as callers of the users' platform do. The work is for stand-ins of backend\n" +
			"servers and executors (platform-standin). examples/load.json is a plan.",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry, in place of the plan's; may be repeated"},
			&cli.FloatFlag{Name: "seconds", Usage: "length, in place of the plan's"},
		},
		Action: load,
	}
}

// loadConnections is how many idle connections are kept to each entry: jobs of
// a plan rarely have more on their way.
const loadConnections = 256

func load(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("expected one plan", exitUsage)
	}
	name := c.Args().First()
	text, err := os.ReadFile(name)
	if err != nil {
		return fail(err, exitUsage)
	}
	p, err := loadgenerator.Parse(name, text)
	if err != nil {
		return fail(err, exitUsage)
	}
	if entries := c.StringSlice("entry"); len(entries) > 0 {
		p.Entries = entries
	}
	if s := c.Float("seconds"); s > 0 {
		p.Seconds = s
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := newSender(p)
	l := loadgenerator.Generator{Plan: p, Submit: s.submit}
	results := l.Run(ctx)
	if wantsJSON(c) {
		return printJSON(results)
	}
	printResults(results)
	return nil
}

// sender submits jobs by either interface.
type sender struct {
	plan    *loadgenerator.Plan
	http    *http.Client
	tickets *submitter.Client
	start   uint64 // sets the ids of this run apart from those of others
}

func newSender(p *loadgenerator.Plan) *sender {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections}}
	var bases []string
	for _, e := range p.Entries {
		bases = append(bases, "http://"+e)
	}
	return &sender{plan: p, http: h, tickets: &submitter.Client{Entries: bases, HTTP: h}, start: rand.Uint64()}
}

func (s *sender) submit(ctx context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
	if j.Kind.Service != "" {
		return s.submitTicket(ctx, j)
	}
	return s.submitDirect(ctx, j)
}

// submitTicket has the job done by the product's own interface, whose client
// sends it again by itself.
func (s *sender) submitTicket(ctx context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
	var in caller.Submission
	for i := range j.Tasks {
		w := standin.Work{ID: fmt.Sprintf("%d-%d", j.Number, i), Millis: j.Millis}
		if j.Fails {
			w.Status = http.StatusInternalServerError
		}
		body, err := json.Marshal(w)
		if err != nil {
			return loadgenerator.OutcomeRefused, 0
		}
		in.Tasks = append(in.Tasks, caller.Task{Body: body})
	}
	a, err := s.tickets.Submit(ctx, j.Kind.Service, "", in)
	switch {
	case err != nil:
		return loadgenerator.OutcomeUnanswered, 1
	case a.State == caller.StateComplete:
		return loadgenerator.OutcomeCompleted, 1
	}
	return loadgenerator.OutcomeFailed, 1
}

// submitDirect has the job done as callers of the platform do: sent again at any
// entry until there is a final answer.
func (s *sender) submitDirect(ctx context.Context, j loadgenerator.Job) (loadgenerator.Outcome, int) {
	id := platform.JobID(s.start + j.Number)
	body := platform.Job(j.Tasks, platform.Work{Millis: j.Millis, CPU: j.Kind.CPU, Fail: j.Fails})
	entry, may := j.Entry, false
	for tries := 1; ; tries++ {
		end, _ := ctx.Deadline()
		a := platform.Submit(ctx, s.http, entry, j.Kind.Host, j.Kind.Prefix, id, body, time.Until(end))
		switch {
		case a.Completed():
			return loadgenerator.OutcomeCompleted, tries
		case a.Failed():
			return loadgenerator.OutcomeFailed, tries
		}
		may = may || a.MayHaveRun()
		select {
		case <-time.After(a.Again()):
			entry = s.plan.Entries[rand.IntN(len(s.plan.Entries))]
		case <-ctx.Done():
			if may {
				return loadgenerator.OutcomeUnanswered, tries
			}
			return loadgenerator.OutcomeRefused, tries
		}
	}
}

func printResults(results []loadgenerator.Result) {
	fmt.Printf("%-16s %8s %10s %8s %8s %11s %8s %8s %10s %10s %10s %10s\n",
		"kind", "asked", "completed", "failed", "refused", "unanswered", "in time", "tries", "median ms", "p90 ms", "p99 ms", "max ms")
	for _, r := range results {
		fmt.Printf("%-16s %8d %10d %8d %8d %11d %8d %8d %10.1f %10.1f %10.1f %10.1f\n",
			r.Kind, r.Submitted, r.Completed, r.Failed, r.Refused, r.Unanswered, r.InTime, r.Tries, r.Median, r.Ninety, r.Tail, r.Most)
		if r.Skipped > 0 {
			fmt.Printf("  %d more were not sent, since too many were on their way\n", r.Skipped)
		}
	}
}
