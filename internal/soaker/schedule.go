package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind names a fault.
type Kind string

// Kinds of faults. Those of entries and agents are of the process, its links to
// other processes, the callers' connections, and its way to the store.
const (
	KillEntry     Kind = "kill-entry"
	FreezeEntry   Kind = "freeze-entry"
	StopEntry     Kind = "stop-entry" // as planned, and started again
	HangUp        Kind = "hang-up"    // the settings are read again
	KillAgent     Kind = "kill-agent"
	FreezeAgent   Kind = "freeze-agent"
	StopAgent     Kind = "stop-agent"
	KillEntries   Kind = "kill-all-entries"
	KillAll       Kind = "kill-all"
	CutLinks      Kind = "cut-links" // of one entry
	LoseLinksIn   Kind = "lose-links-in"
	LoseLinksOut  Kind = "lose-links-out"
	StallLinks    Kind = "stall-links"
	DelayLinks    Kind = "delay-links"
	ResetLinks    Kind = "reset-links"
	CutPair       Kind = "cut-pair" // one entry and one agent
	ResetFront    Kind = "reset-front"
	StallFront    Kind = "stall-front"
	CutServer     Kind = "cut-server" // an agent from its executor
	LoseServerIn  Kind = "lose-server-in"
	LoseServerOut Kind = "lose-server-out"
	StallServer   Kind = "stall-server"
	DelayServer   Kind = "delay-server"
	ResetServer   Kind = "reset-server"
	CrashServer   Kind = "crash-server"
	SilenceServer Kind = "silence-server"
	DeafServer    Kind = "deaf-server" // stops go unheard
	LoseReports   Kind = "lose-reports"
	StoreDown     Kind = "store-down"
	StoreSlow     Kind = "store-slow"
	StoreReplies  Kind = "store-loses-replies"
	StoreHistory  Kind = "store-forgets"
	CutStore      Kind = "cut-store" // one process from the store
	Configure     Kind = "configure"
)

// weights say how often each kind comes in a storm.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillEntry, 4}, {FreezeEntry, 4}, {StopEntry, 2}, {HangUp, 1}, {KillAgent, 4}, {FreezeAgent, 4}, {StopAgent, 2},
	{KillEntries, 1}, {KillAll, 1}, {CutLinks, 3}, {LoseLinksIn, 3}, {LoseLinksOut, 3}, {StallLinks, 3}, {DelayLinks, 2},
	{ResetLinks, 4}, {CutPair, 4}, {ResetFront, 4}, {StallFront, 2}, {CutServer, 3}, {LoseServerIn, 3}, {LoseServerOut, 3},
	{StallServer, 3}, {DelayServer, 2}, {ResetServer, 3}, {CrashServer, 4}, {SilenceServer, 3}, {DeafServer, 3},
	{LoseReports, 2}, {StoreDown, 2}, {StoreSlow, 2}, {StoreReplies, 1}, {StoreHistory, 1}, {CutStore, 2}, {Configure, 6},
}

// Fault is one fault: what, when from the start of the run, how long, to whom.
type Fault struct {
	At    time.Duration
	For   time.Duration
	Kind  Kind
	Entry int // index of the entry, where the kind has one
	Agent int
	Delay time.Duration // of bytes or calls
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s, %.2f s: %s (entry %d, agent %d, delay %s)", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Entry+1, f.Agent+1, f.Delay)
}

// Lengths of the phases of a round.
const (
	warmUp     = 1500 * time.Millisecond
	stormLeast = 4 * time.Second
	stormMost  = 12 * time.Second
	settleTime = 5 * time.Second // leases, redials and lost sessions are over; failed servers are on trial again
	calmTime   = 2 * time.Second // in which the recovery is checked
	planned    = 9 * time.Second // a planned stop takes up to 6 s
	gapLeast   = 50 * time.Millisecond
	gapMore    = 1200 * time.Millisecond
	forLeast   = 50 * time.Millisecond
	forMore    = 2500 * time.Millisecond
	maxDelay   = 150 * time.Millisecond
)

// Round is a storm of faults, and planned work that begins when the system has
// recovered from it. The times of each begin at zero.
type Round struct {
	Storm   []Fault
	Planned []Fault
}

// length is how long the round takes, about.
func (x Round) length() time.Duration {
	last := x.Storm[len(x.Storm)-1]
	return last.At + last.For + settleTime + calmTime + planned
}

// NewSchedule returns the rounds of a seed that end within length, one at least.
func NewSchedule(seed uint64, entries, agents int, length time.Duration) []Round {
	r := rand.New(rand.NewPCG(seed, 0))
	var rounds []Round
	left := length - warmUp
	for {
		x := newRound(r, entries, agents)
		if left -= x.length(); len(rounds) > 0 && left < 0 {
			return rounds
		}
		rounds = append(rounds, x)
	}
}

func newRound(r *rand.Rand, entries, agents int) Round {
	var x Round
	end := between(r, stormLeast, stormMost)
	for at := time.Duration(0); at < end; at += between(r, gapLeast, gapMore) {
		x.Storm = append(x.Storm, Fault{
			At: at, For: min(between(r, forLeast, forMore), end-at), Kind: draw(r),
			Entry: r.IntN(entries), Agent: r.IntN(agents), Delay: between(r, 0, maxDelay),
		})
	}
	x.Planned = []Fault{
		{Kind: StopEntry, Entry: r.IntN(entries)},
		{At: between(r, 0, time.Second), Kind: Configure},
		{At: between(r, 0, time.Second), Kind: StopAgent, Agent: r.IntN(agents)},
		{At: between(r, 0, time.Second), Kind: HangUp, Entry: r.IntN(entries)},
	}
	return x
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)+1))
}

func draw(r *rand.Rand) Kind {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	n := r.IntN(sum)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Configure
}
