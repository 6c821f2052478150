package cutdetector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/cutdetector"
)

var testTime = time.Unix(1_000_000, 0)

func ExampleDetector() {
	var d cutdetector.Detector
	start := time.Unix(1000, 0)
	d.Observe(start)
	d.Observe(start.Add(1700 * time.Millisecond)) // nothing was heard in between
	now := start.Add(1900 * time.Millisecond)
	fmt.Println(d.Suspect(now, start), d.Suspect(now, start.Add(1800*time.Millisecond)))
	// Output: true false
}

// A request that is sent at any time of a cut arrives with the first retransmission after it
// (0.2 s after the first send, then doubling), and has to be suspect.
func TestRetransmittedRequestIsSuspect(t *testing.T) {
	for _, cut := range []time.Duration{600 * time.Millisecond, 1700 * time.Millisecond, 4 * time.Second} {
		var d cutdetector.Detector
		d.Observe(testTime)
		end := testTime.Add(cut)
		d.Observe(end)
		for sent := testTime; sent.Before(end); sent = sent.Add(7 * time.Millisecond) {
			interval := 206 * time.Millisecond
			arrival := sent.Add(interval)
			for arrival.Before(end) {
				interval *= 2
				arrival = arrival.Add(interval)
			}
			require.True(t, d.Suspect(arrival, testTime.Add(-time.Second)), "cut %v, sent after %v", cut, sent.Sub(testTime))
		}
	}
}

// The end of the cut shows with the first message of a peer, which may come after a request.
func TestRequestBeforeFirstContactIsSuspect(t *testing.T) {
	var d cutdetector.Detector
	d.Observe(testTime)
	require.True(t, d.Suspect(testTime.Add(time.Second), testTime))
}

// Suspicion costs a request some time, so it must end by itself, and not concern callers that
// have been answered since, nor processes that hear from their peers or have none.
func TestSuspicionEnds(t *testing.T) {
	var d cutdetector.Detector
	require.False(t, d.Suspect(testTime, testTime.Add(-time.Hour)), "no peers")
	d.Observe(time.Time{})
	d.Observe(testTime)
	d.Observe(testTime.Add(499 * time.Millisecond))
	require.False(t, d.Suspect(testTime.Add(500*time.Millisecond), testTime))
	end := testTime.Add(2 * time.Second)
	d.Observe(end)
	d.Observe(end.Add(100 * time.Millisecond))
	require.True(t, d.Suspect(end.Add(150*time.Millisecond), testTime))
	require.False(t, d.Suspect(end.Add(150*time.Millisecond), end.Add(time.Millisecond)), "answered since")
	at := end
	for range 25 {
		at = at.Add(100 * time.Millisecond)
		d.Observe(at)
	}
	require.False(t, d.Suspect(at, testTime))
	at = at.Add(time.Hour)
	for i := range 301 {
		d.Observe(at.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	require.True(t, d.Suspect(at.Add(29*time.Second), testTime))
	require.False(t, d.Suspect(at.Add(30*time.Second), testTime), "bounded, after a cut of an hour")
}
