package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/ticketer"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show the events of all processes in order, asked of them or read from their logs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operators' `ADDRESS` of a process; may be repeated"},
			logFlag(), jsonFlag(),
			&cli.StringFlag{Name: "job", Usage: "with --log: only lines of this job's `ID`"},
			&cli.StringFlag{Name: "ticket", Usage: "only the job of this `TICKET`"},
			&cli.StringFlag{Name: "service", Usage: "only this service"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	switch logs, operators := len(c.StringSlice("log")), len(c.StringSlice("operator")); {
	case logs > 0 && operators > 0:
		return cli.Exit("give either --operator or --log", exitUsage)
	case logs > 0:
		return timelineOfLogs(c)
	case operators == 0:
		return cli.Exit("give the processes to ask by --operator, or their logs by --log", exitUsage)
	}
	query := url.Values{"service": {c.String("service")}, "kind": {c.String("kind")}}
	if text := c.String("ticket"); text != "" {
		t, err := ticketer.Peek(text)
		if err != nil {
			return fail(err, exitUsage)
		}
		query.Set("owner", t.Owner)
		query.Set("number", fmt.Sprint(t.Sequence))
	}
	lists, err := collect[[]recorder.Event](ctx, c, "/v1/events?"+query.Encode())
	if err != nil {
		return err
	}
	events := recorder.Merge(lists...)
	if wantsJSON(c) {
		return printJSON(events)
	}
	for _, e := range events {
		fmt.Println(e)
	}
	return nil
}
