package coordinator

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/protocol"
)

// limitMemory bounds the memory for jobs of c and returns what is reserved.
func limitMemory(c *Coordinator, limit int64) *int64 {
	used := new(int64)
	c.ReserveMemory = func(n int64) bool {
		if *used+n > limit {
			return false
		}
		*used += n
		return true
	}
	c.ReleaseMemory = func(n int64) { *used -= n }
	return used
}

// Guards against jobs that are kept without a limit of their memory, against a refusal for
// lack of memory that uses up the ticket, and against memory that is not released.
func TestMemoryOfJobsIsBounded(t *testing.T) {
	c := newTestCoordinator()
	job := Job{Digest: "d", Tasks: []protocol.Request{{Path: "/x", Body: bytes.Repeat([]byte("x"), 10_000)}}}
	held, requests := job.memory()
	used := limitMemory(c, held+requests)
	tickets, err := c.Issue(testStart, 2)
	require.NoError(t, err)
	_, err = c.Submit(testStart, tickets[0].Ticket, job)
	require.NoError(t, err)
	_, err = c.Submit(testStart, tickets[1].Ticket, job)
	require.Equal(t, KindOverload, fault.KindOf[Kind](err))
	starts := drainStarts(c)
	require.Len(t, starts, 1)
	completeTask(c, testStart, starts[0])
	require.Equal(t, held, *used, "the request is not needed once the job has ended")
	later := testStart.Add(c.Settings.TicketLife - time.Second)
	_, err = c.Submit(later, tickets[1].Ticket, job)
	require.Equal(t, KindOverload, fault.KindOf[Kind](err), "the ended job is kept")
	c.ReserveMemory = func(n int64) bool { *used += n; return true }
	a, err := c.Submit(later, tickets[1].Ticket, job)
	require.NoError(t, err)
	require.Nil(t, a, "the refused ticket is still valid")
	completeTask(c, later, drainStarts(c)[0])
	c.Tick(later.Add(3 * c.Settings.TicketLife))
	require.Empty(t, c.jobs)
	require.Zero(t, *used)
}

// Guards against a backup that says that nothing of a job has run when it lacks memory to
// take the job over: its owner may have run it.
func TestTakeOverWithoutMemory(t *testing.T) {
	c := newTestCoordinator()
	used := limitMemory(c, 0)
	ticket := protocol.Ticket{Owner: testOwner, Backup: c.Self, Sequence: 3}
	_, err := c.TakeOver(testStart, ticket, oneTask())
	require.Equal(t, KindNoMemory, fault.KindOf[Kind](err))
	require.Zero(t, *used)
	require.Empty(t, c.jobs)
}

// Guards against a record of each request for tickets, which callers may send without end.
func TestManyRequestsForTicketsAreFewRanges(t *testing.T) {
	c := newTestCoordinator()
	const requests, interval = 10_000, 100 * time.Microsecond
	now := testStart
	for range requests {
		_, err := c.Issue(now, 1)
		require.NoError(t, err)
		now = now.Add(interval)
	}
	require.LessOrEqual(t, len(c.issued), int(requests*interval/ticketRangeSpan)+1)
	last := now.Add(c.Settings.TicketLife)
	c.expireTickets(last.Add(-ticketRangeSpan - interval))
	require.Less(t, c.expiredBelow, uint64(requests), "the newest tickets are still valid")
	c.expireTickets(last)
	require.Equal(t, c.nextSequence, c.expiredBelow)
}
