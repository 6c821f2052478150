//go:build !baseline

package main

import "mustardlever.dev/mustardlever/dispatcher"

// baseline is empty in release builds: the dispatcher uses its own policy.
const baseline dispatcher.Baseline = ""
