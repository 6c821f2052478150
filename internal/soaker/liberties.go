package soaker

import (
	"cmp"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Kinds of faults in which a backend server takes liberties of the platform. The
// Restart kinds end all its runs while calls, answers and reports are under way.
const (
	LateCalls        Kind = "late-calls"          // calls get no answer and are executed late
	HoldAnswers      Kind = "held-answers"        // answers overtake each other
	LateReports      Kind = "late-reports"        // status reports arrive late
	RestartSameID    Kind = "restart-same-id"     // the next incarnation has the same id
	RestartSameIDCut Kind = "restart-same-id-cut" // so it has, and sends no status reports at first
	RestartNewID     Kind = "restart-new-id"      // it has an id of its own
	RestartNewIDCut  Kind = "restart-new-id-cut"  // so it has, and sends no status reports at first
	RestartSlowly    Kind = "restart-slowly"      // the server is down for a while, and has less capacity afterwards
)

// libertyWeights are the relative frequencies of these kinds.
var libertyWeights = []kindWeight{
	{LateCalls, 5}, {HoldAnswers, 4}, {LateReports, 4}, {RestartSameID, 4}, {RestartSameIDCut, 2}, {RestartNewID, 3}, {RestartNewIDCut, 2}, {RestartSlowly, 2},
}

const (
	libertyStream     = 1 << 32                 // stream of random numbers of the schedule; callers use lower ones
	maxClockDrift     = 0.02                    // of backend servers
	libertyLead       = 40 * time.Millisecond   // from the liberties to the restart: after longer ones nothing runs there
	maxLibertyGap     = 1600 * time.Millisecond // between the starts of two of these faults
	reducedMillicores = 6000
	maxHold           = 80 * time.Millisecond // of answers; renewals time out after at most 90 ms
	shortDowntime     = 5                     // fraction of the usual downtime, so that answers of the earlier incarnation arrive in time
)

// allLiberties are the liberties during a Restart kind.
var allLiberties = standin.Liberties{
	LateCall: 0.3, MinLateness: 35 * time.Millisecond, MaxLateness: 4 * time.Second,
	HeldAnswer: 0.3, HeldRefusal: 0.5, MaxHold: maxHold,
	LateReport: 0.5, MaxReportDelay: 3 * time.Second,
}

// addLiberties adds faults of the kinds in libertyWeights to the rounds of a schedule.
func addLiberties(rounds []Round, seed uint64, agents int) []Round {
	return addFaults(rounds, rand.New(rand.NewPCG(seed, libertyStream)), libertyWeights, agents)
}

// addFaults adds faults of further kinds to the rounds of a schedule. Half of them affect
// the agent of the fault before. rng is a stream of random numbers of its own, so that the
// other faults of a seed stay the same.
func addFaults(rounds []Round, rng *rand.Rand, weights []kindWeight, agents int) []Round {
	for i := range rounds {
		r := &rounds[i]
		last := r.Faults[len(r.Faults)-1]
		end := last.At + last.Duration
		others := r.Faults
		for at := randomDuration(rng, 0, maxGap); at < end; at += randomDuration(rng, minGap, maxLibertyGap) {
			f := Fault{
				At: at, Duration: min(randomDuration(rng, minDuration, maxDuration), end-at), Kind: randomKind(rng, weights),
				Agent: rng.IntN(agents), Delay: randomDuration(rng, 0, maxDelay),
			}
			if before := slices.IndexFunc(others, func(o Fault) bool { return o.At > at }); before > 0 && rng.IntN(2) == 0 {
				f.Agent = others[before-1].Agent
			}
			r.Faults = append(r.Faults, f)
		}
		slices.SortStableFunc(r.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	}
	return rounds
}

// defaultLiberties returns the liberties of all backend servers at any time.
func (s *system) defaultLiberties() standin.Liberties {
	if !s.Liberties {
		return standin.Liberties{}
	}
	return standin.Liberties{
		ClockDrift: maxClockDrift, HeldRefusal: allLiberties.HeldRefusal, MaxHold: allLiberties.MaxHold, ForgottenFence: s.ForgottenFence,
	}
}

// injectLiberties has an agent's backend server take liberties, and restarts it for a
// Restart kind. What is under way at the end of the fault arrives later.
func (s *system) injectLiberties(f Fault, agent *process) {
	agent.markDisturbed(f.undisturbedAt())
	x, none, all := agent.executor, s.defaultLiberties(), allLiberties
	all.ClockDrift, all.ForgottenFence = none.ClockDrift, none.ForgottenFence
	defer x.SetLiberties(none)
	some := none
	switch f.Kind {
	case LateCalls:
		some.LateCall, some.MinLateness, some.MaxLateness = all.LateCall, all.MinLateness, all.MaxLateness
	case HoldAnswers:
		some.HeldAnswer = all.HeldAnswer
	case LateReports:
		some.LateReport, some.MaxReportDelay = all.LateReport, all.MaxReportDelay
	default:
		x.SetLiberties(all)
		lead := min(f.Duration/2, libertyLead)
		time.Sleep(lead)
		x.Restart(newRestart(f))
		some.LateReport, some.MaxReportDelay = all.LateReport, all.MaxReportDelay
	}
	x.SetLiberties(some)
	time.Sleep(f.Duration)
}

// newRestart returns the restart of a Restart kind.
func newRestart(f Fault) standin.Restart {
	r := standin.Restart{Downtime: f.Delay, HoldAnswers: maxHold, Millicores: executorMillicores, Refuse: f.Delay > maxDelay/2}
	switch f.Kind {
	case RestartSameID, RestartNewID:
		r.Downtime, r.NewID = f.Delay/shortDowntime, f.Kind == RestartNewID
		if r.NewID {
			r.ReportDelay = r.Downtime // some calls name the earlier id
		}
	case RestartSameIDCut:
		r.ReportDelay = f.Duration
	case RestartNewIDCut:
		r.ReportDelay, r.NewID = f.Duration, true
	case RestartSlowly:
		r.Downtime, r.Millicores = f.Duration, reducedMillicores
	}
	return r
}

// openExecutorLog opens the log of the events at all backend servers.
func (s *system) openExecutorLog() error {
	f, err := os.Create(filepath.Join(s.Dir, "executors.log"))
	if err != nil {
		return err
	}
	s.executorLogFile, s.executorLog = f, log.New(f, "", 0)
	return nil
}
