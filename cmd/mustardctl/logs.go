package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/explainer"
	"mustardlever.dev/mustardlever/internal/fault"
)

// standardInput is the name of a log that is read from standard input.
const standardInput = "-"

func logFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "log", Usage: "`FILE` with a process's log, - for standard input; may be repeated"}
}

// readLogs reads the logs that are named, or standard input when none is.
func readLogs(c *cli.Command) (*explainer.Log, error) {
	names := c.StringSlice("log")
	if len(names) == 0 {
		names = []string{standardInput}
	}
	log := new(explainer.Log)
	for _, name := range names {
		if err := readLog(log, name); err != nil {
			return nil, cli.Exit(errors.Wrap(err, name), exitUsage)
		}
	}
	log.Sort()
	return log, nil
}

func readLog(log *explainer.Log, name string) error {
	r := io.Reader(os.Stdin)
	if name != standardInput {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		r = f
	}
	return log.Read(r)
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell from the logs of all processes why a request ended as it did", ArgsUsage: "REQUEST-ID",
		Description: "The id may also be a job's. Without --log the logs are read from standard input.",
		Flags:       []cli.Flag{logFlag(), jsonFlag()},
		Action:      explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("expected one request id", exitUsage)
	}
	log, err := readLogs(c)
	if err != nil {
		return err
	}
	x, err := log.Explain(c.Args().First())
	switch {
	case fault.KindOf[explainer.Kind](err) == explainer.KindNotFound:
		return cli.Exit(err, exitFailed)
	case err != nil:
		return cli.Exit(err, exitUsage)
	case wantsJSON(c):
		return printJSON(x)
	}
	fmt.Print(x)
	return nil
}

// timelineOfLogs prints the lines of logs in the order of cause and effect.
func timelineOfLogs(c *cli.Command) error {
	log, err := readLogs(c)
	if err != nil {
		return err
	}
	job, service, kind := c.String("job"), c.String("service"), c.String("kind")
	lines := log.Select(func(l *explainer.Line) bool {
		return (job == "" || l.JobID() == job) && (service == "" || l.Service == service) && (kind == "" || l.Message == kind)
	})
	for i := range lines {
		if wantsJSON(c) {
			fmt.Println(lines[i].Text)
		} else {
			fmt.Println(&lines[i])
		}
	}
	fmt.Fprintln(os.Stderr, "mustardctl:", len(lines), "lines shown of", log.Extent())
	return nil
}
