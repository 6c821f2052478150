package main

import (
	"expvar"

	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

func entrySource(e *server.Entry, r *recorder.Recorder, n *counter.Counter) operator.Source {
	return operator.Source{
		Metrics: n.Write,
		Process: func() operator.Process {
			return operator.Process{
				Identity: e.Identity(), Ready: e.Ready(), Traffic: operator.Read(e.Traffic()),
				Peers: e.Peers(), Dropped: r.Dropped(),
			}
		},
		Services: e.Services,
		Jobs:     e.Jobs,
		Recorder: r,
	}
}

func agentSource(a *server.Agent, r *recorder.Recorder, n *counter.Counter) operator.Source {
	return operator.Source{
		Metrics: n.Write,
		Process: func() operator.Process {
			return operator.Process{
				Identity: a.Identity(), Ready: a.Ready(), Traffic: operator.Read(a.Traffic()),
				Peers: a.Peers(), Running: a.Running(), Dropped: r.Dropped(),
			}
		},
		Recorder: r,
	}
}

// publish offers the traffic counters as the metric "traffic" and the number
// of events that made room for newer ones as "events-dropped".
func publish(t *messenger.Traffic, r *recorder.Recorder) {
	expvar.Publish("traffic", expvar.Func(func() any { return operator.Read(t) }))
	expvar.Publish("events-dropped", expvar.Func(func() any { return r.Dropped() }))
}
