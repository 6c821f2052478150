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
	"mustardlever.dev/mustardlever/reporter"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

func logFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "log", Usage: "`FILE` with a process's log, or - for standard input; may be repeated"}
}

// readLogs reads the logs given by --log, or standard input without the flag, and
// sorts their lines.
func readLogs(c *cli.Command) (*explainer.Log, error) {
	names := c.StringSlice("log")
	if len(names) == 0 {
		names = []string{standardInput}
	}
	log := new(explainer.Log)
	if err := readFiles(names, log.Read); err != nil {
		return nil, err
	}
	log.Sort()
	return log, nil
}

// readFiles opens each file and passes it to parse.
func readFiles(names []string, parse func(io.Reader) error) error {
	for _, name := range names {
		if err := readFile(name, parse); err != nil {
			return withExitCode(errors.Wrap(err, name), exitUsage)
		}
	}
	return nil
}

func readFile(name string, parse func(io.Reader) error) error {
	if name == standardInput {
		return parse(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return parse(f)
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain the outcome of a request from the logs of all processes", ArgsUsage: "REQUEST-ID",
		Description: "The id may also be a job id. Without --log the logs are read from standard input.",
		Flags:       []cli.Flag{logFlag(), jsonFlag()},
		Action:      explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("expected one request id or job id", exitUsage)
	}
	log, err := readLogs(c)
	if err != nil {
		return err
	}
	explanation, err := log.Explain(c.Args().First())
	switch {
	case fault.KindOf[explainer.Kind](err) == explainer.KindNotFound:
		return withExitCode(err, exitFailed)
	case err != nil:
		return withExitCode(err, exitUsage)
	case wantsJSON(c):
		return printJSON(explanation)
	}
	fmt.Print(explanation)
	return nil
}

// logTimeline prints the selected log lines of all processes in causal order, by
// their hybrid logical clocks.
func logTimeline(c *cli.Command) error {
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
			fmt.Println(lines[i].RawText)
		} else {
			fmt.Println(&lines[i])
		}
	}
	fmt.Fprintln(os.Stderr, "mustardctl:", len(lines), "lines shown of", log.Extent())
	return nil
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "render logs and metrics as an HTML page",
		Description: "Without --log the logs are read from standard input.",
		Flags: []cli.Flag{
			logFlag(),
			&cli.StringSliceFlag{Name: "metrics", Usage: "`FILE` with a process's /metrics page; may be repeated"},
			&cli.StringFlag{Name: "title", Usage: "`TITLE` of the page", Value: "mustardlever"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` to write", Value: "report.html"},
		},
		Action: report,
	}
}

func report(_ context.Context, c *cli.Command) error {
	log, err := readLogs(c)
	if err != nil {
		return err
	}
	r := &reporter.Report{Title: c.String("title"), Log: log}
	if pages := c.StringSlice("metrics"); len(pages) > 0 {
		r.Metrics = new(reporter.Metrics)
		if err := readFiles(pages, r.Metrics.Read); err != nil {
			return err
		}
	}
	f, err := os.Create(c.String("out"))
	if err != nil {
		return withExitCode(err, exitFailed)
	}
	if err := r.Write(f); err != nil {
		f.Close()
		return withExitCode(err, exitFailed)
	}
	return f.Close()
}
