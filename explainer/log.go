package explainer

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

const maxLineBytes = 1 << 20 // longer lines end the reading of a log with an error

// Log is the lines of many processes. The zero value has none.
type Log struct {
	Lines      []Line // in the order of the clock, after Sort
	Unreadable int    // lines passed over: cut, or of another program
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

// Sort puts the lines into the order of the clock. Lines of one reading stay in
// the order in which they were read.
func (l *Log) Sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return cmp.Compare(a.Clock, b.Clock) })
}

// Select returns the lines that keep says to keep.
func (l *Log) Select(keep func(*Line) bool) []Line {
	var kept []Line
	for i := range l.Lines {
		if keep(&l.Lines[i]) {
			kept = append(kept, l.Lines[i])
		}
	}
	return kept
}

// Extent says what was read: how many lines of which processes over which span.
func (l *Log) Extent() string {
	processes := make(map[string]bool)
	for i := range l.Lines {
		processes[l.Lines[i].Process] = true
	}
	text := fmt.Sprintf("%d lines of %d processes", len(l.Lines), len(processes))
	if len(l.Lines) > 0 {
		first, last := &l.Lines[0], &l.Lines[len(l.Lines)-1]
		text += fmt.Sprintf(" from %s to %s", at(first.Clock), at(last.Clock))
	}
	if l.Unreadable > 0 {
		text += fmt.Sprintf("; %d lines could not be read", l.Unreadable)
	}
	return text
}

func at(clock int64) string { return time.UnixMicro(clock).UTC().Format("2006-01-02 15:04:05.000") }
