package protocol

import (
	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/estimator"
)

// Backlog (entry to agent) reports the work that waits at the sender. While entries
// share their demand, it comes with each start, at intervals while work waits, and once
// when none does any more.
type Backlog = dispatcher.Backlog

// Demand (entry to entry) is the demand for a service at one entry. A message has that of
// the sender and some that the sender has learned of.
type Demand = estimator.Demand
