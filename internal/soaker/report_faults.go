package soaker

import (
	"math/rand/v2"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// RestartSetBack is the kind of a fault in which a backend server restarts twice under the
// same id. The clock that gives its start time is set back before the first restart, and
// reports of the incarnation before arrive after the second.
const RestartSetBack Kind = "restart-set-back"

const (
	reportFaultStream = 2 << 32               // stream of random numbers of the schedule; callers and liberties use lower ones
	minSetBack        = 15 * time.Second      // longer than a fault phase
	setBackFactor     = 100                   // the clock is set back by this multiple of the delay, in addition
	minForeignGap     = 10 * time.Millisecond // between two reports of another writer
)

// ReportFaultKinds returns the kinds of faults in which an agent gets misleading status
// reports: those of another writer, and RestartSetBack.
func ReportFaultKinds() []Kind {
	kinds := []Kind{RestartSetBack}
	for _, kind := range standin.ForeignKinds() {
		kinds = append(kinds, Kind(kind))
	}
	return kinds
}

// addReportFaults adds faults of the given kinds to the rounds of a schedule, all kinds
// with the same frequency.
func addReportFaults(rounds []Round, seed uint64, agents int, kinds []Kind) []Round {
	var weights []kindWeight
	for _, kind := range kinds {
		weights = append(weights, kindWeight{kind, 1})
	}
	return addFaults(rounds, rand.New(rand.NewPCG(seed, reportFaultStream)), weights, agents)
}

// injectReports has an agent get misleading status reports.
func injectReports(f Fault, agent *process) {
	agent.markDisturbed(f.undisturbedAt())
	if f.Kind == RestartSetBack {
		restartSetBack(f, agent.executor)
		return
	}
	for end := time.Now().Add(f.Duration); ; time.Sleep(max(f.Delay, minForeignGap)) {
		agent.executor.SendForeign(standin.Foreign(f.Kind))
		if time.Now().After(end) {
			return
		}
	}
}

// restartSetBack restarts a backend server twice, the first time with its clock set back.
// The restarts are so close that answers of the incarnation before may also arrive after
// the second.
func restartSetBack(f Fault, x *standin.Executor) {
	r := standin.Restart{HoldAnswers: maxHold, LateReports: max(f.Duration, maxDelay)}
	second := r
	r.ClockStep = -minSetBack - setBackFactor*f.Delay
	x.Restart(r)
	time.Sleep(f.Delay)
	x.Restart(second)
	time.Sleep(f.Duration)
}
