package logger

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// recorder is a writer that keeps what is written to it.
type recorder struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.Write(p)
}

func (r *recorder) lines(t *testing.T) []map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(r.b.String()), "\n") {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m), line)
		list = append(list, m)
	}
	return list
}

func TestLineRateIsBoundedAndOmissionsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(recorder)
		log, l := New(out, logrus.InfoLevel, logrus.Fields{"part": "entry"}, Settings{MaxInfoPerSecond: 10, MaxWarningsPerSecond: 5})
		for range 100 {
			log.Info("Routine.")
		}
		for range 3 {
			log.Warn("Failure.")
		}
		time.Sleep(time.Second)
		log.Info("Next second.")
		synctest.Wait()
		list := out.lines(t)
		require.Len(t, list, 10+3+1+1)
		require.Equal(t, "Failure.", list[10]["msg"], "warnings have a limit of their own")
		require.Equal(t, map[string]any{"Routine.": 90.0}, list[13]["omitted"])
		require.Equal(t, "entry", list[13]["part"])
		require.Equal(t, int64(90), l.Dropped())
		close(l.lines)
	})
}

// A stalled reader must not block the callers of the log; lines are dropped
// instead.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	r, pipe := io.Pipe()
	defer r.Close()
	log, l := New(pipe, logrus.InfoLevel, nil, Settings{MaxInfoPerSecond: 1 << 20})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			log.Info("Line.")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the log blocked for 10 s")
	}
	require.Positive(t, l.Dropped())
}

func BenchmarkLine(b *testing.B) {
	log, _ := New(io.Discard, logrus.InfoLevel, logrus.Fields{"part": "entry", "process": "entry-1"}, Settings{MaxInfoPerSecond: 1 << 30})
	for b.Loop() {
		log.WithFields(logrus.Fields{"request-id": "5c0e7a21d94b36f8", "outcome": "complete", "took-ms": 70}).Info("Entry answered a job.")
	}
}

// For every type of field value, a line is one JSON object equal to the output of
// logrus's JSON formatter.
func TestLineMatchesLogrusFormatter(t *testing.T) {
	type kind string
	e := logrus.NewEntry(logrus.New()).WithFields(logrus.Fields{
		"text": "a \"quoted\"\nline \xff", "kind": kind("x"), "number": 7, "wide": int64(1) << 40, "yes": true, "part": 1.5,
		"error": errors.New("no \t route"), "counts": map[string]int{"b": 2, "a": 1}, "none": nil, "msg": "clash",
		"took": time.Second, "raw": json.RawMessage(`{"a":[1]}`), "list": []string{"a"},
	})
	e.Time, e.Level, e.Message = time.Unix(1_000_000, 5000).UTC(), logrus.WarnLevel, "A message."
	line, err := format(e)
	require.NoError(t, err)
	require.Equal(t, 1, bytes.Count(line, []byte("\n")))
	want, err := (&logrus.JSONFormatter{TimestampFormat: timeFormat}).Format(e)
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(line))
}

// Lines at level info are written together after Linger. A warning and Flush
// write at once.
func TestInfoLinesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(recorder)
		log, l := New(out, logrus.InfoLevel, nil, Settings{Linger: 100 * time.Millisecond})
		written := func() int {
			synctest.Wait()
			out.mu.Lock()
			defer out.mu.Unlock()
			return bytes.Count(out.b.Bytes(), []byte("\n"))
		}
		log.Info("First.")
		log.Info("Second.")
		time.Sleep(99 * time.Millisecond)
		require.Zero(t, written())
		time.Sleep(time.Millisecond)
		require.Equal(t, 2, written())

		log.Info("Third.")
		log.Warn("Fourth.")
		require.Equal(t, 4, written())

		log.Info("Fifth.")
		l.Flush(time.Second)
		require.Equal(t, 5, written())
		require.Equal(t, "Fifth.", out.lines(t)[4]["msg"])
		close(l.lines)
	})
}

// Guards against issue 27: the line that a configuration was adopted was omitted in
// the seconds that mattered, displaced by lines about single jobs.
func TestFrequentLinesDoNotDisplaceRareOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(recorder)
		log, l := New(out, logrus.InfoLevel, nil, Settings{MaxInfoPerSecond: 10})
		defer close(l.lines)
		for range 100 {
			log.Info("Routine.")
		}
		for range 5 {
			log.Info("Rare.")
		}
		synctest.Wait()
		require.Len(t, out.lines(t), 10+linesPerMessage)
		require.Equal(t, int64(90+5-linesPerMessage), l.Dropped())
		time.Sleep(time.Second)
		for i := range 1000 {
			log.Infof("Peer %d is lost.", i)
		}
		synctest.Wait()
		require.Len(t, out.lines(t), 10+linesPerMessage+1+maxCountedMessages, "the number of rare messages is bounded")
	})
}
