//go:build baseline

package main

import "mustardlever.dev/mustardlever/dispatcher"

// baselineName is set by the linker: -ldflags=-X=main.baselineName=random.
var baselineName string

// baseline is the policy to compare with.
var baseline = dispatcher.Baseline(baselineName)
