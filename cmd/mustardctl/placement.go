package main

import (
	"fmt"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/server"
)

// printPlacement prints the waits of a service's jobs and the use of profiles, if there
// were any.
func printPlacement(v server.ServiceView) {
	if w := v.Counts.Locality; w != (dispatcher.WaitCounts{}) {
		fmt.Printf("  waits for capacity near data: %d now, %d begun, %d paid off, %d given up\n", w.Waiting, w.Begun, w.PaidOff, w.GivenUp)
	}
	if p := v.Counts.Profiles; p != (dispatcher.ProfileCounts{}) {
		fmt.Printf("  profiles: %d known, %d in use, %d agents excluded; waits of failed tasks: %d now, %d begun, %d paid off, %d given up\n",
			p.Known, p.InUse, p.Excluded, p.Retries.Waiting, p.Retries.Begun, p.Retries.PaidOff, p.Retries.GivenUp)
	}
}

// formatProfile describes the profile that an agent reported. It is empty without one.
func formatProfile(p *profiler.Profile) string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf("slowness %d%%, failures %d%% of %d recent runs", p.SlownessPercent, p.FailurePercent, p.Samples)
}
