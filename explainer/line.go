package explainer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a process's log. Fields that a line does not have are
// zero. docs/OPERATIONS.md lists the fields.
type Line struct {
	Clock   int64     `json:"clock-us"` // hybrid logical clock; 0 in lines of older processes
	Time    time.Time `json:"time"`     // wall clock of the process
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Part    string    `json:"part"` // "entry" or "agent"
	Process string    `json:"process"`

	Request       string          `json:"request-id"`
	Job           string          `json:"job"`
	Task          json.RawMessage `json:"task"` // JOB.0.STEP.INDEX at agents, the index at entries
	Path          string          `json:"path"` // ends with the job's id
	Service       string          `json:"service"`
	Outcome       string          `json:"outcome"`
	Cause         string          `json:"cause"`
	Peer          string          `json:"peer"`
	Configuration int64           `json:"configuration"`
	TookMillis    int64           `json:"took-ms"`
	TookMicros    int64           `json:"took-us"`
	FirstSent     int64           `json:"first-sent-us"` // from the job's arrival until its first start was sent
	Tasks         int             `json:"tasks"`
	Starts        int             `json:"starts"` // sent for the job
	Waiting       int             `json:"waiting-tasks"`
	RoomCPU       int             `json:"room-cpu"`
	Agents        int             `json:"agents"`
	Suspect       int             `json:"suspect-agents"`
	Omitted       map[string]int  `json:"omitted"` // lines left out, by message

	Text string `json:"-"` // the line as it was read, without what stood before it
}

// Messages that the explanation goes by, as the processes write them.
const (
	MessageTakes         = "Entry takes a job."
	MessageAnswered      = "Entry answered a job."
	MessageStarts        = "Agent starts a task."
	MessageStarted       = "Backend server has started a task." // at log level debug
	MessageEntryBegin    = "Entry starts."
	MessageEntryStop     = "Entry stops as planned."
	MessageLeftOut       = "Log left out lines."
	MessageTaskFailed    = "Entry decides: task-failed."
	MessageConfiguration = "Entry takes a new configuration."
)

// parse reads a line. What stands before the first brace, as a collector's
// prefix, is passed over. It reports false for what is no line of a log.
func parse(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Text: strings.TrimSpace(text[i:])}
	if json.Unmarshal([]byte(l.Text), &l) != nil || l.Process == "" || l.Message == "" {
		return Line{}, false
	}
	if l.Clock == 0 {
		l.Clock = l.Time.UnixMicro()
	}
	return l, true
}

// TaskName returns the name of the task that an agent's line is about, empty
// for none.
func (l *Line) TaskName() string {
	var task string
	if json.Unmarshal(l.Task, &task) != nil {
		return "" // an entry's line has the task's index, or none
	}
	return task
}

// JobID returns the job that the line is about, empty for none.
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

// String formats the line for people: time, process, message, then the fields
// that are set.
func (l *Line) String() string {
	var fields map[string]any
	d := json.NewDecoder(strings.NewReader(l.Text))
	d.UseNumber()
	if d.Decode(&fields) != nil {
		return l.Text
	}
	for _, shown := range []string{"time", "clock-us", "process", "part", "msg", "level"} {
		delete(fields, shown)
	}
	text := at(l.Clock) + "  " + l.Process + "  " + l.Message
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		text += fmt.Sprintf(" %s=%v", k, fields[k])
	}
	return text
}
