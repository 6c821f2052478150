package profiler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/profiler"
)

var startTime = time.Unix(1_000_000, 0)

func ExampleProfiler() {
	var p profiler.Profiler
	for range 27 {
		p.RecordSuccess(p.Incarnation(), 100*time.Millisecond, 200*time.Millisecond)
	}
	for range 3 {
		p.RecordFailure(p.Incarnation())
	}
	r := p.Profile()
	fmt.Println(r.SlownessPercent, r.FailurePercent, r.Samples)
	// Output: 192 10 16
}

// Half and twice the estimate must cancel out, as at entries.
func TestSlownessIsAveragedOnLogarithmicScale(t *testing.T) {
	var p profiler.Profiler
	for range 200 {
		p.RecordSuccess(0, 100*time.Millisecond, 50*time.Millisecond)
		p.RecordSuccess(0, 100*time.Millisecond, 200*time.Millisecond)
	}
	require.InDelta(t, 100, p.Profile().SlownessPercent, 10)
}

// The profile of an earlier incarnation, and runs that it started and that end later, say
// nothing about the present one.
func TestNewIncarnationBeginsAnew(t *testing.T) {
	var p profiler.Profiler
	p.SetIdentity("a")
	earlier := p.Incarnation()
	p.RecordSuccess(earlier, 100*time.Millisecond, 800*time.Millisecond)
	p.RecordFailure(earlier)
	p.SetIdentity("a")
	require.Equal(t, 2, p.Profile().Samples, "the same incarnation")
	p.SetIdentity("b")
	p.RecordSuccess(earlier, 100*time.Millisecond, 800*time.Millisecond)
	p.RecordFailure(earlier)
	require.Equal(t, profiler.Profile{Incarnation: earlier + 1}, p.Profile())
}

// A server whose runs failed gets none while entries use its profile, so the profile must
// change without runs.
func TestFailuresAreForgotten(t *testing.T) {
	var p profiler.Profiler
	p.Tick(startTime)
	for range 1000 {
		p.RecordFailure(0)
	}
	require.Equal(t, profiler.Profile{FailurePercent: 100, Samples: 32}, p.Profile())
	for i := range 30 {
		p.Tick(startTime.Add(time.Duration(i) * time.Second))
	}
	require.Zero(t, p.Profile().Samples)
}

// One hung run must not make a server look slow for long.
func TestSamplesAreClamped(t *testing.T) {
	var p profiler.Profiler
	for range 100 {
		p.RecordSuccess(0, time.Millisecond, time.Hour)
	}
	require.Equal(t, 800, p.Profile().SlownessPercent)
	for range 100 {
		p.RecordSuccess(0, time.Millisecond, time.Millisecond)
	}
	p.RecordSuccess(0, time.Millisecond, time.Hour)
	require.Less(t, p.Profile().SlownessPercent, 120)
	require.Equal(t, profiler.Profile{SlownessPercent: 800, FailurePercent: 100, Samples: 32},
		profiler.Profile{SlownessPercent: 1 << 40, FailurePercent: 1 << 40, Samples: 1 << 40}.Clamped())
	require.Equal(t, profiler.Profile{SlownessPercent: 13}, profiler.Profile{SlownessPercent: -1, FailurePercent: -1, Samples: -1}.Clamped())
}

// A profile that changed with every run would be sent with every message.
func TestProfileSeldomChanges(t *testing.T) {
	var p profiler.Profiler
	changes, last := 0, profiler.Profile{}
	for i := range 1000 {
		p.RecordSuccess(0, 100*time.Millisecond, time.Duration(95+i*7%11)*time.Millisecond)
		if r := p.Profile(); r != last {
			changes, last = changes+1, r
		}
	}
	require.Less(t, changes, 20)
}
