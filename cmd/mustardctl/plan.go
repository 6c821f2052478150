package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/server"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", ArgsUsage: "FILE", Usage: "explain where a job would go now, without submitting it",
		Description: "FILE holds {\"host\": HOST, \"path\": PATH, \"job\": JOB}, with JOB as callers submit it on the users'\n" +
			"platform and the path of its route, or {\"service\": NAME, \"job\": JOB}, or JOB alone together with flags.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Usage: "operator `ADDRESS` of an entry", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the route, instead of that in FILE"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the route or the job, instead of that in FILE"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service, instead of a route"},
			jsonFlag(),
		},
		Action: plan,
	}
}

func plan(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return cli.Exit("expected one file", exitUsage)
	}
	r, err := planRequest(c, c.Args().First())
	if err != nil {
		return withExitCode(err, exitUsage)
	}
	v, err := operator.RequestPlan(ctx, c.String("operator"), r)
	var refusal *operator.Refusal
	if errors.As(err, &refusal) {
		return withExitCode(err, exitRefused)
	}
	if err != nil {
		return withExitCode(err, exitFailed)
	}
	if wantsJSON(c) {
		return printJSON(v)
	}
	return printPlan(os.Stdout, v)
}

// planRequest reads the request in a file. Flags take precedence over it.
func planRequest(c *cli.Command, name string) (server.PlanRequest, error) {
	var r server.PlanRequest
	f, err := os.Open(name)
	if err != nil {
		return r, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, operator.MaxPlanBytes+1))
	switch {
	case err != nil:
		return r, err
	case len(data) > operator.MaxPlanBytes:
		return r, errors.Errorf("%s is larger than %d KiB", name, operator.MaxPlanBytes>>10)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, name)
	}
	if len(r.Job) == 0 {
		r = server.PlanRequest{Job: bytes.TrimSpace(data)}
	}
	if c.IsSet("service") {
		r.Service, r.Host, r.Path = c.String("service"), "", ""
	}
	if c.IsSet("host") || c.IsSet("path") {
		r.Service = c.String("service") // both is an error of the request
	}
	r.Host, r.Path = cmp.Or(c.String("host"), r.Host), cmp.Or(c.String("path"), r.Path)
	if r.Service == "" && (r.Host == "" || r.Path == "") {
		return r, errors.Errorf("%s: host and path of the route, or the service, are missing", name)
	}
	if r.Service != "" && r.Host+r.Path != "" {
		return r, errors.Errorf("%s: expected either the service or host and path", name)
	}
	return r, nil
}

// printPlan prints a plan as text with a table of the agents.
func printPlan(w io.Writer, v server.PlanView) error {
	fmt.Fprintln(w, planVerdict(v))
	fmt.Fprintf(w, "service %s%s, tasks %d, estimate %s, priority %d%s; jobs ahead %d, queue drains in %s%s\n",
		v.Service, formatIf(v.Route != "", ", route "+v.Route), v.Tasks, formatMillis(v.EstimateMillis), v.Priority,
		formatIf(v.DueMillis > 0, ", due in "+formatMillis(v.DueMillis)), v.Ahead, formatOptionalMillis(v.DrainMillis),
		formatIf(v.MaxWaitMillis != nil, ", refused if nothing starts within "+formatOptionalMillis(v.MaxWaitMillis)))
	if p := v.Place; p != nil {
		fmt.Fprintf(w, "data at %s: expected wait %s and run %s there, against run %s on %s now: waiting %s, the task %s\n",
			p.Label, formatMillis(p.WaitMillis), formatMillis(p.NearMillis), formatMillis(p.RemoteMillis), p.Elsewhere,
			choose(p.Pays, "pays", "does not pay"), choose(p.Waits, "waits", "does not wait"))
	}
	if len(v.Agents) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AGENT\tZONE\tFREE CORES\tSPEED\tNEAR\tRUN\tEND\tCOST\tTASKS\tSTATE\tPROFILE")
	for _, a := range v.Agents {
		fmt.Fprintf(t, "%s\t%s\t%s of %s\t%.2f\t%s\t%s\t%s\t%.3f\t%d\t%s\t%s\n", a.Agent, cmp.Or(a.Zone, "-"), formatCores(a.FreeCapacity.CPU),
			formatCores(a.Capacity.CPU), relativeSpeed(a.Slowness), choose(a.Near, "yes", "no"), formatMillis(a.RunMillis), formatOptionalMillis(a.EndMillis),
			a.Cost, a.Tasks, planState(a), cmp.Or(formatProfile(a.Profile), "-"))
	}
	return t.Flush()
}

// planVerdict says in one line what happens to the job.
func planVerdict(v server.PlanView) string {
	switch v.Decision {
	case server.PlanStarts:
		if v.Starts < v.Tasks {
			return fmt.Sprintf("starts: the next task goes to %s, %d of %d tasks start now, the others wait: %s", v.Next, v.Starts, v.Tasks, holdText(v))
		}
		return fmt.Sprintf("starts: the next task goes to %s, all %d tasks start now", v.Next, v.Tasks)
	case server.PlanWaits:
		return "waits: " + holdText(v)
	case server.PlanJoins:
		return "joins: an unfinished job has the same name"
	case server.PlanRefused:
		return fmt.Sprintf("refused: %s%s", v.Cause, formatIf(v.RetryAfterMillis > 0, ", retry after "+formatMillis(v.RetryAfterMillis)))
	}
	return string(v.Decision) + ": " + cmp.Or(v.Cause, string(v.Outcome))
}

// holdText says why tasks of the job wait.
func holdText(v server.PlanView) string {
	switch {
	case v.HeldBack:
		return "tasks of an earlier copy of the job may run"
	case v.Undecided:
		return "it is undecided whether a task is given up after losses of backend servers"
	}
	switch v.Hold {
	case dispatcher.HoldNoAgent:
		return "no agent can start one now"
	case dispatcher.HoldPlace:
		return "for capacity near the data"
	case dispatcher.HoldQueue:
		return "other jobs come first"
	case dispatcher.HoldRetry:
		return "for an agent that is known to succeed"
	}
	return string(v.Hold)
}

// planState describes why a task cannot start on the agent, or what restricts its tasks.
func planState(a coordinator.PlanAgent) string {
	switch {
	case a.Obstacle == dispatcher.ObstacleSuspended:
		return fmt.Sprintf("%s for %s", a.Obstacle, formatMillis(a.SuspendedMillis))
	case a.Obstacle != "":
		return string(a.Obstacle) + formatIf(a.Cold, ", cold")
	case a.Cold:
		return "ok, cold"
	case a.OnProbation:
		return "ok, on probation"
	case a.ConsecutiveFailures > 0:
		return fmt.Sprintf("ok, %d failures in a row", a.ConsecutiveFailures)
	}
	return "ok"
}

// formatOptionalMillis formats milliseconds that may be unknown.
func formatOptionalMillis(ms *int64) string {
	if ms == nil {
		return "-"
	}
	return formatMillis(*ms)
}

// formatIf returns text if the condition holds, else the empty string.
func formatIf(condition bool, text string) string { return choose(condition, text, "") }

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
