// Command platform-standin runs stand-ins of the users' platform (its metadata
// store with a configuration, and executors that report to agents) and of the
// backend servers of the product's own interface, for trials on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/internal/standin"
	platform "mustardlever.dev/mustardlever/platform/standin"
)

const description = `Examples:
  platform-standin --backend 127.0.0.1:9001 --backend 127.0.0.1:9002
  platform-standin --store 127.0.0.1:7900 --configuration config.json --executor 127.0.0.1:7410
  curl -X PUT -d '{"down":true}' http://127.0.0.1:7900/faults

Faults of the store: down, slow-ms, lose-reply (transactions are done, their
answers are lost), forget (the history of changes is gone).
A backend server answers GET /starts with the starts of each task id.`

func main() {
	command := &cli.Command{
		Name:        "platform-standin",
		Usage:       "run stand-ins of the platform and of backend servers",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the metadata store"},
			&cli.StringFlag{Name: "configuration", Usage: "`FILE` with the operator's configuration for the store"},
			&cli.StringSliceFlag{Name: "executor", Usage: "run an executor that reports to the agent at `ADDRESS`; may be repeated"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the executors' service", Value: "access-desk"},
			&cli.StringSliceFlag{Name: "backend", Usage: "`ADDRESS` of a backend server; may be repeated"},
			&cli.IntFlag{Name: "slow", Usage: "multiplies the time of the backend servers' tasks", Value: 1},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "platform-standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	store := new(platform.Store)
	if a := c.String("store"); a != "" {
		if err := startStore(store, a, c.String("configuration")); err != nil {
			return err
		}
		defer store.Stop()
		fmt.Println("store at", store.Address())
	}
	judge := new(platform.Judge)
	for i, a := range c.StringSlice("executor") {
		x := &platform.Executor{Name: fmt.Sprintf("executor-%d", i+1), Service: c.String("service"), CPU: executorCPU, Reports: a, Judge: judge}
		if err := x.Start(); err != nil {
			return err
		}
		defer x.Stop()
		fmt.Println("executor reports to", a)
	}
	for _, a := range c.StringSlice("backend") {
		b := &standin.Backend{Name: a, Slow: c.Int("slow")}
		if err := b.Start(a); err != nil {
			return err
		}
		defer b.Stop()
		fmt.Println("backend server at", b.Address())
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	for _, b := range judge.Broken() {
		fmt.Println("broken:", b)
	}
	return nil
}

// executorCPU is the capacity of each executor, in thousandths of a core.
const executorCPU = 16_000

func startStore(s *platform.Store, address, configuration string) error {
	if err := s.Start(address); err != nil {
		return err
	}
	if configuration == "" {
		return nil
	}
	document, err := os.ReadFile(configuration)
	if err != nil {
		return err
	}
	s.Put("op", "config", document)
	return nil
}
