// Command mustardsoak runs mustardlever's processes on this machine, injects faults
// from random schedules and checks that mustardlever's guarantees hold.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/internal/soaker"
)

// Exit codes.
const (
	exitFailed    = 1 // the test could not be run
	exitViolation = 3 // a guarantee was violated
)

const description = `Examples:
  mustardsoak --daemon bin/mustardleverd --seed 7
  mustardsoak --daemon bin/mustardleverd --seed 7 --seeds 50 --minutes 1 --report soak.json

The stand-ins for the store, executors and callers run in this process, all on
the loopback interface. Logs and settings of a seed that violated a guarantee
are kept.
Exit codes: 0 all guarantees held, 1 could not run, 3 a guarantee was violated.`

func main() {
	command := &cli.Command{
		Name: "mustardsoak", Usage: "inject faults into running processes and check their guarantees", Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of mustardleverd", Value: "bin/mustardleverd"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the first fault schedule", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of consecutive seeds to run, one after the other", Value: 1},
			&cli.FloatFlag{Name: "minutes", Usage: "approximate duration of each seed in minutes; at least one round runs", Value: 0.5},
			&cli.IntFlag{Name: "entries", Usage: "`NUMBER` of entries", Value: 3},
			&cli.IntFlag{Name: "agents", Usage: "`NUMBER` of agents", Value: 5},
			&cli.IntFlag{Name: "callers", Usage: "`NUMBER` of callers, each with one job at a time", Value: 14},
			&cli.StringFlag{Name: "report", Usage: "`FILE` to which the report of each seed is appended as a JSON line"},
			&cli.BoolFlag{Name: "recovery", Usage: "measure the recovery time after the loss of processes instead"},
			&cli.BoolFlag{Name: "liberties", Usage: "backend servers also take the platform's liberties: late calls, answers and reports, and restarts under the same id"},
			&cli.BoolFlag{Name: "forgotten-fence", Usage: "with --liberties: a restarted backend server executes starts that were fenced off before, which no protocol can prevent"},
			&cli.BoolFlag{Name: "foreign-reports", Usage: "agents also get misleading status reports: those of other writers, and late ones of a backend server whose clock was set back"},
			&cli.StringSliceFlag{Name: "only", Usage: "with --foreign-reports: `KIND` of misleading status reports, instead of all kinds; repeatable"},
			&cli.BoolFlag{Name: "evacuations", Usage: "zones are also evacuated, and backend servers are cold after their start"},
			&cli.BoolFlag{Name: "crowds", Usage: "crowds of clients that the system does not control connect to the processes, whose limits are lowered; the daemon must be built without -race"},
			&cli.BoolFlag{Name: "quiet", Usage: "print only the summary of each seed"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mustardsoak:", err)
		os.Exit(exitFailed)
	}
}

func run(_ context.Context, c *cli.Command) error {
	if c.Bool("recovery") {
		return measureRecovery(c)
	}
	violatingSeeds := 0
	for n := range c.Int("seeds") {
		r, err := runSeed(c, c.Uint64("seed")+uint64(n))
		if err != nil {
			return cli.Exit(err.Error(), exitFailed)
		}
		if len(r.Violations) > 0 {
			violatingSeeds++
		}
	}
	if violatingSeeds > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds violated a guarantee", violatingSeeds, c.Int("seeds")), exitViolation)
	}
	return nil
}

// newSettings returns the settings for a seed, with a new temporary directory.
func newSettings(c *cli.Command, seed uint64) (soaker.Settings, error) {
	daemon, err := filepath.Abs(c.String("daemon"))
	if err != nil {
		return soaker.Settings{}, err
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("mustardsoak-%d-", seed))
	if err != nil {
		return soaker.Settings{}, err
	}
	s := soaker.Settings{
		Seed: seed, Duration: time.Duration(c.Float("minutes") * float64(time.Minute)), DaemonPath: daemon, Dir: dir,
		Entries: c.Int("entries"), Agents: c.Int("agents"), Callers: c.Int("callers"), Logf: printLine,
		Liberties: c.Bool("liberties"), ForgottenFence: c.Bool("forgotten-fence"),
		Evacuations: c.Bool("evacuations"), Crowds: c.Bool("crowds"),
	}
	if s.ReportFaults, err = reportFaults(c); err != nil {
		return soaker.Settings{}, err
	}
	if c.Bool("quiet") {
		s.Logf = func(string, ...any) {}
	}
	return s, nil
}

// reportFaults returns the kinds of misleading status reports that the flags select.
func reportFaults(c *cli.Command) ([]soaker.Kind, error) {
	all := soaker.ReportFaultKinds()
	switch {
	case !c.Bool("foreign-reports"):
		return nil, nil
	case !c.IsSet("only"):
		return all, nil
	}
	var kinds []soaker.Kind
	for _, name := range c.StringSlice("only") {
		if !slices.Contains(all, soaker.Kind(name)) {
			return nil, fmt.Errorf("unknown kind %q of status reports, must be one of %v", name, all)
		}
		kinds = append(kinds, soaker.Kind(name))
	}
	return kinds, nil
}

func printLine(format string, a ...any) { fmt.Printf(format+"\n", a...) }

// measureRecovery prints how long service takes to recover from each kind of loss.
func measureRecovery(c *cli.Command) error {
	s, err := newSettings(c, c.Uint64("seed"))
	if err != nil {
		return err
	}
	s.Logf = func(string, ...any) {}
	recoveries, err := soaker.MeasureRecoveries(s, soaker.Losses())
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	printLine("%-32s %12s %12s %12s", "loss", "before, 1/s", "to half", "to 0.9")
	for _, r := range recoveries {
		printLine("%-32s %12.1f %12s %12s", r.Loss, r.BaselineRate, r.TimeToHalf, r.TimeToNineTenths)
	}
	return os.RemoveAll(s.Dir)
}

// runSeed runs one seed, prints a summary and appends the report to the file given
// by --report. It removes the seed's directory if all guarantees held.
func runSeed(c *cli.Command, seed uint64) (*soaker.Report, error) {
	s, err := newSettings(c, seed)
	if err != nil {
		return nil, err
	}
	r, err := soaker.Run(s)
	if err != nil {
		return nil, err
	}
	printLine("seed %d: %.0f s, %d faults, %d jobs in %d tries, %d completed, %d failed as expected, %d given up, %d unserved, %d guarantees violated, %d checks inconclusive",
		seed, r.Seconds, len(r.Faults), r.Jobs, r.Attempts, r.Completed, r.Failed-r.GivenUp, r.GivenUp, r.Unanswered, len(r.Violations), len(r.Inconclusive))
	if r.PeakMemoryKiB > 0 {
		printLine("  peak of one process: %d MiB, %d descriptors", r.PeakMemoryKiB>>10, r.MostDescriptors)
	}
	for _, stall := range r.Stalls {
		printLine("  this process was stalled: %s", stall)
	}
	if len(r.Violations) > 0 {
		printLine("  logs and settings are kept in %s", s.Dir)
		for _, violation := range r.Violations {
			printLine("  %s", violation)
		}
	} else if err := os.RemoveAll(s.Dir); err != nil {
		return nil, err
	}
	return r, appendReport(c.String("report"), r)
}

// appendReport appends a report to a file as a JSON line, if path is not empty.
func appendReport(path string, report *soaker.Report) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(f).Encode(report); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
