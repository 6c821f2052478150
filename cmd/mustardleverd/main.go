// Command mustardleverd is mustardlever's daemon. It runs an entry or an agent,
// depending on its settings, or a small complete system in one process (dev).
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/limiter"
)

// Exit codes.
const (
	exitFailed   = 1 // the daemon failed
	exitSettings = 2 // the settings or the configuration are invalid
)

const description = `Examples:
  mustardleverd dev --demo                       run one job through a complete system on this machine
  mustardleverd check --settings entry.json      check settings and configuration
  mustardleverd run --settings entry.json        run an entry or an agent

Exit codes: 0 graceful shutdown, 1 failed, 2 invalid settings or configuration.`

func main() {
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true,
		Sources: cli.EnvVars("MUSTARDLEVER_SETTINGS")}
	command := &cli.Command{
		Name:        "mustardleverd",
		Usage:       "dispatch short tasks to backend servers",
		Description: description,
		Commands: []*cli.Command{
			{Name: "run", Usage: "run an entry or an agent", Flags: []cli.Flag{settings}, Action: run},
			{Name: "check", Usage: "check settings and configuration, then exit", Flags: []cli.Flag{settings}, Action: check},
			{Name: "dev", Usage: "run a small complete system in this process", Flags: devFlags(), Action: dev},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mustardleverd:", err)
		os.Exit(exitFailed)
	}
}

// loadSettings reads the settings and the configuration that they name. On the
// platform the configuration comes from the store instead.
func loadSettings(path string) (configurer.Process, configurer.Configuration, error) {
	p, err := configurer.ReadProcess(path)
	if err != nil {
		return p, configurer.Configuration{}, cli.Exit(err.Error(), exitSettings)
	}
	if p.Platform != nil {
		return p, configurer.Configuration{}, nil
	}
	c, err := configurer.ReadConfiguration(p.Configuration)
	if err != nil {
		return p, c, cli.Exit(err.Error(), exitSettings)
	}
	return p, c, nil
}

func check(_ context.Context, c *cli.Command) error {
	p, configuration, err := loadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s %s, %d services, no errors\n", c.String("settings"), p.Role, p.Name, len(configuration.Services))
	fmt.Printf("limits: %s\n", limiter.NewBudget(limitSettings(p)))
	return nil
}
