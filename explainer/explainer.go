package explainer

import (
	"fmt"
	"slices"
	"strings"
)

const (
	contextBeforeMicros = 1_000_000 // how long before the request's first line other lines are included
	contextAfterMicros  = 2_000_000 // how long after its last line; an agent closes the session with a lost entry after 0.6 s
	unhealthySpanMicros = 5_000_000 // failures of other jobs on the same agent count if they are this close in time
	unhealthyMinJobs    = 2         // other jobs that must have failed on an agent for its backend server to count as unhealthy
)

// Verdict classifies why a request ended.
type Verdict string

// Verdicts.
const (
	VerdictServed            Verdict = "served"
	VerdictRefused           Verdict = "refused"           // none of its tasks ran
	VerdictUnhealthyServer   Verdict = "sick-server"       // tasks failed on a backend server that failed several other jobs too
	VerdictFaultyJob         Verdict = "job-fails"         // tasks failed on backend servers that failed few other jobs
	VerdictCrashingJob       Verdict = "job-loses-servers" // several backend servers were lost while they ran a task of the job
	VerdictOutOfTime         Verdict = "out-of-time"       // its deadline passed, or the caller cancelled it or disconnected
	VerdictEntryLost         Verdict = "entry-lost"        // its entry restarted before it answered
	VerdictEntryUnresponsive Verdict = "entry-silent"      // other processes lost contact with its entry, suspended or cut off, which did not restart
	VerdictOther             Verdict = "ended-otherwise"   // the answer's cause says why
	VerdictNoAnswer          Verdict = "no-answer-in-logs" // it is still running, or the line of its answer was omitted
)

// Explanation is the reason why a request ended as it did, with the log lines that
// show it.
type Explanation struct {
	RequestID       string   `json:"request-id"`
	Job             string   `json:"job"`
	Entry           string   `json:"entry"`
	Verdict         Verdict  `json:"verdict"`
	Reasons         []string `json:"reasons"`           // sentences
	OmittedLines    int      `json:"lines-left-out"`    // omitted by the processes of the job, in the time span of Lines
	Lines           []Line   `json:"-"`                 // lines of the job, and lines of its processes that concern no job
	RawLines        []string `json:"lines"`             // Lines as they were read
	Searched        string   `json:"searched"`          // extent of the logs, see Log.Extent
	OtherRequestIDs []string `json:"other-request-ids"` // other requests that submitted the same job
}

// Explain explains the request with the given id, or else the job with that id. If
// no line has the id, it returns an error of KindNotFound that says what was
// searched.
func (l *Log) Explain(id string) (*Explanation, error) {
	l.Sort()
	matches := l.Select(func(ln *Line) bool { return ln.RequestID == id })
	if len(matches) == 0 {
		matches = l.Select(func(ln *Line) bool { return ln.JobID() == id && ln.RequestID != "" })
	}
	if len(matches) == 0 {
		return nil, &Error{Op: "explain", Kind: KindNotFound, Detail: id + " in " + l.Extent()}
	}
	e := &Explanation{RequestID: matches[0].RequestID, Job: matches[0].JobID(), Entry: matches[0].Process, Searched: l.Extent()}
	e.collectLines(l)
	e.diagnose(l)
	for i := range e.Lines {
		e.RawLines = append(e.RawLines, e.Lines[i].RawText)
	}
	return e, nil
}

// collectLines collects the lines of the job, and the lines of its processes from
// the same time that concern no job.
func (e *Explanation) collectLines(l *Log) {
	processes := make(map[string]bool)
	first, last := int64(0), int64(0)
	for i := range l.Lines {
		ln := &l.Lines[i]
		if ln.JobID() != e.Job {
			continue
		}
		processes[ln.Process] = true
		if first == 0 {
			first = ln.Clock
		}
		last = ln.Clock
		if ln.RequestID != "" && ln.RequestID != e.RequestID && !slices.Contains(e.OtherRequestIDs, ln.RequestID) {
			e.OtherRequestIDs = append(e.OtherRequestIDs, ln.RequestID)
		}
	}
	e.Lines = l.Select(func(ln *Line) bool {
		if ln.JobID() == e.Job {
			return true
		}
		near := ln.Clock >= first-contextBeforeMicros && ln.Clock <= last+contextAfterMicros
		if !near || ln.JobID() != "" || ln.RequestID != "" {
			return false
		}
		if ln.Message == MessageLinesOmitted && processes[ln.Process] {
			for _, n := range ln.Omitted {
				e.OmittedLines += n
			}
		}
		return processes[ln.Process] || isIncarnationOf(ln.Peer, e.Entry) || strings.Contains(ln.Message, e.Entry+".")
	})
}

// isIncarnationOf reports whether the incarnation is one of the process.
func isIncarnationOf(incarnation, process string) bool {
	return strings.HasPrefix(incarnation, process+".")
}

func (e *Explanation) addReason(format string, a ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, a...))
}

// diagnose determines the verdict and the reasons for it.
func (e *Explanation) diagnose(l *Log) {
	for i := range e.Lines {
		if ln := &e.Lines[i]; ln.Message == MessageJobAnswered && ln.RequestID == e.RequestID {
			e.diagnoseAnswer(l, ln)
			return
		}
	}
	e.diagnoseMissingAnswer()
}

