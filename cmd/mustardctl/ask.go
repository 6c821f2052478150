package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/operator"
)

// collect reads a page of every process named. Processes that do not answer
// are named on standard error; it errors when none answers.
func collect[T any](ctx context.Context, c *cli.Command, path string) ([]T, error) {
	var all []T
	for _, a := range c.StringSlice("operator") {
		var v T
		if err := operator.Get(ctx, a, path, &v); err != nil {
			fmt.Fprintln(os.Stderr, "mustardctl:", err)
			continue
		}
		all = append(all, v)
	}
	if len(all) == 0 {
		return nil, cli.Exit("no process answered", exitFailed)
	}
	return all, nil
}

// viewCommand returns the command that shows a page of each process named, as
// JSON or by print.
func viewCommand[T any](name, alias, usage, path string, print func(T)) *cli.Command {
	c := &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{operatorFlag(), jsonFlag()}, Action: show(path, print)}
	if alias != "" {
		c.Aliases = []string{alias}
	}
	return c
}

// show collects a page and prints it, each part by print unless JSON is wanted.
func show[T any](path string, print func(T)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		all, err := collect[T](ctx, c, path)
		if err != nil {
			return err
		}
		if wantsJSON(c) {
			return printJSON(all)
		}
		for _, v := range all {
			print(v)
		}
		return nil
	}
}
