// Command mustardctl is the command-line tool for mustardlever's operators. It
// submits jobs, shows the state of processes and analyzes their logs.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed  = 1 // the command failed, or no process answered
	exitUsage   = 2 // invalid arguments, settings or configuration
	exitJob     = 3 // the job failed
	exitRefused = 4 // an entry refused the request
)

const description = `Examples:
  mustardctl submit --entry http://127.0.0.1:7201 --service access-desk --tasks 12
  mustardctl submit --entry http://127.0.0.1:7201 --service access-desk --file job.json --json
  mustardctl job show --entry http://127.0.0.1:7201 TICKET
  mustardctl job cancel --entry http://127.0.0.1:7201 TICKET
  mustardctl job plan --operator 127.0.0.1:7301 examples/plan.json
  mustardctl -o json job plan --operator 127.0.0.1:7301 --service access-desk job.json
  mustardctl process --operator 127.0.0.1:7301 --operator 127.0.0.1:7302
  mustardctl services --operator 127.0.0.1:7301
  mustardctl jobs --operator 127.0.0.1:7301 --operator 127.0.0.1:7302
  mustardctl configuration --operator 127.0.0.1:7301
  mustardctl -o json backend-servers --operator 127.0.0.1:7401
  mustardctl timeline --operator 127.0.0.1:7301 --ticket TICKET
  mustardctl explain 8d13e9209d055626 --log entry-1.log --log agent-1.log
  cat *.log | mustardctl -o json explain 8d13e9209d055626
  mustardctl timeline --log entry-1.log --log agent-1.log --job 61833a07cca50439
  mustardctl report --log entry-1.log --metrics entry-1.prom --out day.html
  mustardctl check --base base.json --overlay brazos.json
  mustardctl load examples/load.json --entry 127.0.0.1:7601
  mustardctl check --settings entry-1.json
  mustardctl check --platform-configuration platform-config.json

Exit codes: 0 done, 1 failed or unreachable, 2 invalid arguments, settings
or configuration, 3 the job failed, 4 an entry refused the request.`

func main() {
	command := &cli.Command{
		Name:        "mustardctl",
		Usage:       "operate mustardlever",
		Description: description,
		Commands: append([]*cli.Command{
			submitCommand(), ticketsCommand(), jobCommand(), timelineCommand(), explainCommand(), reportCommand(), checkCommand(), loadCommand(),
		}, viewCommands()...),
		Flags:                 []cli.Flag{outputFlag()},
		EnableShellCompletion: true,
	}
	setExitCodes(command)
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mustardctl:", err)
		os.Exit(exitUsage) // a usage error: Run itself exits on errors that carry an exit code
	}
}

// setExitCodes wraps the actions of a command and its subcommands so that each
// error they return carries an exit code; exitFailed is the default. A command
// without an action shows its help, and rejects an unknown subcommand.
func setExitCodes(c *cli.Command) {
	for _, subcommand := range c.Commands {
		setExitCodes(subcommand)
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.NArg() > 0 {
				return cli.Exit(fmt.Sprintf("unknown command %q; see %s --help", c.Args().First(), c.FullName()), exitUsage)
			}
			return cli.ShowSubcommandHelp(c)
		}
		return
	}
	action := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		err := action(ctx, c)
		var exitCoder cli.ExitCoder
		if err == nil || errors.As(err, &exitCoder) {
			return err
		}
		return withExitCode(err, exitFailed)
	}
}

// withExitCode returns an error with the text of err and an exit code. It drops err
// itself, since cli would print the stack trace of an error that has one.
func withExitCode(err error, code int) error { return cli.Exit(err.Error(), code) }

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry or of the balancer; may be repeated", Required: true}
}

func operatorFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "operator", Usage: "operator `ADDRESS` of a process; may be repeated", Required: true}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON, same as --output json"}
}

// wantsJSON reports whether --json or --output json was given.
func wantsJSON(c *cli.Command) bool { return c.Bool("json") || c.String("output") == outputJSON }

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Usage: "output `FORMAT`: text or json", Value: outputText,
		Validator: func(s string) error {
			if s != outputText && s != outputJSON {
				return errors.Errorf("--output is %q, expected text or json", s)
			}
			return nil
		},
	}
}
