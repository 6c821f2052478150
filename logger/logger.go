// Package logger writes structured logs that never hold a decision up: lines
// are JSON, their number a second is bounded by level, and a reader that does
// not read costs lines, not time. What was left out is counted by message and
// told once a second.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	defaultRoutine = 100      // lines a second of information
	defaultUrgent  = 300      // lines a second of warnings and errors
	queueLines     = 2048     // waiting for the reader; some 1 MB
	batchBytes     = 64 << 10 // written at once; what a pipe holds
	maxCounted     = 64       // messages counted one by one; the rest together
	otherMessages  = "other messages"
	leftOut        = "Log left out lines."
)

// Settings bounds a log. Zero fields take the defaults.
type Settings struct {
	Routine int          // lines a second of information; default 100
	Urgent  int          // lines a second of warnings and errors; default 300
	Clock   func() int64 // hybrid logical clock, put on every line; nil: none

	// Linger is how long a line of information waits for others, so that they
	// are written together: a write costs more than all else of a line. A
	// warning and what waits before it are written at once. A process that is
	// killed loses what waits. Default: no wait.
	Linger time.Duration
}

// clockField is the field of a line's hybrid logical clock reading.
const clockField = "clock-us"

// Logger is a bounded log. Use New.
type Logger struct {
	settings Settings
	lines    chan []byte
	hurry    chan struct{} // ends the wait of lines for others
	pressing atomic.Bool   // a warning was formatted, and is about to be queued
	queued   atomic.Int64  // lines that are queued and not written yet
	dropped  atomic.Int64

	mu      sync.Mutex
	second  time.Time
	routine int
	urgent  int
	omitted map[string]int // by message, since the last second
}

// New returns a log to out at a level, with fields on every line.
func New(out io.Writer, level logrus.Level, fields logrus.Fields, s Settings) (*logrus.Entry, *Logger) {
	if s.Routine == 0 {
		s.Routine = defaultRoutine
	}
	if s.Urgent == 0 {
		s.Urgent = defaultUrgent
	}
	w := &Logger{
		settings: s, lines: make(chan []byte, queueLines), hurry: make(chan struct{}, 1), omitted: make(map[string]int),
	}
	l := logrus.New()
	l.SetLevel(level)
	l.SetFormatter(w)
	l.SetOutput(w)
	go w.run(out)
	return l.WithFields(fields), w
}

// Dropped returns how many lines were left out so far.
func (w *Logger) Dropped() int64 { return w.dropped.Load() }

// run hands the lines to the reader, those that wait together.
func (w *Logger) run(out io.Writer) {
	var batch []byte
	for line := range w.lines {
		w.linger()
		batch = append(batch[:0], line...)
		count := 1
		for more := true; more && len(batch) < batchBytes; {
			select {
			case line, more = <-w.lines:
				if more {
					batch = append(batch, line...)
					count++
				}
			default:
				more = false
			}
		}
		if _, err := out.Write(batch); err != nil {
			w.dropped.Add(int64(count))
		}
		w.queued.Add(-int64(count))
	}
}

// linger waits for further lines, unless a warning is among those that wait.
func (w *Logger) linger() {
	if w.settings.Linger <= 0 {
		return
	}
	t := time.NewTimer(w.settings.Linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.hurry:
	}
}

// Flush returns when the lines logged so far are written, at the latest after
// limit.
func (w *Logger) Flush(limit time.Duration) {
	end := time.Now().Add(limit)
	for w.queued.Load() > 0 && time.Now().Before(end) {
		w.press()
		time.Sleep(time.Millisecond)
	}
}

// press ends the wait of lines for others.
func (w *Logger) press() {
	select {
	case w.hurry <- struct{}{}:
	default:
	}
}

// Write queues a line. It drops the line when the reader is too far behind.
func (w *Logger) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	w.queued.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-1)
		w.dropped.Add(1)
	}
	if w.pressing.Swap(false) {
		w.press()
	}
	return len(line), nil
}

// Format formats an entry, or returns nothing when its second is full. The
// first line of a second follows the account of what was left out before.
func (w *Logger) Format(e *logrus.Entry) ([]byte, error) {
	account, ok := w.admit(e)
	var b []byte
	if account != nil {
		note := &logrus.Entry{Logger: e.Logger, Time: e.Time, Level: logrus.WarnLevel, Message: leftOut, Data: logrus.Fields{"omitted": account}}
		for _, k := range []string{"part", "process"} {
			if v, there := e.Data[k]; there {
				note.Data[k] = v
			}
		}
		w.stamp(note)
		a, err := format(note)
		if err != nil {
			return nil, err
		}
		b = append(b, a...)
	}
	if !ok {
		return b, nil
	}
	if e.Level <= logrus.WarnLevel {
		w.pressing.Store(true)
	}
	w.stamp(e)
	line, err := format(e)
	return append(b, line...), err
}

// stamp puts the clock's reading on a line, whose fields are its own copy.
func (w *Logger) stamp(e *logrus.Entry) {
	if w.settings.Clock != nil {
		e.Data[clockField] = w.settings.Clock()
	}
}

// admit counts an entry, and tells whether its second has room for it. It
// returns what was left out in the second before, if the entry opens a new one.
func (w *Logger) admit(e *logrus.Entry) (account map[string]int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Time.Sub(w.second) >= time.Second || e.Time.Before(w.second) {
		if len(w.omitted) > 0 {
			account, w.omitted = w.omitted, make(map[string]int)
		}
		w.second, w.routine, w.urgent = e.Time, 0, 0
	}
	count, limit := &w.routine, w.settings.Routine
	if e.Level <= logrus.WarnLevel {
		count, limit = &w.urgent, w.settings.Urgent
	}
	if *count >= limit {
		w.omit(e.Message)
		return account, false
	}
	*count++
	return account, true
}

// omit counts a line that is left out. The caller holds mu.
func (w *Logger) omit(message string) {
	w.dropped.Add(1)
	if _, known := w.omitted[message]; !known && len(w.omitted) >= maxCounted {
		message = otherMessages
	}
	w.omitted[message]++
}
