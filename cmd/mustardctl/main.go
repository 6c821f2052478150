// Command mustardctl is the command line of mustardlever's operators.
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
	exitUsage   = 2 // wrong arguments, settings or configuration
	exitJob     = 3 // the job failed
	exitRefused = 4 // an entry refused
)

const description = `Examples:
  mustardctl submit --entry http://127.0.0.1:7201 --service access-desk --tasks 12
  mustardctl submit --entry http://127.0.0.1:7201 --service access-desk --file job.json --json
  mustardctl job show --entry http://127.0.0.1:7201 TICKET
  mustardctl job cancel --entry http://127.0.0.1:7201 TICKET
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

Exit codes: 0 done, 1 failed or unreachable, 2 wrong arguments or configuration,
3 the job failed, 4 an entry refused.`

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
	settle(command)
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mustardctl:", err)
		os.Exit(exitUsage) // the actions' own errors have their codes
	}
}

// settle gives the errors of a command and those under it their exit codes.
func settle(c *cli.Command) {
	for _, x := range c.Commands {
		settle(x)
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.NArg() > 0 {
				return cli.Exit(fmt.Sprintf("there is no command %q; see %s --help", c.Args().First(), c.FullName()), exitUsage)
			}
			return cli.ShowSubcommandHelp(c)
		}
		return
	}
	action := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		err := action(ctx, c)
		var coded cli.ExitCoder
		if err == nil || errors.As(err, &coded) {
			return err
		}
		return fail(err, exitFailed)
	}
}

// fail gives an error an exit code. The library prints an error that knows its
// stack with the stack, so that only its text is passed on.
func fail(err error, code int) error { return cli.Exit(err.Error(), code) }

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry or of the balancer; may be repeated", Required: true}
}

func operatorFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "operator", Usage: "operators' `ADDRESS` of a process; may be repeated", Required: true}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON, as --output json does"}
}

// wantsJSON tells whether --json or --output json was given.
func wantsJSON(c *cli.Command) bool { return c.Bool("json") || c.String("output") == outputJSON }

// Formats of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT` of what is printed: text or json", Value: outputText,
		Validator: func(s string) error {
			if s != outputText && s != outputJSON {
				return errors.Errorf("--output is %q, expected text or json", s)
			}
			return nil
		},
	}
}
