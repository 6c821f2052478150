package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/operator"
)

// fetchAll reads the page at path from each process given by --operator. If a
// process does not answer, it prints the error to standard error. It fails if none
// answers.
func fetchAll[T any](ctx context.Context, c *cli.Command, path string) ([]T, error) {
	var all []T
	for _, address := range c.StringSlice("operator") {
		var v T
		if err := operator.Get(ctx, address, path, &v); err != nil {
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

// viewCommand returns a command that fetches a page from each process and prints it
// as JSON or with print.
func viewCommand[T any](name, alias, usage, path string, print func(T)) *cli.Command {
	c := &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{operatorFlag(), jsonFlag()}, Action: pageAction(path, print)}
	if alias != "" {
		c.Aliases = []string{alias}
	}
	return c
}

// pageAction returns an action that fetches the page at path from each process and
// prints it as JSON or with print.
func pageAction[T any](path string, print func(T)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		all, err := fetchAll[T](ctx, c, path)
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
