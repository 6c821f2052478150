package coordinator

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// never is the watermark of an owner none of whose tickets may start any more.
const never = math.MaxUint64

// adoptedAttempt is the first attempt of a witness: above any of the owner's.
const adoptedAttempt = 1 << 20

// member is an agent on an owner's roster.
type member struct {
	until uint64 // not used for tickets from this one on; zero: no end
	acked bool
}

// binding is where a task was started.
type binding struct {
	agent   string
	task    int
	attempt int
}

// ownerState is the witness's view of an owner.
type ownerState struct {
	members  map[string]*member
	settled  map[uint64]*protocol.Finalize
	below    uint64 // tickets below are closed
	sealed   bool
	ready    bool // every agent was sealed or is missing
	sealedAt time.Time
	lost     time.Time            // when the session with the owner was given up
	waiting  map[string]bool      // sealed agents that have not answered
	missing  map[string]bool      // agents that could not be sealed
	marks    map[uint64][]binding // what the owner started
}

func (k *Coordinator) ownerState(owner string) *ownerState {
	w := k.owners[owner]
	if w == nil {
		w = &ownerState{members: make(map[string]*member), settled: make(map[uint64]*protocol.Finalize)}
		k.owners[owner] = w
	}
	return w
}

// roster carries out rule 3 at the witness: it acknowledges the agents that it
// can reach itself, and none once it has sealed.
func (k *Coordinator) roster(from string, m *protocol.Membership) {
	w := k.ownerState(from)
	if w.sealed || k.closed[from] {
		k.send(from, protocol.Message{MembershipAck: &protocol.MembershipAck{Sealed: true}})
		return
	}
	var acked []string
	for _, x := range m.Members {
		p := w.members[x.Agent]
		if p == nil {
			p = &member{}
			w.members[x.Agent] = p
		}
		p.until = x.Until
		if x.Until == 0 && k.agents[x.Agent] != nil {
			p.acked = true
			acked = append(acked, x.Agent)
		}
	}
	if len(acked) > 0 {
		k.send(from, protocol.Message{MembershipAck: &protocol.MembershipAck{Agents: acked}})
	}
}

// ackWaiting acknowledges an agent that was on a roster before it was met.
func (k *Coordinator) ackWaiting(agent string) {
	for owner, w := range k.owners {
		p := w.members[agent]
		if p == nil || p.until != 0 || w.sealed {
			continue
		}
		p.acked = true
		k.send(owner, protocol.Message{MembershipAck: &protocol.MembershipAck{Agents: []string{agent}}})
	}
}

// settle carries out rule 6 at the witness.
func (k *Coordinator) settle(from string, m *protocol.Finalize) {
	w := k.ownerState(from)
	ack := &protocol.FinalizeAck{Ticket: m.Ticket, Sealed: w.sealed || k.closed[from]}
	if !ack.Sealed {
		w.settled[m.Ticket.Sequence] = m
	}
	k.send(from, protocol.Message{FinalizeAck: ack})
}

// close notes that the owner's tickets below a number are closed.
func (k *Coordinator) close(from string, m *protocol.Close) {
	w := k.owners[from]
	if w == nil || from != m.Owner || w.sealed {
		return
	}
	w.below = max(w.below, m.Below)
	for sequence := range w.settled {
		if sequence < w.below {
			delete(w.settled, sequence)
		}
	}
	for agent, p := range w.members {
		if p.until != 0 && p.until <= w.below {
			delete(w.members, agent)
		}
	}
}

// TakeOver takes a job whose ticket names this entry as witness, after its
// owner could not be reached. It is idempotent. A nil answer means that the
// job goes on here and that Drain will report its end.
func (k *Coordinator) TakeOver(now time.Time, t protocol.Ticket, in Job) (*Answer, error) {
	id := key{t.Owner, t.Sequence}
	if j := k.jobs[id]; j != nil {
		return j.found(in.Digest)
	}
	expired := &Error{Op: "take over", Kind: KindExpired, Detail: "the ticket's time is over"}
	if k.closed[t.Owner] || k.forgotten && k.owners[t.Owner] == nil {
		return nil, expired
	}
	w := k.ownerState(t.Owner)
	if s := w.settled[t.Sequence]; s != nil {
		return settledAnswer(s), nil
	}
	if t.Sequence < w.below {
		return nil, expired
	}
	j := k.newJob(now, id, in)
	j.adopted, j.waitsSeal = true, true
	for i := range j.tasks {
		j.tasks[i].attempt = adoptedAttempt
	}
	k.decide("job-taken-over", j, -1, t.Owner, "the owner cannot be reached")
	if !w.sealed {
		k.seal(now, t.Owner, w)
	}
	if w.ready {
		k.adopt(now, j, w)
	}
	return j.answer, nil
}

