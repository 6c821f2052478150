package starter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
)

// newProfilingStarter returns a Starter with eight slots that reports profiles to entry
// "entry.1", and takes its first messages.
func newProfilingStarter(report bool) *Starter {
	s := &Starter{Self: "agent.1", Service: "service", Capacity: sizer.Slots(8), Settings: Settings{ReportProfiles: report}}
	s.Init()
	s.SetServerIdentity("a")
	s.EntryConnected("entry.1")
	s.TakeDecisions()
	return s
}

// runTask runs a task with an estimate of 100 ms and returns the load in its outcome.
func runTask(t *testing.T, s *Starter, task int, expected, took time.Duration, status int) protocol.Load {
	t.Helper()
	s.Receive("entry.1", protocol.Message{Start: &protocol.Start{
		Agent: "agent.1", Ticket: protocol.Ticket{Sequence: 1}, Task: task, Request: protocol.Request{EstimateMillis: 100}, SessionBound: true,
		ExpectedMillis: expected.Milliseconds(),
	}})
	d := s.TakeDecisions()
	require.Len(t, d.Starts, 1)
	s.Finish(d.Starts[0].ID, &protocol.Result{Status: status, ServeMicros: took.Microseconds()})
	d = s.TakeDecisions()
	require.Len(t, d.Messages, 1)
	return d.Messages[0].Message.Outcome.Load
}

// The profile must reach the entries with the messages that are sent anyway, and only when
// it has changed: it would otherwise add a third to each load report.
func TestProfileIsSentWhenItChanges(t *testing.T) {
	s := newProfilingStarter(true)
	sent := 0
	var last *profiler.Profile
	for i := range 200 {
		if p := runTask(t, s, i, 0, 200*time.Millisecond, 200).Profile; p != nil {
			sent, last = sent+1, p
		}
	}
	require.Less(t, sent, 25)
	require.Equal(t, &profiler.Profile{Incarnation: 1, SlownessPercent: 201, Samples: 32}, last)
}

// An entry that connects later must learn the profile with the announcement.
func TestAnnouncementHasProfile(t *testing.T) {
	s := newProfilingStarter(true)
	runTask(t, s, 0, 0, 100*time.Millisecond, 200)
	s.EntryConnected("entry.2")
	d := s.TakeDecisions()
	require.Equal(t, 1, d.Messages[0].Message.Announce.Load.Profile.Samples)
}

// A server whose tasks fail gets none, so that its free capacity does not change. The
// entries must learn nevertheless that its profile has faded.
func TestFadedProfileIsReportedWithoutRuns(t *testing.T) {
	s := newProfilingStarter(true)
	now := time.Unix(1_000_000, 0)
	s.Tick(now)
	for i := range 40 {
		runTask(t, s, i, 0, 10*time.Millisecond, 500)
	}
	s.SendLoad()
	s.TakeDecisions()
	var last *profiler.Profile
	messages := 0
	for range 60 {
		now = now.Add(time.Second)
		s.Tick(now)
		for range 50 {
			s.SendLoad()
		}
		for _, m := range s.TakeDecisions().Messages {
			messages++
			last = m.Message.Load.Profile
		}
	}
	require.Equal(t, &profiler.Profile{Incarnation: 1}, last)
	require.Less(t, messages, 20)
}

// Entries must discard what they know when the server has restarted, also before it has run
// a task.
func TestNewServerHasEmptyProfile(t *testing.T) {
	s := newProfilingStarter(true)
	runTask(t, s, 0, 0, 800*time.Millisecond, 200)
	s.SetServerIdentity("b")
	s.UpdateOffer("address", sizer.Slots(8), nil)
	d := s.TakeDecisions()
	require.Equal(t, &profiler.Profile{Incarnation: 2}, d.Messages[0].Message.Announce.Load.Profile)
}

// A task away from its data takes longer on a server of any speed.
func TestExpectedDurationOfRemoteTask(t *testing.T) {
	s := newProfilingStarter(true)
	for i := range 100 {
		runTask(t, s, i, 300*time.Millisecond, 300*time.Millisecond, 200)
	}
	require.Equal(t, 100, s.Profile().SlownessPercent)
}

// Without the setting, messages stay as they were.
func TestNoProfileWithoutSetting(t *testing.T) {
	s := newProfilingStarter(false)
	require.Nil(t, runTask(t, s, 0, 0, 100*time.Millisecond, 200).Profile)
}
