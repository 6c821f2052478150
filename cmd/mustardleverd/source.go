package main

import (
	"expvar"

	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

func entrySource(e *server.Entry, r *recorder.Recorder, metrics *counter.Counter) operator.Source {
	return operator.Source{
		Metrics: metrics.Write,
		Process: func() operator.Process {
			return operator.Process{
				Identity: e.Identity(), Ready: e.Ready(), Traffic: operator.ReadTraffic(e.Traffic()),
				Peers: e.Peers(), EventsDropped: r.Dropped(),
			}
		},
		Services: e.Services,
		Jobs:     e.Jobs,
		Recorder: r,
	}
}

func agentSource(a *server.Agent, r *recorder.Recorder, metrics *counter.Counter) operator.Source {
	return operator.Source{
		Metrics: metrics.Write,
		Process: func() operator.Process {
			return operator.Process{
				Identity: a.Identity(), Ready: a.Ready(), Traffic: operator.ReadTraffic(a.Traffic()),
				Peers: a.Peers(), RunCount: a.RunCount(), EventsDropped: r.Dropped(),
			}
		},
		Recorder: r,
	}
}

// publishVariables publishes the expvar variables "traffic", the traffic
// counters, and "events-dropped", the number of events that were overwritten by
// newer ones.
func publishVariables(t *messenger.Traffic, r *recorder.Recorder) {
	expvar.Publish("traffic", expvar.Func(func() any { return operator.ReadTraffic(t) }))
	expvar.Publish("events-dropped", expvar.Func(func() any { return r.Dropped() }))
}