// Sealed reports whether this entry has taken over the owner's tickets.
func (k *Coordinator) Sealed(owner string) bool {
	w := k.owners[owner]
	return k.closed[owner] || w != nil && w.sealed
}

func settledAnswer(s *protocol.Finalize) *Answer {
	a := &Answer{State: StateFailed, Reason: s.Reason, Tasks: make([]TaskAnswer, len(s.States))}
	for i, state := range s.States {
		a.Tasks[i].State = state
	}
	return a
}

// seal carries out rule 4: from here on the witness acknowledges nothing to
// the owner, and every agent it acknowledged is told to refuse the owner.
func (k *Coordinator) seal(now time.Time, owner string, w *ownerState) {
	w.sealed, w.sealedAt = true, now
	w.waiting = make(map[string]bool)
	w.missing = make(map[string]bool)
	w.marks = make(map[uint64][]binding)
	for name, p := range w.members {
		switch {
		case !p.acked:
		case k.agents[name] == nil:
			w.missing[name] = true
		default:
			w.waiting[name] = true
			k.send(name, protocol.Message{Seal: &protocol.Seal{Owner: owner}})
		}
	}
	w.ready = len(w.waiting) == 0
}

// marks takes an agent's answer to a seal.
func (k *Coordinator) marks(now time.Time, from string, m *protocol.StartRecords) {
	w := k.owners[m.Owner]
	if w == nil || !w.sealed || !w.waiting[from] {
		return
	}
	delete(w.waiting, from)
	w.below = max(w.below, m.ClosedBelow)
	for _, x := range m.Records {
		w.marks[x.Sequence] = append(w.marks[x.Sequence], binding{from, x.Task, x.Attempt})
	}
	k.sealReady(now, m.Owner, w)
}

// sealMissing notes that an agent was lost.
func (k *Coordinator) sealMissing(now time.Time, agent string) {
	for owner, w := range k.owners {
		if w.sealed && w.waiting[agent] {
			delete(w.waiting, agent)
			w.missing[agent] = true
			k.sealReady(now, owner, w)
		}
	}
}

// sealReady goes on with the owner's jobs once no agent is waited for.
func (k *Coordinator) sealReady(now time.Time, owner string, w *ownerState) {
	if w.ready || len(w.waiting) > 0 {
		return
	}
	w.ready = true
	for j := range k.active {
		if j.waitsSeal && j.key.owner == owner {
			k.adopt(now, j, w)
		}
	}
}

// adopt carries out rule 5: what an agent reported is fetched from it, and what
// nobody reported may be started only if every agent has answered.
func (k *Coordinator) adopt(now time.Time, j *job, w *ownerState) {
	j.waitsSeal = false
	if j.key.sequence < w.below {
		// The agents may have forgotten what they started.
		j.mark(pending, unknown)
		k.stop(now, j, protocol.ReasonTicketExpired)
		return
	}
	ticket := protocol.Ticket{Owner: j.key.owner, Sequence: j.key.sequence}
	asked := make(map[string]bool)
	for _, b := range w.marks[j.key.sequence] {
		if b.task < 0 || b.task >= len(j.tasks) {
			continue
		}
		k.bind(j, b)
		if j.tasks[b.task].state == sent && !asked[b.agent] {
			asked[b.agent] = true
			k.send(b.agent, protocol.Message{Fetch: &protocol.Fetch{Ticket: ticket}})
		}
	}
	if w.anyMissing(j.key.sequence) && j.count(pending) > 0 {
		j.mark(pending, unknown)
		j.doubt = protocol.ReasonOwnerLost
	}
	k.advance(now, j)
	k.dispatch(now)
}

// bind notes that a task was started by the lost owner on an agent.
func (k *Coordinator) bind(j *job, b binding) {
	a := k.agents[b.agent]
	if a == nil {
		j.tasks[b.task].state, j.tasks[b.task].agent = unknown, b.agent
		j.doubt = protocol.ReasonAgentLost
		return
	}
	j.tasks[b.task] = task{state: sent, agent: b.agent, attempt: b.attempt}
	if a.inflight[j] == nil {
		a.inflight[j] = make(map[int]bool)
	}
	a.inflight[j][b.task] = true
}

// anyMissing tells whether an agent that the owner may have used for the
// ticket could not be sealed.
func (w *ownerState) anyMissing(sequence uint64) bool {
	for name := range w.missing {
		p := w.members[name]
		if p == nil || p.until == 0 || sequence < p.until {
			return true
		}
	}
	return false
}
