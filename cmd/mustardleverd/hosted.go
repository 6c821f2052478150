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

// Timing on the platform. A caller that gets no answer resends its job after
// 1.3 s to any entry. No task of the first submission may still be running then.
// Therefore an agent stops the tasks of an entry from which it received nothing
// for hostedSessionTimeout, and leases are not extended beyond hostedOwnerTimeout after
// the last contact with it. A task is not started if it might hold a lease of other tasks
// for longer than hostedStartTimeout after that contact.
const (
	hostedHeartbeat         = 100 * time.Millisecond
	hostedConnectionTimeout = 300 * time.Millisecond
	hostedOwnerTimeout      = 1000 * time.Millisecond // after the last contact with an entry; leases of its tasks end by then
	hostedStartTimeout      = 1250 * time.Millisecond // after the last contact with an entry; a task that might run longer is not started for it
	hostedSessionTimeout    = 600 * time.Millisecond
	hostedLease             = 700 * time.Millisecond
	hostedDialTimeout       = 250 * time.Millisecond // a machine without power does not answer; a running one answers within 10 ms
	hostedStopTime          = 200 * time.Millisecond // for an agent to check its sessions and stop the running tasks
	hostedRenewalCutoff     = 200 * time.Millisecond // how long an agent keeps renewing leases without an answer from the backend server
	hostedDefaultDeadline   = 30 * time.Second       // of a job whose caller sets none
	hostedUsefulFactor      = 3.0                    // multiple of the time until a job is due after which its caller has no use for an answer; defined by the platform
	maxEntries              = 6                      // connections that a process keeps to entries
	peerHeartbeat           = 300 * time.Millisecond // between entries, which run no tasks for each other
	peerConnectionTimeout   = 900 * time.Millisecond
	peerSessionTimeout      = 1500 * time.Millisecond
	storeTimeout            = 700 * time.Millisecond // of a single call without retries
	abortMargin             = 500 * time.Millisecond // before the end of a graceful shutdown; then an entry aborts and answers its unfinished jobs, and an agent stops draining

	headerTimeout  = 3 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// hostedMessengerSettings returns the session timeouts of processes on the platform.
func hostedMessengerSettings() messenger.Settings {
	return messenger.Settings{
		Agents:     messenger.Timing{Heartbeat: hostedHeartbeat, ConnectionTimeout: hostedConnectionTimeout, SessionTimeout: hostedSessionTimeout},
		Entries:    messenger.Timing{Heartbeat: peerHeartbeat, ConnectionTimeout: peerConnectionTimeout, SessionTimeout: peerSessionTimeout},
		MaxEntries: maxEntries, DialTimeout: hostedDialTimeout, MaxRedialDelay: hostedDialTimeout,
	}
}

// process is implemented by server.Entry and server.Agent.
type process interface {
	AddEntries(addresses []string)
	Peers() []protocol.Identity
}

// newStore returns a client of the platform's store.
func newStore(p configurer.Process, log *logrus.Entry, metrics *counter.Counter) *platform.Store {
	store := platform.NewStore(p.Platform.StoreAddress)
	store.Log, store.ObserveCall, store.ObserveReceived = log, metrics.ObserveStoreCall, metrics.ObserveStoreReceived
	return store
}

// newRegistrar returns the registrar, which discovers entries through the store. An
// entry also registers itself; self is nil for an agent.
func newRegistrar(store *platform.Store, self *registrar.Registration, p process, log *logrus.Entry) *registrar.Registrar {
	return &registrar.Registrar{
		Self: self, List: store.ListEntries, Write: store.WriteEntry, Remove: store.RemoveEntry,
		AddEntries: p.AddEntries, Log: log,
		Disconnected: func() bool {
			return !slices.ContainsFunc(p.Peers(), func(i protocol.Identity) bool { return i.Role == protocol.RoleEntry })
		},
	}
}
