package explainer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a process's log. A field that is missing in the log line is
// zero. docs/OPERATIONS.md lists the fields.
type Line struct {
	Clock   int64     `json:"clock-us"` // hybrid logical clock in µs; taken from Time for a log line of an older build, which has none
	Time    time.Time `json:"time"`     // wall clock of the process
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Role    string    `json:"part"` // "entry" or "agent"
	Process string    `json:"process"`

	RequestID       string          `json:"request-id"`
	Job             string          `json:"job"`
	Task            json.RawMessage `json:"task"` // string JOB.0.STEP.INDEX at agents, number INDEX at entries
	Path            string          `json:"path"` // ends with the job's id
	Service         string          `json:"service"`
	Outcome         string          `json:"outcome"`
	Cause           string          `json:"cause"`
	Peer            string          `json:"peer"`
	Configuration   int64           `json:"configuration"`
	TookMillis      int64           `json:"took-ms"`
	TookMicros      int64           `json:"took-us"`
	FirstSentMicros int64           `json:"first-sent-us"` // from the job's arrival until its first start was sent
	Tasks           int             `json:"tasks"`
	Starts          int             `json:"starts"` // start requests sent for the job
	WaitingTasks    int             `json:"waiting-tasks"`
	FreeMillicores  int             `json:"room-cpu"`
	Agents          int             `json:"agents"`
	SuspectAgents   int             `json:"suspect-agents"`
	Omitted         map[string]int  `json:"omitted"` // number of omitted lines by message

	RawText string `json:"-"` // the line as it was read, without a prefix
}

// Messages of the log lines that explanations and reports use.
const (
	MessageJobTaken      = "Entry takes a job."
	MessageJobAnswered   = "Entry answered a job."
	MessageTaskStarting  = "Agent starts a task."
	MessageTaskStarted   = "Backend server has started a task." // at log level debug
	MessageEntryStarted  = "Entry starts."
	MessageEntryStopped  = "Entry stops as planned."
	MessageLinesOmitted  = "Log left out lines."
	MessageTaskFailed    = "Entry decides: task-failed."
	MessageServerLost    = "Entry decides: server-lost."
	MessageConfiguration = "Entry takes a new configuration."
)

// parse parses a log line. It skips a prefix before the first brace, such as one
// that a log collector adds. It returns false if the text is not a log line.
func parse(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{RawText: strings.TrimSpace(text[i:])}
	if json.Unmarshal([]byte(l.RawText), &l) != nil || l.Process == "" || l.Message == "" {
		return Line{}, false
	}
	if l.Clock == 0 {
		l.Clock = l.Time.UnixMicro()
	}
	return l, true
}

// TaskName returns the name of the task that an agent's line is about, or "" if
// there is none.
func (l *Line) TaskName() string {
	var task string
	if json.Unmarshal(l.Task, &task) != nil {
		return "" // the line of an entry, which has the task's index or no task
	}
	return task
}

// JobID returns the id of the job that the line is about, or "" if there is none.
func (l *Line) JobID() string {
	if l.Job != "" {
		return l.Job
	}
	if task := l.TaskName(); task != "" {
		job, _, _ := strings.Cut(task, ".")
		return job
	}
	return l.Path[strings.LastIndexByte(l.Path, '/')+1:]
}

// String formats the line as text: time, process and message, then the other
// fields.
func (l *Line) String() string {
	var fields map[string]any
	dec := json.NewDecoder(strings.NewReader(l.RawText))
	dec.UseNumber()
	if dec.Decode(&fields) != nil {
		return l.RawText
	}
	for _, name := range []string{"time", "clock-us", "process", "part", "msg", "level"} {
		delete(fields, name)
	}
	text := formatClock(l.Clock) + "  " + l.Process + "  " + l.Message
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		text += fmt.Sprintf(" %s=%v", k, fields[k])
	}
	return text
}
