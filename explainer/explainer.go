package explainer

import (
	"fmt"
	"slices"
	"strings"
)

const (
	contextBefore = 1_000_000 // µs before the request's first line from which other lines are shown
	contextAfter  = 2_000_000 // µs after its last line; an agent gives a lost entry up after 0.6 s
	sickSpan      = 5_000_000 // µs around a failure in which other jobs' failures on the same agent count
	sickJobs      = 2         // other jobs that failed on an agent from which it counts as sick
)

// Verdict names the cause of a request's end.
type Verdict string

// Verdicts.
const (
	VerdictServed      Verdict = "served"
	VerdictRefused     Verdict = "refused"           // nothing of it ran
	VerdictSickServer  Verdict = "sick-server"       // failed on backend servers that fail other jobs too
	VerdictJob         Verdict = "job-fails"         // failed on servers that serve others
	VerdictTime        Verdict = "out-of-time"       // its caller's time was over, or the caller left
	VerdictEntryLost   Verdict = "entry-lost"        // its entry was killed or began anew
	VerdictEntrySilent Verdict = "entry-silent"      // its entry was frozen or cut off
	VerdictOther       Verdict = "ended-otherwise"   // see the cause of the answer
	VerdictOpen        Verdict = "no-answer-in-logs" // it runs still, or its line was left out
)

// Explanation tells why a request ended as it did.
type Explanation struct {
	Request string   `json:"request-id"`
	Job     string   `json:"job"`
	Entry   string   `json:"entry"`
	Verdict Verdict  `json:"verdict"`
	Reasons []string `json:"reasons"`           // sentences
	LeftOut int      `json:"lines-left-out"`    // by the processes concerned, in the span of the lines
	Lines   []Line   `json:"-"`                 // of the request, its job and its processes' changes
	Texts   []string `json:"lines"`             // the same as they were read
	Extent  string   `json:"searched"`          // what was read
	Others  []string `json:"other-request-ids"` // of the same job, sent again
}

// Explain explains the request of an id, or the job of an id. It errors with
// KindNotFound and what was searched when no line has it.
func (l *Log) Explain(id string) (*Explanation, error) {
	l.Sort()
	own := l.Select(func(x *Line) bool { return x.Request == id })
	if len(own) == 0 {
		own = l.Select(func(x *Line) bool { return x.JobID() == id && x.Request != "" })
	}
	if len(own) == 0 {
		return nil, &Error{Op: "explain", Kind: KindNotFound, Detail: id + " in " + l.Extent()}
	}
	x := &Explanation{Request: own[0].Request, Job: own[0].JobID(), Entry: own[0].Process, Extent: l.Extent()}
	x.gather(l)
	x.judge(l)
	for i := range x.Lines {
		x.Texts = append(x.Texts, x.Lines[i].Text)
	}
	return x, nil
}

// gather collects the lines of the job, and what its processes noted of
// themselves meanwhile.
func (x *Explanation) gather(l *Log) {
	processes := make(map[string]bool)
	first, last := int64(0), int64(0)
	for i := range l.Lines {
		o := &l.Lines[i]
		if o.JobID() != x.Job {
			continue
		}
		processes[o.Process] = true
		if first == 0 {
			first = o.Clock
		}
		last = o.Clock
		if o.Request != "" && o.Request != x.Request && !slices.Contains(x.Others, o.Request) {
			x.Others = append(x.Others, o.Request)
		}
	}
	x.Lines = l.Select(func(o *Line) bool {
		if o.JobID() == x.Job {
			return true
		}
		near := o.Clock >= first-contextBefore && o.Clock <= last+contextAfter
		if !near || o.JobID() != "" || o.Request != "" {
			return false
		}
		if o.Message == MessageLeftOut && processes[o.Process] {
			for _, n := range o.Omitted {
				x.LeftOut += n
			}
		}
		return processes[o.Process] || names(o.Peer, x.Entry) || strings.Contains(o.Message, x.Entry+".")
	})
}

// names tells whether an incarnation is one of the process.
func names(incarnation, process string) bool {
	return strings.HasPrefix(incarnation, process+".")
}

func (x *Explanation) say(format string, a ...any) {
	x.Reasons = append(x.Reasons, fmt.Sprintf(format, a...))
}

// judge finds the verdict.
func (x *Explanation) judge(l *Log) {
	for i := range x.Lines {
		if o := &x.Lines[i]; o.Message == MessageAnswered && o.Request == x.Request {
			x.judgeAnswer(l, o)
			return
		}
	}
	x.judgeSilence()
}

