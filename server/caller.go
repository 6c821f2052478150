package server

import (
	"context"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// callerCheckInterval is the time between two checks whether a caller has left. Most jobs
// end before the first one. A caller submits its job to another entry 1.3 s after it left,
// and tasks whose stops have no effect may run for 0.73 s of that.
const callerCheckInterval = 250 * time.Millisecond

// remaining returns the time left until the deadline, in whole milliseconds. The request
// may have waited unread while this process was paused or slow.
func (r SyncJob) remaining(startedAt time.Time) time.Duration {
	age := time.Since(startedAt)
	if r.Age != nil {
		age = max(age, r.Age())
	}
	return (r.Deadline - age).Truncate(time.Millisecond)
}

// callerGone reports whether the caller no longer waits, and returns the reply to it. Call
// it just before the job is submitted. ctx ends only when a goroutine has read the end of
// the connection; by then tasks could have been started, and the caller may have submitted
// the job to another entry.
func (r SyncJob) callerGone(ctx context.Context, remaining time.Duration) (SyncReply, bool) {
	switch {
	case ctx.Err() != nil || r.CallerLeft != nil && r.CallerLeft():
		return SyncReply{Outcome: OutcomeNotRun, Cause: "the caller had left before the job was submitted", Reason: protocol.ReasonCancelled}, true
	case r.Deadline > 0 && remaining <= 0:
		return SyncReply{Outcome: OutcomeNotRun, Cause: "the deadline had passed before the job was submitted", RetryAfter: retryAfter, Reason: protocol.ReasonDeadline}, true
	}
	return SyncReply{}, false
}

// watchCaller calls cancel when the caller has left, until ctx ends. The context of an HTTP
// request does not end if there are unread data before the end of the connection.
func (r SyncJob) watchCaller(ctx context.Context, cancel func()) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.CallerLeft() {
			cancel()
			return
		}
	}
}
