package main

import (
	"fmt"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/server"
)

// printPlacement prints the waits of a service's jobs for capacity near their data, if
// there were any.
func printPlacement(v server.ServiceView) {
	if w := v.Counts.Locality; w != (dispatcher.LocalityCounts{}) {
		fmt.Printf("  waits for capacity near data: %d now, %d begun, %d paid off, %d given up\n", w.Waiting, w.Begun, w.PaidOff, w.GivenUp)
	}
}
