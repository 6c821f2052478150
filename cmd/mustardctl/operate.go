package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
	"mustardlever.dev/mustardlever/ticketer"
)

const askTimeout = 5 * time.Second

// get reads one page of a process into v.
func get(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s answered %s", address, path, p.Status)
	}
	return errors.Wrap(json.NewDecoder(p.Body).Decode(v), address)
}

// collect reads a page of every process named. Processes that do not answer
// are named on standard error; it errors when none answers.
func collect[T any](ctx context.Context, c *cli.Command, path string) ([]T, error) {
	var all []T
	for _, a := range c.StringSlice("operator") {
		var v T
		if err := get(ctx, a, path, &v); err != nil {
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

// show collects a page and prints it, each part by print unless --json is set.
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

func processCommand() *cli.Command {
	return &cli.Command{
		Name: "process", Usage: "show processes, their peers and traffic",
		Flags:  []cli.Flag{operatorFlag(), jsonFlag()},
		Action: show("/v1/process", printProcess),
	}
}

func printProcess(p operator.Process) {
	fmt.Printf("%-8s %-28s %-14s ready %-5t peers %-3d running %-4d frames in %d out %d bytes in %d out %d\n",
		p.Identity.Role, p.Identity.Incarnation, p.Identity.Zone, p.Ready, len(p.Peers), p.Running,
		p.Traffic.FramesIn, p.Traffic.FramesOut, p.Traffic.BytesIn, p.Traffic.BytesOut)
}

func servicesCommand() *cli.Command {
	return &cli.Command{
		Name: "services", Usage: "show services and their agents, as each entry sees them",
		Flags:  []cli.Flag{operatorFlag(), jsonFlag()},
		Action: show("/v1/services", printServices),
	}
}

func printServices(views []server.ServiceView) {
	for _, v := range views {
		fmt.Printf("%-20s agents %d, jobs %d, unfinished %d, waiting tasks %d, free cores %.1f\n",
			v.Service, v.Counts.Agents, v.Counts.Jobs, v.Counts.Active, v.Counts.Waiting, float64(v.Counts.RoomCPU)/1000)
		for _, a := range v.Agents {
			fmt.Printf("  %-28s %-22s running %-4d leaving %t\n", a.Agent, a.Address, a.Running, a.Leaving)
		}
	}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show the events of all processes in order, asked of them or read from their logs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operators' `ADDRESS` of a process; may be repeated"},
			logFlag(), jsonFlag(),
			&cli.StringFlag{Name: "job", Usage: "with --log: only lines of this job's `ID`"},
			&cli.StringFlag{Name: "ticket", Usage: "only the job of this `TICKET`"},
			&cli.StringFlag{Name: "service", Usage: "only this service"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	switch logs, operators := len(c.StringSlice("log")), len(c.StringSlice("operator")); {
	case logs > 0 && operators > 0:
		return cli.Exit("give either --operator or --log", exitUsage)
	case logs > 0:
		return timelineOfLogs(c)
	case operators == 0:
		return cli.Exit("give the processes to ask by --operator, or their logs by --log", exitUsage)
	}
	query := url.Values{"service": {c.String("service")}, "kind": {c.String("kind")}}
	if text := c.String("ticket"); text != "" {
		t, err := ticketer.Peek(text)
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		query.Set("owner", t.Owner)
		query.Set("number", fmt.Sprint(t.Sequence))
	}
	lists, err := collect[[]recorder.Event](ctx, c, "/v1/events?"+query.Encode())
	if err != nil {
		return err
	}
	events := recorder.Merge(lists...)
	if wantsJSON(c) {
		return printJSON(events)
	}
	for _, e := range events {
		fmt.Println(e)
	}
	return nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a base file with an overlay",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "base", Usage: "base `FILE`", Required: true},
			&cli.StringFlag{Name: "overlay", Usage: "overlay `FILE` of a site"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	files := configurer.Files{Base: c.String("base"), Overlay: c.String("overlay")}
	merged, err := configurer.ReadConfiguration(files)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if wantsJSON(c) {
		return printJSON(merged)
	}
	fmt.Printf("site %s: zones %s, %d services, no mistakes\n", merged.Site, strings.Join(merged.Zones, ", "), len(merged.Services))
	return nil
}