// diagnoseAnswer determines why a request got the given answer.
func (e *Explanation) diagnoseAnswer(l *Log, answer *Line) {
	e.addReason("%s answered %q after %d ms under configuration %d.", answer.Process, answer.Outcome, answer.TookMillis, answer.Configuration)
	switch {
	case answer.Outcome == "complete":
		e.Verdict = VerdictServed
	case answer.Cause == "task-failed":
		e.diagnoseFailures(l)
	case answer.Cause == "servers-lost":
		e.diagnoseServerLosses()
	case answer.Outcome == "not-run", answer.Outcome == "overload", answer.Outcome == "no-route", answer.Outcome == "invalid":
		e.Verdict = VerdictRefused
		e.addReason("None of its tasks ran. The cause was: %s.", answer.Cause)
		if answer.Agents > 0 || answer.WaitingTasks > 0 {
			e.addReason("The entry had %d agents, %d of them suspect, %.1f free cores, and %d waiting tasks.",
				answer.Agents, answer.SuspectAgents, float64(answer.FreeMillicores)/1000, answer.WaitingTasks)
		}
	case answer.Cause == "deadline", answer.Cause == "cancelled":
		e.Verdict = VerdictOutOfTime
		e.addReason("It was ended early. The cause was: %s. Some of its %d tasks may have run.", answer.Cause, answer.Tasks)
	default:
		e.Verdict = VerdictOther
		e.addReason("The cause was: %s.", answer.Cause)
	}
}

// diagnoseServerLosses lists the losses of backend servers after which a task of the
// job was given up.
func (e *Explanation) diagnoseServerLosses() {
	e.Verdict = VerdictCrashingJob
	for i := range e.Lines {
		if e.Lines[i].Message == MessageServerLost {
			e.addReason("The backend server of %s was lost while it ran a task of the job.", e.Lines[i].Peer)
		}
	}
	e.addReason("A task under which several backend servers were lost is not started again.")
}

// diagnoseFailures determines whether the backend servers or the job itself caused
// its task failures.
func (e *Explanation) diagnoseFailures(l *Log) {
	e.Verdict = VerdictFaultyJob
	for i := range e.Lines {
		failure := &e.Lines[i]
		if failure.Message != MessageTaskFailed {
			continue
		}
		otherJobs := make(map[string]bool)
		for j := range l.Lines {
			other := &l.Lines[j]
			if other.Message == MessageTaskFailed && other.Peer == failure.Peer && other.Job != e.Job && max(other.Clock, failure.Clock)-min(other.Clock, failure.Clock) <= unhealthySpanMicros {
				otherJobs[other.Job] = true
			}
		}
		if len(otherJobs) >= unhealthyMinJobs {
			e.Verdict = VerdictUnhealthyServer
		}
		e.addReason("A task failed at %s; tasks of %d other jobs failed there within 5 s.", failure.Peer, len(otherJobs))
	}
	if e.Verdict == VerdictFaultyJob {
		e.addReason("Few other jobs failed on the same agents: the job itself is the likely cause.")
	}
}

// diagnoseMissingAnswer determines why the logs have no answer to a request.
func (e *Explanation) diagnoseMissingAnswer() {
	e.Verdict = VerdictNoAnswer
	takenAt, shutdown := int64(0), "without a graceful shutdown"
	lostReports := 0 // lines that report the entry as lost
	for i := range e.Lines {
		ln := &e.Lines[i]
		switch {
		case ln.RequestID == e.RequestID:
			takenAt = ln.Clock
		case takenAt == 0:
		case ln.Message == MessageEntryStopped && ln.Process == e.Entry:
			shutdown = "after a graceful shutdown"
		case ln.Message == MessageEntryStarted && ln.Process == e.Entry:
			e.Verdict = VerdictEntryLost
			e.addReason("%s took the request and restarted %d ms later, %s.", e.Entry, (ln.Clock-takenAt)/1000, shutdown)
			return
		case strings.Contains(ln.Message, e.Entry+".") && strings.HasSuffix(ln.Message, "is lost."):
			e.Verdict = VerdictEntryUnresponsive
			if lostReports++; lostReports == 1 {
				e.addReason("%s lost contact with %s %d ms after it took the request.", ln.Process, e.Entry, (ln.Clock-takenAt)/1000)
			}
		}
	}
	switch {
	case lostReports > 1:
		e.addReason("So did %d other processes.", lostReports-1)
	case e.Verdict == VerdictNoAnswer:
		e.addReason("No line reports an answer: the job was still running when the logs end, or the line was omitted.")
	}
}

// String formats the explanation: the verdict, the reasons and the lines.
func (e *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, job %s, taken by %s: %s\n", e.RequestID, e.Job, e.Entry, e.Verdict)
	for _, r := range e.Reasons {
		fmt.Fprintf(&b, "  %s\n", r)
	}
	if len(e.OtherRequestIDs) > 0 {
		fmt.Fprintf(&b, "  The job was also submitted under other request ids: %s.\n", strings.Join(e.OtherRequestIDs, ", "))
	}
	if e.OmittedLines > 0 {
		fmt.Fprintf(&b, "  The processes omitted %d lines in this time span.\n", e.OmittedLines)
	}
	for i := range e.Lines {
		fmt.Fprintf(&b, "%s\n", &e.Lines[i])
	}
	fmt.Fprintf(&b, "searched %s\n", e.Searched)
	return b.String()
}
