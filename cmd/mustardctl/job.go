package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/submitter"
)

func serviceFlag() cli.Flag {
	return &cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true}
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job and wait for its answer",
		Flags: []cli.Flag{
			entryFlag(), serviceFlag(), jsonFlag(),
			&cli.StringFlag{Name: "file", Usage: "`FILE` with a submission in JSON"},
			&cli.StringFlag{Name: "ticket", Usage: "submit under this `TICKET`, for the first time or again"},
			&cli.StringFlag{Name: "request-id", Usage: "your own `ID`, which the answer carries"},
			&cli.IntFlag{Name: "tasks", Usage: "without --file: tasks for stand-in backend servers", Value: 12},
			&cli.IntFlag{Name: "work-ms", Usage: "without --file: milliseconds each task takes", Value: 50},
		},
		Action: submit,
	}
}

func client(c *cli.Command) *submitter.Client {
	return &submitter.Client{Entries: c.StringSlice("entry"), TicketBatch: 1}
}

func submit(ctx context.Context, c *cli.Command) error {
	body, err := submission(c)
	if err != nil {
		return fail(err, exitUsage)
	}
	s := client(c)
	ticket := c.String("ticket")
	if ticket == "" {
		if ticket, err = s.Ticket(ctx, c.String("service")); err != nil {
			return exit(err)
		}
	}
	a, err := s.SubmitTicket(ctx, ticket, c.String("request-id"), body)
	if err != nil {
		return exit(err)
	}
	return printAnswer(c, a)
}

// submission returns the job in --file, or one for stand-in backend servers.
func submission(c *cli.Command) ([]byte, error) {
	if name := c.String("file"); name != "" {
		return os.ReadFile(name)
	}
	var s caller.Submission
	for i := range c.Int("tasks") {
		body, err := json.Marshal(standin.Work{ID: fmt.Sprintf("task-%d", i), Millis: c.Int("work-ms")})
		if err != nil {
			return nil, err
		}
		s.Tasks = append(s.Tasks, caller.Task{Body: body})
	}
	return json.Marshal(s)
}

// exit gives an error its exit code.
func exit(err error) error {
	var r *submitter.Refusal
	if errors.As(err, &r) {
		return cli.Exit(fmt.Sprintf("refused (%s): %s; may have run: %t", r.Failure.Kind, r.Failure.Message, r.Failure.MayHaveRun), exitRefused)
	}
	return fail(err, exitFailed)
}

func printAnswer(c *cli.Command, a *caller.Answer) error {
	if wantsJSON(c) {
		if err := printJSON(a); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s %s %s\n", a.State, a.Reason, a.Ticket)
		for _, t := range a.Tasks {
			fmt.Printf("  task %-3d %-7s %-12s %d %s%s\n", t.Task, t.State, t.Agent, t.Status, t.Body, t.Error)
		}
	}
	if a.State == caller.StateFailed {
		return cli.Exit("the job failed: "+a.Reason, exitJob)
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func ticketsCommand() *cli.Command {
	return &cli.Command{
		Name:  "tickets",
		Usage: "take tickets ahead",
		Flags: []cli.Flag{
			entryFlag(), serviceFlag(), jsonFlag(),
			&cli.IntFlag{Name: "count", Usage: "how many, 1 to 1000", Value: 1},
		},
		Action: tickets,
	}
}

func tickets(ctx context.Context, c *cli.Command) error {
	s := client(c)
	s.TicketBatch = c.Int("count")
	list := []string{}
	for range c.Int("count") {
		t, err := s.Ticket(ctx, c.String("service"))
		if err != nil {
			return exit(err)
		}
		list = append(list, t)
	}
	if wantsJSON(c) {
		return printJSON(list)
	}
	for _, t := range list {
		fmt.Println(t)
	}
	return nil
}

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "show or cancel a job by its ticket",
		Commands: []*cli.Command{
			{Name: "show", ArgsUsage: "TICKET", Flags: []cli.Flag{entryFlag(), jsonFlag()}, Action: ask((*submitter.Client).Find)},
			{Name: "cancel", ArgsUsage: "TICKET", Flags: []cli.Flag{entryFlag(), jsonFlag()}, Action: ask((*submitter.Client).Cancel)},
		},
	}
}

type question func(*submitter.Client, context.Context, string) (*caller.Answer, error)

func ask(q question) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.NArg() != 1 {
			return cli.Exit("expected one ticket", exitUsage)
		}
		a, err := q(client(c), ctx, c.Args().First())
		if err != nil {
			return exit(err)
		}
		return printAnswer(c, a)
	}
}
