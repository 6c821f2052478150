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
	end := time.Now().Add(f.For + slack)
	disturb := func(list ...*process) {
		for _, p := range list {
			p.disturb(end)
		}
	}
	wait := func() { time.Sleep(f.For) }
	relay := func(r *relayer.Relay, x relayer.Faults, peers ...string) {
		r.Set(x, peers...)
		wait()
		r.Set(relayer.Faults{}, peers...)
	}
	switch f.Kind {
	case KillEntry, KillAgent, KillEntries, KillAll:
		list := map[Kind][]*process{KillEntry: {e}, KillAgent: {a}, KillEntries: k.entries, KillAll: k.processes()}[f.Kind]
		disturb(list...)
		k.restart(list, wait)
	case FreezeEntry, FreezeAgent:
		p := map[Kind]*process{FreezeEntry: e, FreezeAgent: a}[f.Kind]
		disturb(p)
		p.signal(syscall.SIGSTOP, false)
		wait()
		p.signal(syscall.SIGCONT, false)
	case StopEntry, StopAgent:
		p := map[Kind]*process{StopEntry: e, StopAgent: a}[f.Kind]
		p.disturb(time.Now().Add(stopTimeout + slack))
		k.stopAsPlanned(p)
	case HangUp:
		e.signal(syscall.SIGHUP, false)
	case CutLinks, LoseLinksIn, LoseLinksOut, StallLinks, DelayLinks, CutPair:
		disturb(e)
		names := k.names()
		if f.Kind == CutPair {
			names = []string{a.name}
		}
		relay(&e.links, linkFaults(f), names...)
	case ResetLinks:
		disturb(e)
		e.links.Reset()
	case ResetFront:
		e.front.Reset()
	case StallFront:
		relay(&e.front, relayer.Faults{StallIn: true, StallOut: true})
	case CutServer, LoseServerIn, LoseServerOut, StallServer, DelayServer:
		disturb(a)
		relay(&a.server, linkFaults(f))
	case ResetServer:
		a.server.Reset()
	case CrashServer:
		disturb(a)
		a.executor.Crash()
	case SilenceServer, DeafServer:
		disturb(a)
		set := map[Kind]func(bool){SilenceServer: a.executor.SetSilent, DeafServer: a.executor.SetDeaf}[f.Kind]
		set(true)
		wait()
		set(false)
	case LoseReports:
		disturb(a)
		relay(&a.reports, relayer.Faults{Refuse: true})
	case StoreDown, StoreSlow, StoreReplies, StoreHistory:
		disturb(k.processes()...)
		k.store.SetFaults(map[Kind]standin.Faults{
			StoreDown: {Down: true}, StoreSlow: {SlowMillis: int(f.Delay.Milliseconds())},
			StoreReplies: {LoseReply: true}, StoreHistory: {Forget: true},
		}[f.Kind])
		wait()
		k.store.SetFaults(standin.Faults{})
	case CutStore:
		p := k.processes()[(f.Entry+f.Agent)%len(k.processes())]
		disturb(p)
		relay(&p.store, relayer.Faults{Refuse: true})
	case Configure:
		k.changeConfiguration()
	}
}

// linkFaults says what happens to connections under a kind.
func linkFaults(f Fault) relayer.Faults {
	switch f.Kind {
	case LoseLinksIn, LoseServerIn:
		return relayer.Faults{LoseIn: true}
	case LoseLinksOut, LoseServerOut:
		return relayer.Faults{LoseOut: true}
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
func (k *soak) restart(list []*process, wait func()) {
	for _, p := range list {
		p.kill()
	}
	wait()
	for _, p := range list {
		if err := p.start(); err != nil {
			k.broken("start %s: %v", p.name, err)
		}
	}
}

// stopAsPlanned has a process end as planned, and starts it again.
func (k *soak) stopAsPlanned(p *process) {
	told := time.Now()
	if !p.stop() {
		k.late(span{told, time.Now()}, "%s did not end %s after it was told to", p.name, stopTimeout)
		p.kill()
	}
	if err := p.start(); err != nil {
		k.broken("start %s: %v", p.name, err)
	}
}
