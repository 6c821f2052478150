//go:build baseline

package main

import "mustardlever.dev/mustardlever/dispatcher"

// baselineName is set at link time with -ldflags=-X=main.baselineName=random.
var baselineName string

// baseline is the dispatch policy that the dispatcher's own is compared with.
var baseline = dispatcher.Baseline(baselineName)
