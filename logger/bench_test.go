package logger

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkJobLine measures the line that an entry writes for each job.
func BenchmarkJobLine(b *testing.B) {
	clock := int64(0)
	log, _ := New(io.Discard, logrus.InfoLevel, logrus.Fields{"part": "entry", "process": "entry-1"},
		Settings{MaxInfoPerSecond: 1 << 40, Clock: func() int64 { clock++; return clock }})
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"request-id": "8d13e9209d055626", "job": "61833a07cca50439", "route": "r-1", "service": "access-desk",
			"tasks": 7, "due-ms": 165, "deadline-ms": 1880, "configuration": 11,
		}).Info("Entry takes a job.")
	}
}

// BenchmarkLeftOut measures a line that exceeds the rate limit.
func BenchmarkLeftOut(b *testing.B) {
	log, _ := New(io.Discard, logrus.InfoLevel, logrus.Fields{"part": "entry", "process": "entry-1"}, Settings{MaxInfoPerSecond: 1})
	b.ReportAllocs()
	for b.Loop() {
		log.WithField("job", "61833a07cca50439").Info("Entry takes a job.")
	}
}
