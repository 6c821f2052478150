package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/sizer"
)

// newLocalityDispatcher returns a Dispatcher with two agents at place "a", all of
// whose slots are in use, and one at place "b" with sixteen free slots, half of all. Place "a" has
// started one task of 100 ms every 10 ms.
func newLocalityDispatcher() (d *dispatcher.Dispatcher[string], now time.Time) {
	d = new(dispatcher.Dispatcher[string])
	d.Settings = dispatcher.Settings{LocalityWait: true, RemoteFactor: 3}
	d.Init(startTime)
	now = startTime
	d.AddAgent("near-1", sizer.Slots(8), []string{"a"})
	d.AddAgent("near-2", sizer.Slots(8), []string{"a"})
	d.AddAgent("far", sizer.Slots(16), []string{"b"})
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		reportFree(d, "near-1", 1)
		addPreferring(d, now, fmt.Sprintf("earlier-%d", i), 0)
		if _, agent, ok := d.Next(now, nil); !ok || agent != "near-1" {
			panic("the place has no samples")
		}
		d.Tick(now)
	}
	reportFree(d, "near-1", 0)
	reportFree(d, "far", 16)
	return d, now
}

// addPreferring adds a job of one task of 100 ms that prefers place "a". A due of 0 is none.
func addPreferring(d *dispatcher.Dispatcher[string], now time.Time, name string, due time.Duration) *dispatcher.Job[string] {
	j := &dispatcher.Job[string]{Value: name, Arrived: now, Need: sizer.Slots(1), Estimate: 100 * time.Millisecond, PreferredLabel: "a"}
	if due > 0 {
		j.Due = now.Add(due)
	}
	d.Add(j, 1, 1)
	return j
}

func requireStart(t *testing.T, d *dispatcher.Dispatcher[string], now time.Time, job, agent string) {
	t.Helper()
	j, a, ok := d.Next(now, nil)
	require.True(t, ok)
	require.Equal(t, job, j.Value)
	require.Equal(t, agent, a)
}

func requireWait(t *testing.T, d *dispatcher.Dispatcher[string], now time.Time) {
	t.Helper()
	_, _, ok := d.Next(now, nil)
	require.False(t, ok)
}

// A task that starts away from its data at once would end after 300 ms. At its place
// capacity is released within 10 ms, so that it ends after 110 ms.
func TestJobWaitsForPlaceThatDrains(t *testing.T) {
	d, now := newLocalityDispatcher()
	addPreferring(d, now, "job", 0)
	requireWait(t, d, now)
	require.Equal(t, 1, d.LocalityCounts().Waiting)
	reportFree(d, "near-2", 1)
	requireStart(t, d, now.Add(2*time.Millisecond), "job", "near-2")
	require.Equal(t, dispatcher.WaitCounts{Begun: 1, PaidOff: 1}, d.LocalityCounts())
}

// Without the setting, a job starts away from its data as soon as there is capacity.
func TestNoWaitWithoutSetting(t *testing.T) {
	d, now := newLocalityDispatcher()
	d.Settings.LocalityWait = false
	addPreferring(d, now, "job", 0)
	requireStart(t, d, now, "job", "far")
}

// A place at which nothing was started yet may have little capacity for this entry.
func TestNoWaitWithoutSamples(t *testing.T) {
	d := new(dispatcher.Dispatcher[string])
	d.Settings.LocalityWait = true
	d.Init(startTime)
	d.AddAgent("near", sizer.Slots(8), []string{"a"})
	d.AddAgent("far", sizer.Slots(8), []string{"b"})
	reportFree(d, "far", 1)
	addPreferring(d, startTime, "job", 0)
	requireStart(t, d, startTime, "job", "far")
}