// judgeAnswer tells why an answered request was answered so.
func (x *Explanation) judgeAnswer(l *Log, o *Line) {
	x.say("%s answered %q after %d ms under configuration %d.", o.Process, o.Outcome, o.TookMillis, o.Configuration)
	switch {
	case o.Outcome == "complete":
		x.Verdict = VerdictServed
	case o.Cause == "task-failed":
		x.judgeFailures(l)
	case o.Outcome == "not-run", o.Outcome == "overload", o.Outcome == "no-route", o.Outcome == "invalid":
		x.Verdict = VerdictRefused
		x.say("Nothing of it ran. The cause was: %s.", o.Cause)
		if o.Agents > 0 || o.Waiting > 0 {
			x.say("The entry knew %d agents, %d of them suspect, %.1f free cores, and %d waiting tasks.",
				o.Agents, o.Suspect, float64(o.RoomCPU)/1000, o.Waiting)
		}
	case o.Cause == "deadline", o.Cause == "cancelled":
		x.Verdict = VerdictTime
		x.say("It was ended because of: %s. Of %d tasks some may have run.", o.Cause, o.Tasks)
	default:
		x.Verdict = VerdictOther
		x.say("The cause was: %s.", o.Cause)
	}
}

// judgeFailures tells sick backend servers from a job that cannot be done.
func (x *Explanation) judgeFailures(l *Log) {
	x.Verdict = VerdictJob
	for i := range x.Lines {
		o := &x.Lines[i]
		if o.Message != MessageTaskFailed {
			continue
		}
		others := make(map[string]bool)
		for k := range l.Lines {
			p := &l.Lines[k]
			if p.Message == MessageTaskFailed && p.Peer == o.Peer && p.Job != x.Job && max(p.Clock, o.Clock)-min(p.Clock, o.Clock) <= sickSpan {
				others[p.Job] = true
			}
		}
		if len(others) >= sickJobs {
			x.Verdict = VerdictSickServer
		}
		x.say("A task failed at %s; tasks of %d other jobs failed there within 5 s.", o.Peer, len(others))
	}
	if x.Verdict == VerdictJob {
		x.say("Where it failed few others did: the job itself seems to be at fault.")
	}
}

// judgeSilence tells what became of a request without an answer.
func (x *Explanation) judgeSilence() {
	x.Verdict = VerdictOpen
	taken, stop := int64(0), "without a planned stop before"
	deaf := 0 // processes that did not hear the entry any more
	for i := range x.Lines {
		o := &x.Lines[i]
		switch {
		case o.Request == x.Request:
			taken = o.Clock
		case taken == 0:
		case o.Message == MessageEntryStop && o.Process == x.Entry:
			stop = "after a planned stop"
		case o.Message == MessageEntryBegin && o.Process == x.Entry:
			x.Verdict = VerdictEntryLost
			x.say("%s took the request and began anew %d ms later, %s.", x.Entry, (o.Clock-taken)/1000, stop)
			return
		case strings.Contains(o.Message, x.Entry+".") && strings.HasSuffix(o.Message, "is lost."):
			x.Verdict = VerdictEntrySilent
			if deaf++; deaf == 1 {
				x.say("%s did not hear %s any more, %d ms after it took the request.", o.Process, x.Entry, (o.Clock-taken)/1000)
			}
		}
	}
	switch {
	case deaf > 1:
		x.say("Nor did %d other processes.", deaf-1)
	case x.Verdict == VerdictOpen:
		x.say("No line tells an answer: it ran still when the logs end, or the line was left out.")
	}
}

// String formats the explanation: the verdict, the reasons, the lines.
func (x *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, job %s, taken by %s: %s\n", x.Request, x.Job, x.Entry, x.Verdict)
	for _, r := range x.Reasons {
		fmt.Fprintf(&b, "  %s\n", r)
	}
	if len(x.Others) > 0 {
		fmt.Fprintf(&b, "  The job came under other request ids too: %s.\n", strings.Join(x.Others, ", "))
	}
	if x.LeftOut > 0 {
		fmt.Fprintf(&b, "  The processes left out %d lines in this span.\n", x.LeftOut)
	}
	for i := range x.Lines {
		fmt.Fprintf(&b, "%s\n", &x.Lines[i])
	}
	fmt.Fprintf(&b, "searched %s\n", x.Extent)
	return b.String()
}
