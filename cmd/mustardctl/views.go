package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/server"
	"mustardlever.dev/mustardlever/sizer"
)

// viewCommands returns the commands that show the current state of processes.
func viewCommands() []*cli.Command {
	return []*cli.Command{
		viewCommand("process", "", "show processes, their number of peers and their traffic", "/v1/process", printProcess),
		viewCommand("services", "", "show services and their agents, as each entry sees them", "/v1/services", printServices),
		viewCommand("jobs", "", "show the unfinished jobs of entries, oldest first", "/v1/jobs", printJobs),
		viewCommand("configuration", "config", "show the current configuration of entries, its version and age", "/v1/configuration", printConfiguration),
		viewCommand("backend-servers", "executors", "show the backend servers of agents, their leases and running tasks", "/v1/backend-server", printBackendServer),
	}
}

func printProcess(p operator.Process) {
	fmt.Printf("%-8s %-28s %-14s ready %-5t peers %-3d running %-4d frames in %d out %d bytes in %d out %d\n",
		p.Identity.Role, p.Identity.Incarnation, p.Identity.Zone, p.Ready, len(p.Peers), p.RunCount,
		p.Traffic.FramesIn, p.Traffic.FramesOut, p.Traffic.BytesIn, p.Traffic.BytesOut)
}

func printServices(views []server.ServiceView) {
	for _, v := range views {
		fmt.Printf("%-20s agents %d, suspect %d, jobs %d, unfinished %d, waiting tasks %d, free cores %s\n",
			v.Service, v.Counts.Agents, v.Counts.SuspectAgents, v.Counts.Jobs, v.Counts.Unfinished, v.Counts.Waiting, formatCores(v.Counts.FreeMillicores))
		printPlacement(v)
		printZones(v)
		if d := v.Counts.SharedDemand; d != nil {
			fmt.Printf("  demand of %d entries, oldest %d ms, decides: %v; start by priority in ms %v, shed share %.2f\n",
				d.Entries, d.OldestAgeMillis, d.Decides, d.StartMillis, d.ShedShare)
		}
		for _, a := range v.Agents {
			fmt.Printf("  %-28s %-22s %-10s running %-4d free cores %s of %s, heard %s ago, speed %.2f%s%s\n", a.Agent, a.Address, a.Zone, a.Running,
				formatCores(a.FreeCapacity.CPU), formatCores(a.Capacity.CPU), formatMillis(a.LastContactMillis), relativeSpeed(a.Slowness), formatHealth(a), formatIf(a.Profile != nil, ", profile: "+formatProfile(a.Profile)))
		}
	}
}

// printZones prints the zones of a service's agents and the evacuated zones, with the
// number of agents in each.
func printZones(v server.ServiceView) {
	agents := make(map[string]int)
	for _, a := range v.Agents {
		agents[a.Zone]++
	}
	for _, zone := range v.EvacuatedZones {
		agents[zone] += 0
	}
	for _, zone := range slices.Sorted(maps.Keys(agents)) {
		state := "in use"
		if slices.Contains(v.EvacuatedZones, zone) {
			state = "evacuated"
		}
		fmt.Printf("  zone %s: %s, agents %d\n", cmp.Or(zone, "(none)"), state, agents[zone])
	}
}

// formatHealth describes what restricts the tasks that an agent gets. It is empty
// for a healthy agent.
func formatHealth(a server.AgentView) string {
	switch {
	case a.Draining:
		return ", leaving"
	case a.Evacuated:
		return ", evacuated"
	case a.SuspendedMillis > 0:
		return fmt.Sprintf(", paused for %s after %d failures", formatMillis(a.SuspendedMillis), a.ConsecutiveFailures)
	case a.Excluded:
		return ", excluded since its runs fail"
	case a.OnProbation:
		return ", on trial"
	case a.ConsecutiveFailures > 0:
		return fmt.Sprintf(", %d failures in a row", a.ConsecutiveFailures)
	}
	return ""
}

// relativeSpeed returns the inverse of slowness, or 0 if slowness is not positive.
func relativeSpeed(slowness float64) float64 {
	if slowness <= 0 {
		return 0
	}
	return 1 / slowness
}

func printJobs(views []server.JobsView) {
	for _, v := range views {
		fmt.Printf("%-20s unfinished %d, shown %d\n", v.Service, v.Unfinished, len(v.Jobs))
		for _, j := range v.Jobs {
			fmt.Printf("  %-18s age %s, due %s, tasks %d: waiting %d, sent %d, ran %d, lapsing %d, unknown %d; starts %d%s\n",
				jobName(j), formatMillis(j.AgeMillis), formatDue(j), j.Tasks, j.Waiting, j.Sent, j.Ran, j.LeaseExpiring, j.Unknown, j.Starts, formatStopping(j))
		}
	}
}

func jobName(j coordinator.JobView) string {
	if j.Name != "" {
		return j.Name
	}
	return j.Owner + "/" + strconv.FormatUint(j.Sequence, 10)
}

// formatDue describes the time until or since a job's due time.
func formatDue(j coordinator.JobView) string {
	switch {
	case j.DueMillis == nil:
		return "not set"
	case *j.DueMillis < 0:
		return formatMillis(-*j.DueMillis) + " ago"
	}
	return "in " + formatMillis(*j.DueMillis)
}

func formatStopping(j coordinator.JobView) string {
	if j.StopReason == "" {
		return ""
	}
	return ", stopping: " + j.StopReason
}

func printConfiguration(v server.ConfigurationView) {
	if v.Version == 0 {
		fmt.Println("no configuration yet")
		return
	}
	fmt.Printf("version %d, adopted %s ago from %s, %d bytes, %d routes\n", v.Version, formatMillis(v.AgeMillis), v.Source, v.Bytes, len(v.Routes))
	for peer, version := range v.Peers {
		fmt.Printf("  %s has version %d\n", peer, version)
	}
	for _, r := range v.Routes {
		fmt.Printf("  %-20s %s%s to %s, priority %d, attempts %d, allowed time %.1f x critical path + %s\n",
			r.Name, r.Host, r.Prefix, r.Service, r.Priority, r.MaxAttempts, r.Stretch, r.Allowance)
	}
}

func printBackendServer(v executor.View) {
	if v.ReportAgeMillis < 0 {
		fmt.Println("no backend server has reported yet")
		return
	}
	fmt.Printf("%s of %s at %s, offered %t, report %s ago, answered %s ago, clean %t, silent %t, renewing %t, lease left %s, %s\n",
		v.ID, v.Service, v.Address, v.Offered, formatMillis(v.ReportAgeMillis), formatMillis(v.LastContactMillis), v.Reconciled, v.Unresponsive, v.Renewing, formatMillis(v.LeaseLeftMillis), formatResources(v.Capacity))
	if v.WarmUpMillis > 0 {
		fmt.Printf("  cold: admits %.0f%% of its capacity and %d tasks above that, warm in %s\n", 100*v.AdmittedShare, v.WarmUpSlack, formatMillis(v.WarmUpMillis))
	}
	for _, r := range v.Runs {
		fmt.Printf("  %-24s run %d %s for %s, stopping %t\n", r.Task, r.Number, r.State, formatMillis(r.AgeMillis), r.Stopping)
	}
}

func formatResources(r sizer.Resources) string {
	return fmt.Sprintf("%s cores, %d MiB, %d accelerators", formatCores(r.CPU), r.Memory, r.GPU)
}

func formatCores(millicores int) string {
	return strconv.FormatFloat(float64(millicores)/1000, 'f', 1, 64)
}

// formatMillis formats milliseconds; a negative value means never.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