// A wait must end at once when the place has no usable server any more.
func TestWaitEndsWithoutUsableServer(t *testing.T) {
	for name, lose := range map[string]func(d *dispatcher.Dispatcher[string], now time.Time){
		"lost": func(d *dispatcher.Dispatcher[string], now time.Time) {
			d.RemoveAgent("near-1")
			d.RemoveAgent("near-2")
		},
		"suspended": func(d *dispatcher.Dispatcher[string], now time.Time) {
			d.Suspend(now, "near-1")
			d.Suspend(now, "near-2")
		},
		"evacuated": func(d *dispatcher.Dispatcher[string], now time.Time) {
			d.SetEvacuated("near-1", true)
			d.SetEvacuated("near-2", true)
		},
		"too small": func(d *dispatcher.Dispatcher[string], now time.Time) {
			d.AddAgent("near-1", sizer.Resources{CPU: 500}, []string{"a"})
			d.AddAgent("near-2", sizer.Resources{CPU: 500}, []string{"a"})
		},
		"other place": func(d *dispatcher.Dispatcher[string], now time.Time) {
			d.AddAgent("near-1", sizer.Slots(8), []string{"c"})
			d.AddAgent("near-2", sizer.Slots(8), []string{"c"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, now := newLocalityDispatcher()
			for i := range 4 { // at most half of the agents are suspended
				d.AddAgent(fmt.Sprintf("other-%d", i), sizer.Slots(8), nil)
			}
			addPreferring(d, now, "job", 0)
			requireWait(t, d, now)
			lose(d, now)
			requireStart(t, d, now.Add(5*time.Millisecond), "job", "far")
			require.Equal(t, dispatcher.WaitCounts{Begun: 1, GivenUp: 1}, d.LocalityCounts())
		})
	}
	t.Run("excluded", func(t *testing.T) {
		d, now := newLocalityDispatcher()
		addPreferring(d, now, "job", 0)
		_, agent, ok := d.Next(now, func(_, agent string) bool { return agent == "far" })
		require.True(t, ok)
		require.Equal(t, "far", agent)
	})
}

// Capacity that a waiting job passes by must not stay idle, however many jobs wait ahead.
func TestOtherJobsUseCapacityThatWaitingJobsPassBy(t *testing.T) {
	d, now := newLocalityDispatcher()
	for i := range 40 {
		addPreferring(d, now, fmt.Sprintf("waiting-%d", i), 800*time.Millisecond)
		reportFree(d, "far", 1) // without headroom all of them wait
		requireWait(t, d, now)
	}
	require.Greater(t, d.LocalityCounts().Waiting, 32, "more than a scan examines")
	reportFree(d, "far", 1)
	d.Add(&dispatcher.Job[string]{Value: "other", Arrived: now, Need: sizer.Slots(1), Estimate: 100 * time.Millisecond}, 1, 1)
	requireStart(t, d, now, "other", "far")
}

// Jobs that wait for the place are counted: about 20 tasks of 10 ms each take the 200 ms
// that waiting can save. Later ones start elsewhere.
func TestJobsThatWaitForPlaceAreCounted(t *testing.T) {
	d, now := newLocalityDispatcher()
	waiting := 0
	for i := range 60 {
		addPreferring(d, now, fmt.Sprintf("job-%d", i), 0)
		reportFree(d, "far", 16)
		if _, _, ok := d.Next(now, nil); ok {
			break
		}
		waiting++
	}
	require.InDelta(t, 20, waiting, 5)
	require.Equal(t, waiting, d.LocalityCounts().Waiting)
}

// Of a wide job, only as many tasks wait as the place can start in time.
func TestTasksOfWideJobAreDivided(t *testing.T) {
	d, now := newLocalityDispatcher()
	j := &dispatcher.Job[string]{Value: "wide", Arrived: now, Need: sizer.Slots(1), Estimate: 100 * time.Millisecond, PreferredLabel: "a"}
	d.Add(j, 30, 30)
	for range 50 {
		reportFree(d, "far", 16)
		if _, _, ok := d.Next(now, nil); !ok {
			break
		}
	}
	require.InDelta(t, 20, j.Waiting, 5)
}

// A place that does not release capacity as expected must not hold a job back for longer
// than the wait was to save, 200 ms.
func TestWaitHasLatestTime(t *testing.T) {
	d, now := newLocalityDispatcher()
	addPreferring(d, now, "job", 0)
	for waited := time.Duration(0); waited < 200*time.Millisecond; waited += 20 * time.Millisecond {
		_, _, ok := d.Next(now.Add(waited), nil)
		if ok {
			return // the estimate reversed earlier
		}
		d.Tick(now.Add(waited))
	}
	requireStart(t, d, now.Add(200*time.Millisecond), "job", "far")
	require.Equal(t, dispatcher.WaitCounts{Begun: 1, GivenUp: 1}, d.LocalityCounts())
}

// When the place stops releasing capacity, its rate falls and the wait stops paying.
func TestWaitEndsWhenEstimateReverses(t *testing.T) {
	d, now := newLocalityDispatcher()
	for i := range 10 {
		addPreferring(d, now, fmt.Sprintf("job-%d", i), 0)
	}
	requireWait(t, d, now)
	var waited time.Duration
	for waited = 10 * time.Millisecond; waited < 200*time.Millisecond; waited += 10 * time.Millisecond {
		d.Tick(now.Add(waited))
		if _, agent, ok := d.Next(now.Add(waited), nil); ok {
			require.Equal(t, "far", agent)
			break
		}
	}
	require.Less(t, waited, 200*time.Millisecond)
}

// While capacity is scarce, a job leaves what is free elsewhere to others, even if it would
// end earlier there. A place whose servers hang must not hold it back.
func TestJobLeavesScarceCapacityToOthers(t *testing.T) {
	d, now := newLocalityDispatcher()
	for i := range 40 {
		addPreferring(d, now, fmt.Sprintf("job-%d", i), 0)
	}
	reportFree(d, "far", 6)
	requireWait(t, d, now)
	for range 50 { // the place starts nothing for a second
		now = now.Add(20 * time.Millisecond)
		d.Tick(now)
		if _, _, ok := d.Next(now, nil); ok {
			return
		}
	}
	require.Fail(t, "jobs wait for a place that stalls")
}

// The due time comes first: a job that would end earlier at its place, but in time only
// elsewhere, does not wait.
func TestDueTimeComesBeforeEarlierEnd(t *testing.T) {
	d, now := newLocalityDispatcher()
	for range 100 { // the distant agent is three times as fast
		d.RecordDuration("far", 300*time.Millisecond, 100*time.Millisecond)
	}
	addPreferring(d, now, "job", 105*time.Millisecond)
	requireStart(t, d, now, "job", "far")
}

// A wait that is not followed by a start, as when its caller cancels, is not counted as
// a waiting job forever.
func TestRemovedJobDoesNotWait(t *testing.T) {
	d, now := newLocalityDispatcher()
	j := addPreferring(d, now, "job", 0)
	requireWait(t, d, now)
	d.Remove(j)
	require.Equal(t, dispatcher.WaitCounts{Begun: 1, GivenUp: 1}, d.LocalityCounts())
}

// Callers choose preferred labels, so their number must not determine the memory used.
func TestPlacesAreBounded(t *testing.T) {
	d := new(dispatcher.Dispatcher[string])
	d.Settings.LocalityWait = true
	d.Init(startTime)
	d.AddAgent("agent", sizer.Slots(8), []string{"a"})
	for i := range 10_000 {
		j := &dispatcher.Job[string]{Arrived: startTime, Need: sizer.Slots(1), PreferredLabel: fmt.Sprint(i)}
		d.Add(j, 1, 1)
		d.Remove(j)
	}
	require.LessOrEqual(t, d.Places(), 128)
	d.Add(&dispatcher.Job[string]{Arrived: startTime.Add(time.Hour), Need: sizer.Slots(1), PreferredLabel: "a"}, 1, 1)
	require.LessOrEqual(t, d.Places(), 128)
}

// A task away from its data takes longer on a server of any speed. Its server must not be
// taken for a slow one.
func TestRemoteTaskDoesNotMakeServerSlow(t *testing.T) {
	d, now := newLocalityDispatcher()
	j := addPreferring(d, now, "job", 0)
	for range 100 {
		d.RecordDuration("far", d.EstimateAt(j, "far"), 300*time.Millisecond)
	}
	require.InDelta(t, 1, d.View(now, "far").Slowness, 0.01)
	require.Equal(t, 100*time.Millisecond, d.EstimateAt(j, "near-1"))
}
