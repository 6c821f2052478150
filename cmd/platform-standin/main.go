// Command platform-standin runs stand-ins of the users' platform, for load runs
// on one machine: its metadata store with a configuration, executors that report
// to agents, and backend servers with mustardlever's own HTTP API.
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
  curl -X PUT http://127.0.0.1:7900/evacuations/zone-1
  curl -X DELETE http://127.0.0.1:7900/evacuations/zone-1

Faults of the store: down (every call gets status 503), slow-ms (delay of every
call), lose-reply (transactions are applied, but get no response), forget (drops
the change history).
PUT and DELETE of /evacuations/ZONE write and remove the row that requests the
evacuation of a zone.
A backend server answers GET /starts with the number of starts of each task id.`

func main() {
	command := &cli.Command{
		Name:        "platform-standin",
		Usage:       "run stand-ins of the platform and of backend servers",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the metadata store"},
			&cli.StringFlag{Name: "configuration", Usage: "`FILE` with the configuration to write to the store"},
			&cli.StringSliceFlag{Name: "executor", Usage: "run an executor that reports to the agent at `ADDRESS`; may be repeated"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the executors' service", Value: "access-desk"},
			&cli.StringSliceFlag{Name: "backend", Usage: "`ADDRESS` of a backend server; may be repeated"},
			&cli.IntFlag{Name: "slow", Usage: "multiply the duration of the backend servers' tasks by `FACTOR`", Value: 1},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "platform-standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	store := new(platform.Store)
	if address := command.String("store"); address != "" {
		if err := startStore(store, address, command.String("configuration")); err != nil {
			return err
		}
		defer store.Stop()
		fmt.Println("store at", store.Address())
	}
	checker := new(platform.Checker)
	for i, address := range command.StringSlice("executor") {
		executor := &platform.Executor{Name: fmt.Sprintf("executor-%d", i+1), Service: command.String("service"), Millicores: executorMillicores, ReportAddress: address, Checker: checker}
		if err := executor.Start(); err != nil {
			return err
		}
		defer executor.Stop()
		fmt.Println("executor reports to", address)
	}
	for _, address := range command.StringSlice("backend") {
		backend := &standin.Backend{Name: address, SlowdownFactor: command.Int("slow")}
		if err := backend.Start(address); err != nil {
			return err
		}
		defer backend.Stop()
		fmt.Println("backend server at", backend.Address())
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	for _, violation := range checker.Violations() {
		fmt.Println("broken:", violation)
	}
	return nil
}

// executorMillicores is the capacity of each executor, in thousandths of a core.
const executorMillicores = 16_000

// startStore starts store and writes the configuration file to it, if one is
// given.
func startStore(store *platform.Store, address, configuration string) error {
	if err := store.Start(address); err != nil {
		return err
	}
	if configuration == "" {
		return nil
	}
	document, err := os.ReadFile(configuration)
	if err != nil {
		return err
	}
	store.Put("op", "config", document)
	return nil
}
