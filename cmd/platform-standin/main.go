// Command platform-standin runs stand-ins of the platform's table service and
// object store, and of backend servers, for trials on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/internal/standin"
)

const description = `Examples:
  platform-standin --platform 127.0.0.1:7900 --backend 127.0.0.1:9001 --backend 127.0.0.1:9002
  curl -X PUT -d '{"down":true}' http://127.0.0.1:7900/v1/faults

Faults: down, slow-ms, lose-reply (writes take effect, their replies are lost).
A backend server answers GET /starts with the starts of each task id.`

func main() {
	command := &cli.Command{
		Name:        "platform-standin",
		Usage:       "run stand-ins of the platform and of backend servers",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the table service and object store"},
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
	if a := c.String("platform"); a != "" {
		p := new(standin.Platform)
		if err := p.Start(a); err != nil {
			return err
		}
		defer p.Stop()
		fmt.Println("platform at", p.Address())
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
	return nil
}
