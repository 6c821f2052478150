// Command mustardsoak plays seeds of faults against mustardlever's programs on
// this machine and checks what it promises.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/internal/soaker"
)

// Exit codes.
const (
	exitFailed = 1 // the processes could not be run
	exitBroken = 3 // a promise was not kept
)

const description = `Examples:
  mustardsoak --daemon bin/mustardleverd --seed 7
  mustardsoak --daemon bin/mustardleverd --seed 7 --seeds 50 --minutes 1 --report soak.json

The stand-ins of store, executors and callers run in this process, all on
loopback. Logs and settings of a seed that broke a promise are kept.
Exit codes: 0 all was kept, 1 could not be run, 3 a promise was not kept.`

func main() {
	command := &cli.Command{
		Name: "mustardsoak", Usage: "inject faults into running processes and check what they promise", Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of mustardleverd", Value: "bin/mustardleverd"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds to play, one after the other", Value: 1},
			&cli.FloatFlag{Name: "minutes", Usage: "length of each seed; one round at least is played", Value: 0.5},
			&cli.IntFlag{Name: "entries", Usage: "`NUMBER` of entries", Value: 3},
			&cli.IntFlag{Name: "agents", Usage: "`NUMBER` of agents", Value: 5},
			&cli.IntFlag{Name: "callers", Usage: "`NUMBER` of callers, each with one job at a time", Value: 14},
			&cli.StringFlag{Name: "report", Usage: "`FILE` for what was seen of each seed, JSON lines"},
			&cli.BoolFlag{Name: "recovery", Usage: "measure instead how soon service comes back after losses"},
			&cli.BoolFlag{Name: "quiet", Usage: "tell only what each seed came to"},
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
		return recovery(c)
	}
	broken := 0
	for n := range c.Int("seeds") {
		r, err := play(c, c.Uint64("seed")+uint64(n))
		if err != nil {
			return cli.Exit(err.Error(), exitFailed)
		}
		if len(r.Broken) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds broke a promise", broken, c.Int("seeds")), exitBroken)
	}
	return nil
}

// settings returns the settings of a seed, with a new directory.
func settings(c *cli.Command, seed uint64) (soaker.Settings, error) {
	daemon, err := filepath.Abs(c.String("daemon"))
	if err != nil {
		return soaker.Settings{}, err
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("mustardsoak-%d-", seed))
	if err != nil {
		return soaker.Settings{}, err
	}
	s := soaker.Settings{
		Seed: seed, Length: time.Duration(c.Float("minutes") * float64(time.Minute)), Daemon: daemon, Dir: dir,
		Entries: c.Int("entries"), Agents: c.Int("agents"), Callers: c.Int("callers"), Say: say,
	}
	if c.Bool("quiet") {
		s.Say = func(string, ...any) {}
	}
	return s, nil
}

func say(format string, a ...any) { fmt.Printf(format+"\n", a...) }

// recovery measures how soon service comes back.
func recovery(c *cli.Command) error {
	s, err := settings(c, c.Uint64("seed"))
	if err != nil {
		return err
	}
	s.Say = func(string, ...any) {}
	list, err := soaker.Recover(s, soaker.Losses())
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	say("%-32s %12s %12s %12s", "loss", "before, 1/s", "to half", "to 0.9")
	for _, r := range list {
		say("%-32s %12.1f %12s %12s", r.Loss, r.Before, r.Half, r.Almost)
	}
	return os.RemoveAll(s.Dir)
}

// play plays one seed and writes what was seen.
func play(c *cli.Command, seed uint64) (*soaker.Report, error) {
	s, err := settings(c, seed)
	if err != nil {
		return nil, err
	}
	r, err := soaker.Run(s)
	if err != nil {
		return nil, err
	}
	say("seed %d: %.0f s, %d faults, %d jobs in %d tries, %d completed, %d failed as they must, %d unserved, %d promises broken, %d not judged",
		seed, r.Seconds, len(r.Faults), r.Jobs, r.Tries, r.Completed, r.Failed, r.Unserved, len(r.Broken), len(r.Void))
	for _, x := range r.Stalls {
		say("  this process did not run: %s", x)
	}
	if len(r.Broken) > 0 {
		say("  logs are kept in %s", s.Dir)
		for _, b := range r.Broken {
			say("  %s", b)
		}
	} else if err := os.RemoveAll(s.Dir); err != nil {
		return nil, err
	}
	return r, write(c.String("report"), r)
}

// write adds a report to a file, if there is one.
func write(name string, r *soaker.Report) error {
	if name == "" {
		return nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(f).Encode(r); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
