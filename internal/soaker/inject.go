package soaker

import (
	"syscall"
	"time"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

// slack is added to the end of a fault before a process counts as undisturbed:
// its connections and sessions come back after it.
const slack = 3 * time.Second

// inject has a fault happen, waits for its end, and ends it.
func (k *soak) inject(f Fault) {
	e, a := k.entries[f.Entry%len(k.entries)], k.agents[f.Agent%len(k.agents)]
	switch f.Kind {
	case KillEntry:
		k.restart(f, e)
	case KillAgent:
		k.restart(f, a)
	case KillEntries:
		k.restart(f, k.entries...)
	case KillAll:
		k.restart(f, k.processes()...)
	case FreezeEntry:
		freeze(f, e)
	case FreezeAgent:
		freeze(f, a)
	case StopEntry:
		k.stopAsPlanned(e)
	case StopAgent:
		k.stopAsPlanned(a)
	case HangUp:
		e.signal(syscall.SIGHUP, false)
	case Configure:
		k.changeConfiguration()
	case StoreDown, StoreSlow, StoreReplies, StoreHistory:
		k.injectStore(f)
	case CrashServer, SilenceServer, DeafServer:
		injectServer(f, a)
	default:
		k.injectNetwork(f, e, a)
	}
}

// freeze has a process stand still for a while.
func freeze(f Fault, p *process) {
	p.disturb(f.end())
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(f.For)
	p.signal(syscall.SIGCONT, false)
}

// injectStore has something be wrong with the store, which all processes use.
func (k *soak) injectStore(f Fault) {
	for _, p := range k.processes() {
		p.disturb(f.end())
	}
	k.store.SetFaults(map[Kind]standin.Faults{
		StoreDown: {Down: true}, StoreSlow: {SlowMillis: int(f.Delay.Milliseconds())},
		StoreReplies: {LoseReply: true}, StoreHistory: {Forget: true},
	}[f.Kind])
	time.Sleep(f.For)
	k.store.SetFaults(standin.Faults{})
}

// injectServer has something be wrong with an agent's executor.
func injectServer(f Fault, a *process) {
	a.disturb(f.end())
	set := a.executor.SetSilent
	switch f.Kind {
	case CrashServer:
		a.executor.Crash()
		return
	case DeafServer:
		set = a.executor.SetDeaf
	}
	set(true)
	time.Sleep(f.For)
	set(false)
}

// injectNetwork has something happen to connections of an entry or an agent.
func (k *soak) injectNetwork(f Fault, e, a *process) {
	switch f.Kind {
	case ResetFront:
		e.front.Reset()
	case StallFront:
		relay(f, &e.front, relayer.Faults{StallIn: true, StallOut: true})
	case ResetLinks:
		e.disturb(f.end())
		e.links.Reset()
	case CutPair:
		e.disturb(f.end())
		relay(f, &e.links, linkFaults(f), a.name)
	case CutLinks, LoseLinksIn, LoseLinksOut, StallLinks, DelayLinks:
		e.disturb(f.end())
		relay(f, &e.links, linkFaults(f), k.names()...)
	case ResetServer:
		a.server.Reset()
	case CutServer, LoseServerIn, LoseServerOut, StallServer, DelayServer:
		a.disturb(f.end())
		relay(f, &a.server, linkFaults(f))
	case LoseReports:
		a.disturb(f.end())
		relay(f, &a.reports, relayer.Faults{Refuse: true})
	case CutStore:
		p := k.processes()[(f.Entry+f.Agent)%len(k.processes())]
		p.disturb(f.end())
		relay(f, &p.store, relayer.Faults{Refuse: true})
	}
}

// relay has faults happen to connections for a while.
func relay(f Fault, r *relayer.Relay, x relayer.Faults, peers ...string) {
	r.Set(x, peers...)
	time.Sleep(f.For)
	r.Set(relayer.Faults{}, peers...)
}

// end is when a process that the fault happens to now is undisturbed again.
func (f Fault) end() time.Time { return time.Now().Add(f.For + slack) }

// linkFaults says what happens to connections under a kind.
func linkFaults(f Fault) relayer.Faults {
	switch f.Kind {
	case LoseLinksIn, LoseServerIn:
		return relayer.Faults{DropIn: true}
	case LoseLinksOut, LoseServerOut:
		return relayer.Faults{DropOut: true}
	case StallLinks, StallServer:
		return relayer.Faults{StallIn: true, StallOut: true}
	case DelayLinks, DelayServer:
		return relayer.Faults{Delay: f.Delay}
	}
	return relayer.Faults{Refuse: true}
}

// names are the names of all processes, by which links tell them apart.
func (k *soak) names() []string {
	var names []string
	for _, p := range k.processes() {
		names = append(names, p.name)
	}
	return names
}

// restart kills processes and starts them again after a while.
func (k *soak) restart(f Fault, list ...*process) {
	for _, p := range list {
		p.disturb(f.end())
		p.kill()
	}
	time.Sleep(f.For)
	for _, p := range list {
		if err := p.start(); err != nil {
			k.broken("start %s: %v", p.name, err)
		}
	}
}

// stopAsPlanned has a process end as planned, and starts it again.
func (k *soak) stopAsPlanned(p *process) {
	told := time.Now()
	p.disturb(told.Add(stopTimeout + slack))
	if !p.stop() {
		k.late(span{told, time.Now()}, "%s did not end %s after it was told to", p.name, stopTimeout)
		p.kill()
	}
	if err := p.start(); err != nil {
		k.broken("start %s: %v", p.name, err)
	}
}
