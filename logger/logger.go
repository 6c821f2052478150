// Package logger writes structured logs without blocking its callers. Lines are
// JSON, and their rate is limited by level. The first lines of each message in a
// second pass in any case, so that frequent messages do not displace rare ones. When
// the reader of the log stalls, lines are dropped. Lines omitted by the rate limit are
// counted by message and reported once a second.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	defaultInfoPerSecond     = 100      // lines per second at level info and below
	defaultWarningsPerSecond = 300      // lines per second at level warning and above
	maxQueuedLines           = 2048     // about 1 MB
	maxBatchBytes            = 64 << 10 // size of one write; the capacity of a pipe
	maxCountedMessages       = 64       // distinct messages counted; the others are counted as otherMessages
	linesPerMessage          = 3        // lines of one message in a second that pass the rate limit, for up to maxCountedMessages messages
	otherMessages            = "other messages"
	omittedLinesMessage      = "Log left out lines."
)

// Settings holds the limits of a log. Zero fields take the defaults.
type Settings struct {
	MaxInfoPerSecond     int          // lines per second at level info and below; default 100
	MaxWarningsPerSecond int          // lines per second at level warning and above; default 300
	Clock                func() int64 // returns the hybrid logical clock, added to every line; nil adds none

	// Linger is how long a line at level info waits for further lines, so that
	// they are written together: the write is the most expensive part of a
	// line. A warning and the lines queued before it are written at once. A
	// process that is killed loses its queued lines. Default: no wait.
	Linger time.Duration
}

// clockField is the name of the field with the hybrid logical clock reading.
const clockField = "clock-us"

// Logger is a rate-limited, non-blocking log. Use New.
type Logger struct {
	settings      Settings
	lines         chan []byte
	flushRequests chan struct{} // ends the wait for further lines
	flushPending  atomic.Bool   // a warning has been formatted and is about to be queued
	queued        atomic.Int64  // lines queued and not yet written
	dropped       atomic.Int64

	mu           sync.Mutex
	windowStart  time.Time
	infoCount    int
	warningCount int
	passed       map[string]int // lines written in this window, by message, up to linesPerMessage each
	omitted      map[string]int // omitted lines by message, since the last report
}

// New returns a log that writes to out, with fields added to every line.
func New(out io.Writer, level logrus.Level, fields logrus.Fields, s Settings) (*logrus.Entry, *Logger) {
	if s.MaxInfoPerSecond == 0 {
		s.MaxInfoPerSecond = defaultInfoPerSecond
	}
	if s.MaxWarningsPerSecond == 0 {
		s.MaxWarningsPerSecond = defaultWarningsPerSecond
	}
	l := &Logger{
		settings: s, lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan struct{}, 1),
		passed: make(map[string]int), omitted: make(map[string]int),
	}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(l)
	log.SetOutput(l)
	go l.writeQueued(out)
	return log.WithFields(fields), l
}

// Dropped returns the number of lines omitted or dropped so far.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

// writeQueued writes the queued lines to out in batches.
func (l *Logger) writeQueued(out io.Writer) {
	var batch []byte
	for line := range l.lines {
		l.awaitBatch()
		batch = append(batch[:0], line...)
		count := 1
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case line, more = <-l.lines:
				if more {
					batch = append(batch, line...)
					count++
				}
			default:
				more = false
			}
		}
		if _, err := out.Write(batch); err != nil {
			l.dropped.Add(int64(count))
		}
		l.queued.Add(-int64(count))
	}
}

// awaitBatch waits up to Linger for further lines, or until a flush is requested.
func (l *Logger) awaitBatch() {
	if l.settings.Linger <= 0 {
		return
	}
	t := time.NewTimer(l.settings.Linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.flushRequests:
	}
}

// Flush returns when the lines logged so far are written, at the latest after
// timeout.
func (l *Logger) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for l.queued.Load() > 0 && time.Now().Before(deadline) {
		l.requestFlush()
		time.Sleep(time.Millisecond)
	}
}

// requestFlush ends the wait for further lines.
func (l *Logger) requestFlush() {
	select {
	case l.flushRequests <- struct{}{}:
	default:
	}
}

// Write queues a line. It drops the line when the queue is full.
func (l *Logger) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	l.queued.Add(1)
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.queued.Add(-1)
		l.dropped.Add(1)
	}
	if l.flushPending.Swap(false) {
		l.requestFlush()
	}
	return len(line), nil
}

// Format formats a log entry, or returns nothing when the rate limit is reached.
// The first line of a second is preceded by a line that reports the lines
// omitted before.
func (l *Logger) Format(e *logrus.Entry) ([]byte, error) {
	omitted, ok := l.admit(e)
	var b []byte
	if omitted != nil {
		summary := &logrus.Entry{Logger: e.Logger, Time: e.Time, Level: logrus.WarnLevel, Message: omittedLinesMessage, Data: logrus.Fields{"omitted": omitted}}
		for _, k := range []string{"part", "process"} {
			if v, present := e.Data[k]; present {
				summary.Data[k] = v
			}
		}
		l.addClock(summary)
		a, err := format(summary)
		if err != nil {
			return nil, err
		}
		b = append(b, a...)
	}
	if !ok {
		return b, nil
	}
	if e.Level <= logrus.WarnLevel {
		l.flushPending.Store(true)
	}
	l.addClock(e)
	line, err := format(e)
	return append(b, line...), err
}

// addClock adds the clock reading to a log entry. logrus has copied the log
// entry's fields, so that adding one is safe.
func (l *Logger) addClock(e *logrus.Entry) {
	if l.settings.Clock != nil {
		e.Data[clockField] = l.settings.Clock()
	}
}

// admit counts a log entry and reports whether it is within the rate limit. If
// the log entry is the first of a new second, admit returns the numbers of lines
// omitted before, by message.
func (l *Logger) admit(e *logrus.Entry) (omitted map[string]int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Time.Sub(l.windowStart) >= time.Second || e.Time.Before(l.windowStart) {
		if len(l.omitted) > 0 {
			omitted, l.omitted = l.omitted, make(map[string]int)
		}
		l.windowStart, l.infoCount, l.warningCount = e.Time, 0, 0
		clear(l.passed)
	}
	count, limit := &l.infoCount, l.settings.MaxInfoPerSecond
	if e.Level <= logrus.WarnLevel {
		count, limit = &l.warningCount, l.settings.MaxWarningsPerSecond
	}
	if !l.isRare(e.Message) && *count >= limit {
		l.countOmitted(e.Message)
		return omitted, false
	}
	*count++
	return omitted, true
}

// isRare counts a line and reports whether it is among the first linesPerMessage of
// its message in this window. The caller holds mu.
func (l *Logger) isRare(message string) bool {
	n, counted := l.passed[message]
	if n >= linesPerMessage || !counted && len(l.passed) >= maxCountedMessages {
		return false
	}
	l.passed[message] = n + 1
	return true
}

// countOmitted counts an omitted line. The caller holds mu.
func (l *Logger) countOmitted(message string) {
	l.dropped.Add(1)
	if _, counted := l.omitted[message]; !counted && len(l.omitted) >= maxCountedMessages {
		message = otherMessages
	}
	l.omitted[message]++
}
