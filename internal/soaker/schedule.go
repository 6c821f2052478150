package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults. They affect processes, the links between entries and other
// processes, the callers' connections to an entry, an agent's connections to its
// backend server, and the store or the connections to it. The Cut kinds refuse and
// reset connections, the Drop kinds drop bytes in one direction, and the Stall kinds
// hold bytes back until the fault ends.
const (
	KillEntry           Kind = "kill-entry"
	FreezeEntry         Kind = "freeze-entry"
	StopEntry           Kind = "stop-entry" // graceful shutdown, followed by a restart
	ReloadEntry         Kind = "hang-up"    // SIGHUP: the entry rereads its settings
	KillAgent           Kind = "kill-agent"
	FreezeAgent         Kind = "freeze-agent"
	StopAgent           Kind = "stop-agent"
	KillEntries         Kind = "kill-all-entries"
	KillAll             Kind = "kill-all"
	CutLinks            Kind = "cut-links" // all links of one entry
	DropLinksIn         Kind = "lose-links-in"
	DropLinksOut        Kind = "lose-links-out"
	StallLinks          Kind = "stall-links"
	DelayLinks          Kind = "delay-links"
	ResetLinks          Kind = "reset-links"
	CutPair             Kind = "cut-pair" // the link between one entry and one agent
	ResetCallers        Kind = "reset-front"
	StallCallers        Kind = "stall-front"
	CutServer           Kind = "cut-server" // an agent's connections to its backend server
	DropServerIn        Kind = "lose-server-in"
	DropServerOut       Kind = "lose-server-out"
	StallServer         Kind = "stall-server"
	DelayServer         Kind = "delay-server"
	ResetServer         Kind = "reset-server"
	CrashServer         Kind = "crash-server"
	HangServer          Kind = "silence-server" // the backend server runs its tasks but answers no call
	IgnoreStops         Kind = "deaf-server"    // stop calls have no effect and get no answer
	CutReports          Kind = "lose-reports"   // connections from a backend server to its agent are refused
	StoreDown           Kind = "store-down"
	StoreSlow           Kind = "store-slow"
	StoreLosesResponses Kind = "store-loses-replies" // transactions are applied but not answered
	StoreDropsHistory   Kind = "store-forgets"       // the store's change history is lost
	CutStore            Kind = "cut-store"           // the connections of one process to the store
	Configure           Kind = "configure"
)

// kindWeight is the relative frequency of a kind.
type kindWeight struct {
	kind   Kind
	weight int
}

// weights are the relative frequencies of the kinds in a fault phase.
var weights = []kindWeight{
	{KillEntry, 4}, {FreezeEntry, 4}, {StopEntry, 2}, {ReloadEntry, 1}, {KillAgent, 4}, {FreezeAgent, 4}, {StopAgent, 2},
	{KillEntries, 1}, {KillAll, 1}, {CutLinks, 3}, {DropLinksIn, 3}, {DropLinksOut, 3}, {StallLinks, 3}, {DelayLinks, 2},
	{ResetLinks, 4}, {CutPair, 4}, {ResetCallers, 4}, {StallCallers, 2}, {CutServer, 3}, {DropServerIn, 3}, {DropServerOut, 3},
	{StallServer, 3}, {DelayServer, 2}, {ResetServer, 3}, {CrashServer, 4}, {HangServer, 3}, {IgnoreStops, 3},
	{CutReports, 2}, {StoreDown, 2}, {StoreSlow, 2}, {StoreLosesResponses, 1}, {StoreDropsHistory, 1}, {CutStore, 2}, {Configure, 6},
}

// Fault is one fault of a schedule.
type Fault struct {
	At       time.Duration // since the start of the phase
	Duration time.Duration
	Kind     Kind
	Entry    int           // index of the affected entry, if the kind affects one
	Agent    int           // index of the affected agent, if the kind affects one
	Delay    time.Duration // of bytes or of calls to the store, for kinds that delay
}

// String formats the fault, with entries and agents counted from 1.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s, %.2f s: %s (entry %d, agent %d, delay %s)", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Entry+1, f.Agent+1, f.Delay)
}

// Lengths of the phases of a round, and bounds of the faults in them.
const (
	warmUp          = 1500 * time.Millisecond // from the start of the callers until the first round
	minFaultPhase   = 4 * time.Second
	maxFaultPhase   = 12 * time.Second
	recoveryTime    = 5 * time.Second       // leases expire, connections are re-established, lost sessions are closed, and failed backend servers are on probation
	steadyTime      = 2 * time.Second       // steady phase
	maintenanceTime = 9 * time.Second       // estimate; a graceful shutdown takes up to 6 s
	minGap          = 50 * time.Millisecond // between the starts of two faults
	maxGap          = 1200 * time.Millisecond
	minDuration     = 50 * time.Millisecond // of one fault
	maxDuration     = 2500 * time.Millisecond
	maxDelay        = 150 * time.Millisecond
)

// Round holds the faults of a fault phase and the operations of the maintenance
// phase, which begins after the system has recovered. Times count from the start
// of the phase.
type Round struct {
	Faults      []Fault
	Maintenance []Fault
}

// duration returns the approximate duration of the round.
func (r Round) duration() time.Duration {
	last := r.Faults[len(r.Faults)-1]
	return last.At + last.Duration + recoveryTime + steadyTime + maintenanceTime
}

// NewSchedule returns the rounds of a seed that fit into length, at least one. It
// returns the same rounds whenever its arguments are the same.
func NewSchedule(seed uint64, entries, agents int, length time.Duration) []Round {
	rng := rand.New(rand.NewPCG(seed, 0))
	var rounds []Round
	remaining := length - warmUp
	for {
		round := newRound(rng, entries, agents)
		if remaining -= round.duration(); len(rounds) > 0 && remaining < 0 {
			return rounds
		}
		rounds = append(rounds, round)
	}
}

// newRound draws a round from rng.
func newRound(rng *rand.Rand, entries, agents int) Round {
	var round Round
	end := randomDuration(rng, minFaultPhase, maxFaultPhase)
	for at := time.Duration(0); at < end; at += randomDuration(rng, minGap, maxGap) {
		round.Faults = append(round.Faults, Fault{
			At: at, Duration: min(randomDuration(rng, minDuration, maxDuration), end-at), Kind: randomKind(rng, weights),
			Entry: rng.IntN(entries), Agent: rng.IntN(agents), Delay: randomDuration(rng, 0, maxDelay),
		})
	}
	round.Maintenance = []Fault{
		{Kind: StopEntry, Entry: rng.IntN(entries)},
		{At: randomDuration(rng, 0, time.Second), Kind: Configure},
		{At: randomDuration(rng, 0, time.Second), Kind: StopAgent, Agent: rng.IntN(agents)},
		{At: randomDuration(rng, 0, time.Second), Kind: ReloadEntry, Entry: rng.IntN(entries)},
	}
	return round
}

// randomDuration returns a duration from shortest to longest, both included.
func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1))
}

// randomKind returns a kind drawn according to weights.
func randomKind(rng *rand.Rand, weights []kindWeight) Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := rng.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Configure
}
