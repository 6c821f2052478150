package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/cluster"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/submitter"
)

const (
	readyTimeout   = 10 * time.Second
	readyInterval  = 10 * time.Millisecond
	demoTasks      = 24
	demoTaskMillis = 60
	maxShownTasks  = 4
)

func devFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "demo", Usage: "run one job through two entries, show its answer and timeline, then exit"},
		&cli.IntFlag{Name: "tasks", Usage: "number of tasks of the demo job, 1 to 270", Value: demoTasks},
		&cli.IntFlag{Name: "entries", Usage: "number of entries", Value: 2},
		&cli.IntFlag{Name: "memory-mb", Usage: "memory that the process may use, in `MiB`; default 184"},
		&cli.IntFlag{Name: "max-descriptors", Usage: "file descriptors that the process may open; default 4100"},
		&cli.IntFlag{Name: "agents", Usage: "number of agents, each with a stand-in backend server", Value: 3},
	}
}

// dev runs a small complete system in this process.
func dev(ctx context.Context, c *cli.Command) error {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if c.Bool("demo") {
		log.SetLevel(logrus.ErrorLevel)
	}
	budget := limiter.NewBudget(limiter.Settings{
		MemoryMiB: c.Int("memory-mb"), Descriptors: limiter.PermittedDescriptors(c.Int("max-descriptors")), KeepsJobs: true,
	})
	budget.Apply()
	system, err := cluster.Start(cluster.Settings{
		Entries: c.Int("entries"), Agents: c.Int("agents"), Log: logrus.NewEntry(log), Budget: budget,
	})
	if err != nil {
		return err
	}
	defer system.Stop()
	if err := awaitReady(system); err != nil {
		return err
	}
	for i, u := range system.URLs {
		fmt.Printf("entry %d serves callers at %s\n", i+1, u)
	}
	if c.Bool("demo") {
		return demo(ctx, system, c.Int("tasks"))
	}
	fmt.Println("try:  mustardctl submit --entry " + system.URLs[0] + " --service " + cluster.Service + " --tasks 12")
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func awaitReady(system *cluster.Cluster) error {
	end := time.Now().Add(readyTimeout)
	for !system.Ready() {
		if time.Now().After(end) {
			return fmt.Errorf("not every entry was ready within %s", readyTimeout)
		}
		time.Sleep(readyInterval)
	}
	return nil
}

// demo submits a job at the first entry and again, under the same ticket, at the
// last. It prints both answers, which should be the same, and how often each task
// was started, which should be once.
func demo(ctx context.Context, system *cluster.Cluster, tasks int) error {
	client := &submitter.Client{Entries: system.URLs[:1]}
	ticket, err := client.Ticket(ctx, cluster.Service)
	if err != nil {
		return err
	}
	body, err := json.Marshal(demoJob(tasks))
	if err != nil {
		return err
	}
	start := time.Now()
	answer, err := client.SubmitTicket(ctx, ticket, "demo-1", body)
	if err != nil {
		return err
	}
	fmt.Printf("\nentry 1 answered in %s: %s, %d tasks\n", time.Since(start).Round(time.Millisecond), answer.State, len(answer.Tasks))
	for _, t := range answer.Tasks[:min(maxShownTasks, len(answer.Tasks))] {
		fmt.Printf("  task %d %s at %s: %d %s\n", t.Task, t.State, t.Agent, t.Status, t.Body)
	}
	otherClient := &submitter.Client{Entries: system.URLs[len(system.URLs)-1:], HTTP: new(http.Client)}
	repeated, err := otherClient.SubmitTicket(ctx, ticket, "demo-2", body)
	if err != nil {
		return err
	}
	fmt.Printf("resubmitted at the last entry: %s, %d tasks\n", repeated.State, len(repeated.Tasks))
	maxStarts := 0
	starts := system.Starts()
	for _, n := range starts {
		maxStarts = max(maxStarts, n)
	}
	fmt.Printf("the backend servers started %d tasks, each at most %d time(s)\n\ntimeline:\n", len(starts), maxStarts)
	for _, e := range system.Events(recorder.Filter{Service: cluster.Service}) {
		fmt.Println(" ", e)
	}
	return nil
}

func demoJob(tasks int) caller.Submission {
	var s caller.Submission
	for i := range tasks {
		body, err := json.Marshal(standin.Work{ID: fmt.Sprintf("booking-%d", i), DurationMillis: demoTaskMillis})
		if err != nil {
			panic(err) // cannot happen: Work has plain fields only
		}
		s.Tasks = append(s.Tasks, caller.Task{Path: "/book", Body: body})
	}
	return s
}
