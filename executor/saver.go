package executor

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/pausedetector"
)

const (
	saveTimeout    = 700 * time.Millisecond // of one write
	saveRetryDelay = 500 * time.Millisecond // after a failed write
)

// ReportSaver writes the newest report that a later process of the agent should
// restore. Writes do not overlap, and a failed write is repeated until it succeeds or a
// newer report takes its place. A write without an answer may still take effect later.
type ReportSaver struct {
	Write func(ctx context.Context, r Report) error
	Log   *logrus.Entry

	mu      sync.Mutex
	newest  Report
	pending bool // newest has not been written
	writing bool // a goroutine writes
}

// Save writes the report on another goroutine, until ctx is done.
func (s *ReportSaver) Save(ctx context.Context, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest, s.pending = r, true
	if !s.writing {
		s.writing = true
		go s.writeAll(ctx)
	}
}

// writeAll writes until no report is pending.
func (s *ReportSaver) writeAll(ctx context.Context) {
	for {
		s.mu.Lock()
		if !s.pending || ctx.Err() != nil {
			s.writing = false
			s.mu.Unlock()
			return
		}
		r := s.newest
		s.pending = false
		s.mu.Unlock()
		if err := s.write(ctx, r); err != nil {
			s.Log.WithError(err).WithFields(logFields(r)).Info("Saving the backend server's report in the store failed; it will be repeated.")
			s.mu.Lock()
			s.pending = true
			s.mu.Unlock()
			pausedetector.Sleep(ctx, saveRetryDelay)
		}
	}
}

func (s *ReportSaver) write(ctx context.Context, r Report) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return s.Write(ctx, r)
}
