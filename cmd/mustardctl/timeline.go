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
		Name: "timeline", Usage: "show the events of all processes in order, from the processes or from their logs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operator `ADDRESS` of a process; may be repeated"},
			logFlag(), jsonFlag(),
			&cli.StringFlag{Name: "job", Usage: "with --log: only lines of the job with this `ID`"},
			&cli.StringFlag{Name: "ticket", Usage: "with --operator: only events of the job with this `TICKET`"},
			&cli.StringFlag{Name: "service", Usage: "only events of this service"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind; with --log: only lines with this message"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	switch logs, operators := len(c.StringSlice("log")), len(c.StringSlice("operator")); {
	case logs > 0 && operators > 0:
		return cli.Exit("give either --operator or --log, not both", exitUsage)
	case logs > 0:
		return logTimeline(c)
	case operators == 0:
		return cli.Exit("give the processes with --operator, or their logs with --log", exitUsage)
	}
	query := url.Values{"service": {c.String("service")}, "kind": {c.String("kind")}}
	if text := c.String("ticket"); text != "" {
		t, err := ticketer.Peek(text)
		if err != nil {
			return withExitCode(err, exitUsage)
		}
		query.Set("owner", t.Owner)
		query.Set("number", fmt.Sprint(t.Sequence))
	}
	lists, err := fetchAll[[]recorder.Event](ctx, c, "/v1/events?"+query.Encode())
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
