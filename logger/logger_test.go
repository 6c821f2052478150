package logger

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// buffer is a reader that keeps what it is given.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (x *buffer) Write(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.Write(p)
}

func (x *buffer) lines(t *testing.T) []map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(x.b.String()), "\n") {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m), line)
		list = append(list, m)
	}
	return list
}

func TestVolumeIsBoundedAndTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(buffer)
		log, w := New(out, logrus.InfoLevel, logrus.Fields{"part": "entry"}, Settings{Routine: 10, Urgent: 5})
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
		require.Equal(t, "Failure.", list[10]["msg"], "failures go before routine")
		require.Equal(t, map[string]any{"Routine.": 90.0}, list[13]["omitted"])
		require.Equal(t, "entry", list[13]["part"])
		require.Equal(t, int64(90), w.Dropped())
		close(w.lines)
	})
}

// A reader that does not read costs lines and no time.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	r, pipe := io.Pipe()
	defer r.Close()
	log, w := New(pipe, logrus.InfoLevel, nil, Settings{Routine: 1 << 20})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			log.Info("Line.")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the log blocks")
	}
	require.Positive(t, w.Dropped())
}

func BenchmarkLine(b *testing.B) {
	log, _ := New(io.Discard, logrus.InfoLevel, logrus.Fields{"part": "entry", "process": "entry-1"}, Settings{Routine: 1 << 30})
	for b.Loop() {
		log.WithFields(logrus.Fields{"request-id": "5c0e7a21d94b36f8", "outcome": "complete", "took-ms": 70}).Info("Entry answered a job.")
	}
}
