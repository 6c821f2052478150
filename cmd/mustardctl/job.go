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
			&cli.StringFlag{Name: "ticket", Usage: "`TICKET` to submit the job under; a job may be submitted again under its ticket"},
			&cli.StringFlag{Name: "request-id", Usage: "`ID` of the request, chosen by the caller and returned with the answer"},
			&cli.IntFlag{Name: "tasks", Usage: "without --file: number of tasks, for stand-in backend servers", Value: 12},
			&cli.IntFlag{Name: "work-ms", Usage: "without --file: duration of each task in milliseconds", Value: 50},
		},
		Action: submit,
	}
}

func newClient(c *cli.Command) *submitter.Client {
	return &submitter.Client{Entries: c.StringSlice("entry"), TicketBatch: 1}
}

func submit(ctx context.Context, c *cli.Command) error {
	body, err := submission(c)
	if err != nil {
		return withExitCode(err, exitUsage)
	}
	client := newClient(c)
	ticket := c.String("ticket")
	if ticket == "" {
		if ticket, err = client.Ticket(ctx, c.String("service")); err != nil {
			return clientError(err)
		}
	}
	answer, err := client.SubmitTicket(ctx, ticket, c.String("request-id"), body)
	if err != nil {
		return clientError(err)
	}
	return printAnswer(c, answer)
}

// submission returns the job in --file or, without it, a generated job for stand-in
// backend servers.
func submission(c *cli.Command) ([]byte, error) {
	if name := c.String("file"); name != "" {
		return os.ReadFile(name)
	}
	var s caller.Submission
	for i := range c.Int("tasks") {
		body, err := json.Marshal(standin.Work{ID: fmt.Sprintf("task-%d", i), DurationMillis: c.Int("work-ms")})
		if err != nil {
			return nil, err
		}
		s.Tasks = append(s.Tasks, caller.Task{Body: body})
	}
	return json.Marshal(s)
}

// clientError adds the exit code to an error of the client: exitRefused if an entry
// refused the request, else exitFailed.
func clientError(err error) error {
	var refusal *submitter.Refusal
	if errors.As(err, &refusal) {
		return cli.Exit(fmt.Sprintf("refused (%s): %s; may have run: %t", refusal.Failure.Kind, refusal.Failure.Message, refusal.Failure.MayHaveRun), exitRefused)
	}
	return withExitCode(err, exitFailed)
}

// printAnswer prints an answer. If the job failed, it returns an error with exitJob.
func printAnswer(c *cli.Command, answer *caller.Answer) error {
	if wantsJSON(c) {
		if err := printJSON(answer); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s %s %s\n", answer.State, answer.Reason, answer.Ticket)
		for _, t := range answer.Tasks {
			fmt.Printf("  task %-3d %-7s %-12s %d %s%s\n", t.Task, t.State, t.Agent, t.Status, t.Body, t.Error)
		}
	}
	if answer.State == caller.StateFailed {
		return cli.Exit("the job failed: "+answer.Reason, exitJob)
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
		Usage: "get tickets for later use",
		Flags: []cli.Flag{
			entryFlag(), serviceFlag(), jsonFlag(),
			&cli.IntFlag{Name: "count", Usage: "`NUMBER` of tickets, 1 to 1000", Value: 1},
		},
		Action: tickets,
	}
}

func tickets(ctx context.Context, c *cli.Command) error {
	client := newClient(c)
	client.TicketBatch = c.Int("count")
	list := []string{}
	for range c.Int("count") {
		t, err := client.Ticket(ctx, c.String("service"))
		if err != nil {
			return clientError(err)
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
		Usage: "show or cancel a job by its ticket, or explain where a job would go",
		Commands: []*cli.Command{
			{Name: "show", ArgsUsage: "TICKET", Flags: []cli.Flag{entryFlag(), jsonFlag()}, Action: ticketAction((*submitter.Client).Find)},
			{Name: "cancel", ArgsUsage: "TICKET", Flags: []cli.Flag{entryFlag(), jsonFlag()}, Action: ticketAction((*submitter.Client).Cancel)},
			planCommand(),
		},
	}
}

// ticketCall is a method of the client that takes a ticket.
type ticketCall func(*submitter.Client, context.Context, string) (*caller.Answer, error)

// ticketAction returns an action that passes the ticket on the command line to call.
func ticketAction(call ticketCall) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.NArg() != 1 {
			return cli.Exit("expected one ticket", exitUsage)
		}
		answer, err := call(newClient(c), ctx, c.Args().First())
		if err != nil {
			return clientError(err)
		}
		return printAnswer(c, answer)
	}
}
