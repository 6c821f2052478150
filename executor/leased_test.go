package executor

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/leaser"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/sizer"
	"mustardlever.dev/mustardlever/starter"
)

const testBorn = 1000

// desk is a backend server in memory, with what was told of it.
type desk struct {
	mu     sync.Mutex
	born   int64
	silent bool // calls get no answer
	ends   []leaser.EndedRun
	active []leaser.ActiveRun
	told   []string
	ended  map[uint64]int // status by run, 0 for one that was stopped
}

func (d *desk) call(ctx context.Context, _ Report, c leaser.Call) leaser.Answer {
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	if silent {
		<-ctx.Done()
		return leaser.Answer{Status: leaser.StatusNoAnswer}
	}
	if c.Kind == leaser.KindRenew && c.Wait > 0 {
		time.Sleep(c.Wait / 2)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := leaser.Answer{Clock: time.Now().UnixMilli(), StartedAt: d.born}
	switch c.Kind {
	case leaser.KindStart:
		d.active = append(d.active, leaser.ActiveRun{Task: c.Task, Number: c.Number})
	case leaser.KindRenew:
		a.Active, a.Ended = d.active, d.ends
	}
	return a
}

func (d *desk) note(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = append(d.told, what)
}

func (d *desk) end(id uint64, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended[id] = status
}

// list returns what was told so far.
func (d *desk) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.told)
}

// results returns the ends so far.
func (d *desk) results() map[uint64]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.ended)
}

func newLeased(t *testing.T, d *desk) (*Leased, context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.ended = make(map[uint64]int)
	x := &Leased{
		Interval: 1500 * time.Millisecond, Log: logrus.NewEntry(log), Call: d.call,
		Offer: func(Report) { d.note("offer") }, Withdraw: func(Report) { d.note("withdraw") },
		SetUnresponsive: func(held bool) {
			if held {
				d.note("hold")
			} else {
				d.note("go on")
			}
		},
		Finish:        func(id uint64, r *protocol.Result) { d.end(id, r.Status) },
		FinishStopped: func(id uint64) { d.end(id, 0) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	x.Start(ctx)
	return x, func() { cancel(); x.Wait() }
}

func last(list []string) string { return list[len(list)-1] }

func testReport(number int64) Report {
	return Report{ID: "i-1", Address: "10.0.0.1:1", StartedAt: testBorn, Number: number, Ready: true, Capacity: sizer.Slots(4)}
}

func run(x *Leased, id uint64) {
	x.Run(starter.Run{ID: id, Attempt: 1, Request: protocol.Request{Name: "task"}})
}

func TestTaskRunsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &desk{born: testBorn}
		x, stop := newLeased(t, d)
		defer stop()
		require.True(t, x.HandleReport(testReport(1)))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"offer"}, d.list())
		run(x, 7)
		time.Sleep(50 * time.Millisecond)
		d.mu.Lock()
		d.active, d.ends = nil, []leaser.EndedRun{{Serial: 1, Task: "task", Number: 1, Reason: leaser.EndCompleted}}
		d.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, map[uint64]int{7: 200}, d.results())
	})
}

// A backend server that crashes answers nothing: it gets nothing new within
// the time of a call, and what ran there ends when its lease must have lapsed.
func TestSilentBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &desk{born: testBorn}
		x, stop := newLeased(t, d)
		defer stop()
		x.HandleReport(testReport(1))
		time.Sleep(50 * time.Millisecond)
		run(x, 7)
		time.Sleep(10 * time.Millisecond)
		d.mu.Lock()
		d.silent = true
		d.mu.Unlock()
		x.Run(starter.Run{ID: 8, Attempt: 1, Request: protocol.Request{Name: "unanswered"}})
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{"offer", "hold"}, d.list())
		require.Empty(t, d.results())
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, map[uint64]int{7: 0}, d.results(), "the start without an answer may yet be carried out")
		require.Equal(t, "withdraw", last(d.list()))
		d.mu.Lock()
		d.silent, d.born, d.active = false, testBorn+1, nil
		d.mu.Unlock()
		r := testReport(1)
		r.StartedAt = testBorn + 1
		x.HandleReport(r)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, map[uint64]int{7: 0, 8: 0}, d.results())
		require.Equal(t, "offer", last(d.list()))
	})
}

func TestOldReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &desk{born: testBorn}
		x, stop := newLeased(t, d)
		defer stop()
		require.True(t, x.HandleReport(testReport(5)))
		require.False(t, x.HandleReport(testReport(4)), "it was overtaken")
		before := testReport(9)
		before.StartedAt--
		require.False(t, x.HandleReport(before), "it is of an earlier life")
	})
}

func TestRememberedReportIsUsedUntilItIsBelied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &desk{born: testBorn}
		x, stop := newLeased(t, d)
		x.RestoreReport(testReport(0))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"offer"}, d.list())
		stop()
		d = &desk{born: testBorn + 5}
		x, stop = newLeased(t, d)
		defer stop()
		x.RestoreReport(testReport(0))
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, d.list(), "another life answers, whose capacity is not known")
		r := testReport(1)
		r.StartedAt = testBorn + 5
		x.HandleReport(r)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"offer"}, d.list())
	})
}
