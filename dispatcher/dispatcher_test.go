package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
)

var begin = time.Unix(1_000_000, 0)

func newDispatcher() *dispatcher.Dispatcher[string] {
	d := new(dispatcher.Dispatcher[string])
	d.Init(begin)
	d.AddAgent("fast", 8)
	d.AddAgent("slow", 8)
	for range 50 {
		d.Observe("fast", 100*time.Millisecond)
		d.Observe("slow", 400*time.Millisecond)
	}
	return d
}

func add(d *dispatcher.Dispatcher[string], name string, after time.Duration, tasks int) {
	d.Add(&dispatcher.Job[string]{Value: name, Arrived: begin.Add(after)}, tasks, tasks)
}

func TestLeastRemainingWorkComesFirst(t *testing.T) {
	d := newDispatcher()
	d.Credit("fast", 2)
	add(d, "large", 0, 100)
	add(d, "small", time.Second, 1)
	j, _, ok := d.Next(nil)
	require.True(t, ok)
	require.Equal(t, "small", j.Value)
	j, _, ok = d.Next(nil)
	require.True(t, ok)
	require.Equal(t, "large", j.Value)
	_, _, ok = d.Next(nil)
	require.False(t, ok, "no granted slot is left")
}

func TestWaitingMakesUrgent(t *testing.T) {
	d := newDispatcher()
	d.Credit("fast", 1)
	add(d, "large", 0, 100)
	add(d, "small", time.Minute, 1)
	j, _, _ := d.Next(nil)
	require.Equal(t, "large", j.Value, "it has waited a minute longer")
}

func TestFastestEligibleAgent(t *testing.T) {
	d := newDispatcher()
	d.Credit("slow", 8)
	d.Credit("fast", 1)
	add(d, "job", 0, 3)
	_, agent, _ := d.Next(nil)
	require.Equal(t, "fast", agent)
	_, agent, _ = d.Next(nil)
	require.Equal(t, "slow", agent)
	_, _, ok := d.Next(func(string, string) bool { return false })
	require.False(t, ok)
}

func TestPausedAgentComesBack(t *testing.T) {
	d := newDispatcher()
	d.Credit("fast", 1)
	d.Pause(begin, "fast")
	add(d, "job", 0, 1)
	_, _, ok := d.Next(nil)
	require.False(t, ok)
	d.Tick(begin.Add(time.Second))
	_, agent, _ := d.Next(nil)
	require.Equal(t, "fast", agent)
}
