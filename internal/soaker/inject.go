package soaker

import (
	"slices"
	"syscall"
	"time"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

// recoveryMargin is the time after the end of a fault for which a process still
// counts as disturbed, since it has to re-establish connections and sessions.
const recoveryMargin = 3 * time.Second

// inject injects a fault, waits for its duration and ends it.
func (k *soak) inject(f Fault) {
	entry, agent := k.entries[f.Entry%len(k.entries)], k.agents[f.Agent%len(k.agents)]
	switch f.Kind {
	case KillEntry:
		k.restart(f, entry)
	case KillAgent:
		k.restart(f, agent)
	case KillEntries:
		k.restart(f, k.entries...)
	case KillAll:
		k.restart(f, k.processes()...)
	case FreezeEntry:
		freeze(f, entry)
	case FreezeAgent:
		freeze(f, agent)
	case StopEntry:
		k.restartGracefully(entry)
	case StopAgent:
		k.restartGracefully(agent)
	case ReloadEntry:
		entry.signal(syscall.SIGHUP, false)
	case Configure:
		k.changeConfiguration()
	case StoreDown, StoreSlow, StoreLosesResponses, StoreDropsHistory:
		k.injectStore(f)
	case CrashServer, HangServer, IgnoreStops:
		injectServer(f, agent)
	case EvacuateZone, EvacuateZoneTwice:
		k.evacuate(f)
	case CrowdCallers, CrowdEntries, CrowdLinks, CrowdReports:
		k.injectCrowd(f, entry, agent)
	case LateCalls, HoldAnswers, LateReports, RestartSameID, RestartSameIDCut, RestartNewID, RestartNewIDCut, RestartSlowly:
		k.injectLiberties(f, agent)
	default:
		if slices.Contains(ReportFaultKinds(), f.Kind) {
			injectReports(f, agent)
			return
		}
		k.injectNetwork(f, entry, agent)
	}
}

// freeze suspends a process for the duration of the fault.
func freeze(f Fault, p *process) {
	p.markDisturbed(f.undisturbedAt())
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(f.Duration)
	p.signal(syscall.SIGCONT, false)
}

// injectStore injects a fault of the store, which affects all processes.
func (k *soak) injectStore(f Fault) {
	for _, p := range k.processes() {
		p.markDisturbed(f.undisturbedAt())
	}
	k.store.SetFaults(map[Kind]standin.Faults{
		StoreDown: {Down: true}, StoreSlow: {DelayMillis: int(f.Delay.Milliseconds())},
		StoreLosesResponses: {LoseResponse: true}, StoreDropsHistory: {DropHistory: true},
	}[f.Kind])
	time.Sleep(f.Duration)
	k.store.SetFaults(standin.Faults{})
}

// injectServer injects a fault of an agent's backend server.
func injectServer(f Fault, agent *process) {
	agent.markDisturbed(f.undisturbedAt())
	setFault := agent.executor.SetUnresponsive
	switch f.Kind {
	case CrashServer:
		agent.executor.Crash()
		return
	case IgnoreStops:
		setFault = agent.executor.SetIgnoreStops
	}
	setFault(true)
	time.Sleep(f.Duration)
	setFault(false)
}

// injectNetwork injects a fault of the connections of an entry or an agent, or of
// one process to the store.
func (k *soak) injectNetwork(f Fault, entry, agent *process) {
	switch f.Kind {
	case ResetCallers:
		entry.callerRelay.Reset()
	case StallCallers:
		injectRelay(f, &entry.callerRelay, relayer.Faults{StallIn: true, StallOut: true})
	case ResetLinks:
		entry.markDisturbed(f.undisturbedAt())
		entry.linkRelay.Reset()
	case CutPair:
		entry.markDisturbed(f.undisturbedAt())
		injectRelay(f, &entry.linkRelay, relayFaults(f), agent.name)
	case CutLinks, DropLinksIn, DropLinksOut, StallLinks, DelayLinks:
		entry.markDisturbed(f.undisturbedAt())
		injectRelay(f, &entry.linkRelay, relayFaults(f), k.processNames()...)
	case ResetServer:
		agent.serverRelay.Reset()
	case CutServer, DropServerIn, DropServerOut, StallServer, DelayServer:
		agent.markDisturbed(f.undisturbedAt())
		injectRelay(f, &agent.serverRelay, relayFaults(f))
	case CutReports:
		agent.markDisturbed(f.undisturbedAt())
		injectRelay(f, &agent.reportRelay, relayer.Faults{Refuse: true})
	case CutStore:
		p := k.processes()[(f.Entry+f.Agent)%len(k.processes())]
		p.markDisturbed(f.undisturbedAt())
		injectRelay(f, &p.storeRelay, relayer.Faults{Refuse: true})
	}
}

// injectRelay injects network faults into a relay for the duration of f, for the
// given peers, or for all if the relay does not identify peers.
func injectRelay(f Fault, r *relayer.Relay, faults relayer.Faults, peers ...string) {
	r.SetFaults(faults, peers...)
	time.Sleep(f.Duration)
	r.SetFaults(relayer.Faults{}, peers...)
}

// undisturbedAt returns when a process that the fault affects from now on counts as
// undisturbed again.
func (f Fault) undisturbedAt() time.Time { return time.Now().Add(f.Duration + recoveryMargin) }

// relayFaults returns the network faults that f injects into links or into the
// connections to a backend server.
func relayFaults(f Fault) relayer.Faults {
	switch f.Kind {
	case DropLinksIn, DropServerIn:
		return relayer.Faults{DropIn: true}
	case DropLinksOut, DropServerOut:
		return relayer.Faults{DropOut: true}
	case StallLinks, StallServer:
		return relayer.Faults{StallIn: true, StallOut: true}
	case DelayLinks, DelayServer:
		return relayer.Faults{Delay: f.Delay}
	}
	return relayer.Faults{Refuse: true}
}

// processNames returns the names of all processes, by which link relays identify
// peers.
func (k *soak) processNames() []string {
	var names []string
	for _, p := range k.processes() {
		names = append(names, p.name)
	}
	return names
}

// restart kills processes and starts them again after the duration of the fault.
func (k *soak) restart(f Fault, processes ...*process) {
	for _, p := range processes {
		p.markDisturbed(f.undisturbedAt())
		p.kill()
	}
	time.Sleep(f.Duration)
	for _, p := range processes {
		if err := p.start(); err != nil {
			k.recordViolation("start %s: %v", p.name, err)
		}
	}
}

// restartGracefully shuts a process down gracefully and starts it again. A process
// that does not exit in time violates a guarantee and is killed.
func (k *soak) restartGracefully(p *process) {
	stopRequested := time.Now()
	p.markDisturbed(stopRequested.Add(stopTimeout + recoveryMargin))
	if !p.stop() {
		k.recordTimingViolation(interval{stopRequested, time.Now()}, "%s did not exit within %s of SIGTERM", p.name, stopTimeout)
		p.kill()
	}
	if err := p.start(); err != nil {
		k.recordViolation("start %s: %v", p.name, err)
	}
}
