// Command mustardleverd is mustardlever's daemon: an entry or an agent, by its
// settings, or a whole small system in one process (dev).
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/configurer"
)

// Exit codes.
const (
	exitFailed   = 1 // the daemon failed
	exitSettings = 2 // the settings or the configuration are wrong
)

const description = `Examples:
  mustardleverd dev --demo                       one job through a whole system on this machine
  mustardleverd check --settings entry.json      check settings and configuration
  mustardleverd run --settings entry.json        run an entry or an agent

Exit codes: 0 stopped as planned, 1 failed, 2 wrong settings.`

func main() {
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true,
		Sources: cli.EnvVars("MUSTARDLEVER_SETTINGS")}
	command := &cli.Command{
		Name:        "mustardleverd",
		Usage:       "dispatch short tasks to backend servers",
		Description: description,
		Commands: []*cli.Command{
			{Name: "run", Usage: "run an entry or an agent", Flags: []cli.Flag{settings}, Action: run},
			{Name: "check", Usage: "check settings and configuration, and stop", Flags: []cli.Flag{settings}, Action: check},
			{Name: "dev", Usage: "run a whole small system in this process", Flags: devFlags(), Action: dev},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mustardleverd:", err)
		os.Exit(exitFailed)
	}
}

func load(path string) (configurer.Process, configurer.Configuration, error) {
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
	p, configuration, err := load(c.String("settings"))
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s %s, %d services: no mistakes\n", c.String("settings"), p.Role, p.Name, len(configuration.Services))
	return nil
}
