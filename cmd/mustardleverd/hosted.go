package main

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/counter"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/platform"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/registrar"
)

// Timing on the platform. A caller that gets no answer sends its job again
// after 1.3 s, at any entry, and nothing of the first copy may run then: an
// agent stops the tasks of an entry that has been silent for hostedLost, and
// all tasks end by themselves hostedLease after the agent held them last.
const (
	hostedHeartbeat = 100 * time.Millisecond
	hostedDead      = 300 * time.Millisecond
	hostedSuspect   = 300 * time.Millisecond // an entry's silence after which leases are not renewed for it: three heartbeats
	hostedLost      = 600 * time.Millisecond
	hostedLease     = 700 * time.Millisecond
	hostedDial      = 250 * time.Millisecond // a machine without power does not answer; one that is there does within 10 ms
	hostedStopping  = 200 * time.Millisecond // an agent's look at its sessions and the stop of what runs
	hostedRenewing  = 200 * time.Millisecond // an agent renews leases so long without an answer
	hostedDeadline  = 30 * time.Second       // of a job whose caller names none
	hostedUseful    = 3.0                    // times its due time after which a job's answer is of no use, as the platform states it
	storeTimeout    = 700 * time.Millisecond // of one call that is not repeated
	stopAnswers     = 500 * time.Millisecond // before the end of a planned stop: what is unfinished is told so

	headerTimeout  = 3 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

func hostedTiming() messenger.Settings {
	t := messenger.Timing{Heartbeat: hostedHeartbeat, ConnectionTimeout: hostedDead, SessionTimeout: hostedLost}
	return messenger.Settings{Agents: t, Entries: t, DialTimeout: hostedDial, MaxRedial: hostedDial}
}

// process is an entry or an agent.
type process interface {
	AddEntries(addresses []string)
	Peers() []protocol.Identity
}

// newStore returns the process's client of the platform's store.
func newStore(p configurer.Process, log *logrus.Entry, n *counter.Counter) *platform.Store {
	s := platform.NewStore(p.Platform.Store)
	s.Log, s.ObserveCall = log, n.ObserveStoreCall
	return s
}

// newRegistrar returns what finds entries through the store.
func newRegistrar(store *platform.Store, self *registrar.Registration, p process, log *logrus.Entry) *registrar.Registrar {
	return &registrar.Registrar{
		Self: self, List: store.ListEntries, Write: store.WriteEntry, Remove: store.RemoveEntry,
		AddEntries: p.AddEntries, Log: log,
		Disconnected: func() bool {
			return !slices.ContainsFunc(p.Peers(), func(i protocol.Identity) bool { return i.Role == protocol.RoleEntry })
		},
	}
}
