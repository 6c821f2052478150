//go:build !baseline

package main

import "mustardlever.dev/mustardlever/dispatcher"

// baseline is none in what is delivered.
const baseline dispatcher.Baseline = ""
