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
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/submitter"
)

const (
	readyTimeout  = 10 * time.Second
	readyInterval = 10 * time.Millisecond
	demoTasks     = 24
	demoMillis    = 60
	shownTasks    = 4
)

func devFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "demo", Usage: "run one job through two entries, show its answer and time line, and stop"},
		&cli.IntFlag{Name: "tasks", Usage: "tasks of the demo's job, 1 to 270", Value: demoTasks},
		&cli.IntFlag{Name: "entries", Usage: "entries to run", Value: 2},
		&cli.IntFlag{Name: "agents", Usage: "agents to run, each with a stand-in backend server", Value: 3},
	}
}

// dev runs a whole small system in this process.
func dev(ctx context.Context, c *cli.Command) error {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if c.Bool("demo") {
		log.SetLevel(logrus.ErrorLevel)
	}
	lab, err := cluster.Start(cluster.Settings{
		Entries: c.Int("entries"), Agents: c.Int("agents"), Log: logrus.NewEntry(log),
	})
	if err != nil {
		return err
	}
	defer lab.Stop()
	if err := awaitReady(lab); err != nil {
		return err
	}
	for i, u := range lab.URLs {
		fmt.Printf("entry %d serves callers at %s\n", i+1, u)
	}
	if c.Bool("demo") {
		return demo(ctx, lab, c.Int("tasks"))
	}
	fmt.Println("try:  mustardctl submit --entry " + lab.URLs[0] + " --service " + cluster.Service + " --tasks 12")
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func awaitReady(lab *cluster.Cluster) error {
	end := time.Now().Add(readyTimeout)
	for !lab.Ready() {
		if time.Now().After(end) {
			return fmt.Errorf("the system was not ready within %s", readyTimeout)
		}
		time.Sleep(readyInterval)
	}
	return nil
}

// demo submits one job at the first entry, again at the second, and shows that
// both give the same answer and that each task was started once.
func demo(ctx context.Context, lab *cluster.Cluster, tasks int) error {
	client := &submitter.Client{Entries: lab.URLs[:1]}
	ticket, err := client.Ticket(ctx, cluster.Service)
	if err != nil {
		return err
	}
	body, err := json.Marshal(demoJob(tasks))
	if err != nil {
		return err
	}
	begin := time.Now()
	answer, err := client.SubmitTicket(ctx, ticket, "demo-1", body)
	if err != nil {
		return err
	}
	fmt.Printf("\nentry 1 answered in %s: %s, %d tasks\n", time.Since(begin).Round(time.Millisecond), answer.State, len(answer.Tasks))
	for _, t := range answer.Tasks[:min(shownTasks, len(answer.Tasks))] {
		fmt.Printf("  task %d %s at %s: %d %s\n", t.Task, t.State, t.Agent, t.Status, t.Body)
	}
	other := &submitter.Client{Entries: lab.URLs[len(lab.URLs)-1:], HTTP: new(http.Client)}
	again, err := other.SubmitTicket(ctx, ticket, "demo-2", body)
	if err != nil {
		return err
	}
	fmt.Printf("submitted again at the last entry: %s, %d tasks\n", again.State, len(again.Tasks))
	most := 0
	starts := lab.Starts()
	for _, n := range starts {
		most = max(most, n)
	}
	fmt.Printf("the backend servers saw %d tasks, each started at most %d time\n\ntime line:\n", len(starts), most)
	for _, e := range lab.Events(recorder.Filter{Service: cluster.Service}) {
		fmt.Println(" ", e)
	}
	return nil
}

func demoJob(tasks int) caller.Submission {
	var s caller.Submission
	for i := range tasks {
		body, err := json.Marshal(standin.Work{ID: fmt.Sprintf("booking-%d", i), Millis: demoMillis})
		if err != nil {
			panic(err) // plain fields always marshal
		}
		s.Tasks = append(s.Tasks, caller.Task{Path: "/book", Body: body})
	}
	return s
}
