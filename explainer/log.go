package explainer

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

const maxLineBytes = 1 << 20 // Read returns an error for a log with a longer line

// Log holds the log lines of several processes. The zero value is empty.
type Log struct {
	Lines      []Line // ordered by clock after Sort
	Unreadable int    // number of lines skipped: truncated, or written by another program
}

// Read adds the lines of one log.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if len(s.Bytes()) == 0 {
			continue
		}
		if x, ok := parse(s.Text()); ok {
			l.Lines = append(l.Lines, x)
		} else {
			l.Unreadable++
		}
	}
	if err := s.Err(); err != nil {
		return &Error{Op: "read log", Kind: KindRead, Err: err}
	}
	return nil
}

// Sort sorts the lines by clock. Lines with equal clock readings stay in the order
// in which they were read.
func (l *Log) Sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return cmp.Compare(a.Clock, b.Clock) })
}

// Select returns the lines for which match returns true.
func (l *Log) Select(match func(*Line) bool) []Line {
	var selected []Line
	for i := range l.Lines {
		if match(&l.Lines[i]) {
			selected = append(selected, l.Lines[i])
		}
	}
	return selected
}

// Extent describes what was read: the number of lines, of processes and of
// unreadable lines, and the time span. Call Sort before it.
func (l *Log) Extent() string {
	processes := make(map[string]bool)
	for i := range l.Lines {
		processes[l.Lines[i].Process] = true
	}
	summary := fmt.Sprintf("%d lines of %d processes", len(l.Lines), len(processes))
	if len(l.Lines) > 0 {
		first, last := &l.Lines[0], &l.Lines[len(l.Lines)-1]
		summary += fmt.Sprintf(" from %s to %s", formatClock(first.Clock), formatClock(last.Clock))
	}
	if l.Unreadable > 0 {
		summary += fmt.Sprintf("; %d lines could not be read", l.Unreadable)
	}
	return summary
}

func formatClock(clock int64) string {
	return time.UnixMicro(clock).UTC().Format("2006-01-02 15:04:05.000")
}
