package coordinator

import (
	"math"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// allClosed is the watermark that closes all tickets of an owner.
const allClosed = math.MaxUint64

// backupFirstAttempt is the first attempt number that a backup uses. It is above
// all attempt numbers of the owner.
const backupFirstAttempt = 1 << 20

// member is an agent in an owner's membership.
type member struct {
	below uint64 // first ticket for which the agent is not used; zero: no limit
	acked bool   // acknowledged to the owner
}

// startRecord is an agent's record of a task that it was asked to start.
type startRecord struct {
	agent   string
	task    int
	attempt int
}

// ownerState is what a backup knows of an owner.
type ownerState struct {
	members      map[string]*member
	finalized    map[uint64]*protocol.Finalize
	closedBelow  uint64 // all tickets below this number are closed
	sealed       bool
	sealComplete bool // every acknowledged agent has answered the seal or is in unsealed
	sealedAt     time.Time
	lostAt       time.Time                // when the session with the owner was closed as lost; zero: it is open
	awaiting     map[string]bool          // agents that have not answered the seal
	unsealed     map[string]bool          // agents that did not answer the seal in time or are lost
	startRecords map[uint64][]startRecord // tasks that the owner started, by ticket
}

// ensureOwner returns the state of an owner and adds the owner if it is not known.
func (c *Coordinator) ensureOwner(owner string) *ownerState {
	o := c.owners[owner]
	if o == nil {
		o = &ownerState{members: make(map[string]*member), finalized: make(map[uint64]*protocol.Finalize)}
		c.owners[owner] = o
	}
	return o
}

// handleMembership updates an owner's membership at its backup. The backup
// acknowledges the agents that are connected to it, and none after it has sealed
// the owner (rule 3).
func (c *Coordinator) handleMembership(from string, m *protocol.Membership) {
	o := c.ensureOwner(from)
	if o.sealed || c.closedOwners[from] {
		c.send(from, protocol.Message{MembershipAck: &protocol.MembershipAck{Sealed: true}})
		return
	}
	var acked []string
	for _, x := range m.Members {
		mb := o.members[x.Agent]
		if mb == nil {
			mb = &member{}
			o.members[x.Agent] = mb
		}
		mb.below = x.Below
		if x.Below == 0 && c.agents[x.Agent] != nil {
			mb.acked = true
			acked = append(acked, x.Agent)
		}
	}
	if len(acked) > 0 {
		c.send(from, protocol.Message{MembershipAck: &protocol.MembershipAck{Agents: acked}})
	}
}

// acknowledgePending acknowledges an agent to the owners whose memberships listed
// it before it connected to this entry.
func (c *Coordinator) acknowledgePending(agent string) {
	for owner, o := range c.owners {
		m := o.members[agent]
		if m == nil || m.below != 0 || o.sealed {
			continue
		}
		m.acked = true
		c.send(owner, protocol.Message{MembershipAck: &protocol.MembershipAck{Agents: []string{agent}}})
	}
}

// handleFinalize records the final state of a failed job at its backup and
// acknowledges it, unless the backup has sealed the owner (rule 6).
func (c *Coordinator) handleFinalize(from string, m *protocol.Finalize) {
	o := c.ensureOwner(from)
	ack := &protocol.FinalizeAck{Ticket: m.Ticket, Sealed: o.sealed || c.closedOwners[from]}
	if !ack.Sealed {
		o.finalized[m.Ticket.Sequence] = m
	}
	c.send(from, protocol.Message{FinalizeAck: ack})
}

// handleClose raises the number below which an owner's tickets are closed, and
// removes the state that was kept for them.
func (c *Coordinator) handleClose(from string, m *protocol.Close) {
	o := c.owners[from]
	if o == nil || from != m.Owner || o.sealed {
		return
	}
	o.closedBelow = max(o.closedBelow, m.Below)
	for sequence := range o.finalized {
		if sequence < o.closedBelow {
			delete(o.finalized, sequence)
		}
	}
	for agent, mb := range o.members {
		if mb.below != 0 && mb.below <= o.closedBelow {
			delete(o.members, agent)
		}
	}
}

// TakeOver accepts a job whose ticket names this entry as backup and whose owner
// is unreachable. It is idempotent. A nil answer means that the job continues here
// and that TakeDecisions will report its end.
func (c *Coordinator) TakeOver(now time.Time, t protocol.Ticket, spec Job) (*Answer, error) {
	key := jobKey{t.Owner, t.Sequence}
	if j := c.jobs[key]; j != nil {
		return j.existingAnswer(spec.Digest)
	}
	expired := &Error{Op: "take over", Kind: KindExpired, Detail: "the ticket has expired"}
	if c.closedOwners[t.Owner] || c.closedOwnerEvicted && c.owners[t.Owner] == nil {
		return nil, expired
	}
	o := c.ensureOwner(t.Owner)
	if f := o.finalized[t.Sequence]; f != nil {
		return finalizedAnswer(f), nil
	}
	if t.Sequence < o.closedBelow {
		return nil, expired
	}
	j := c.newTicketJob(now, key, spec)
	if j == nil {
		return nil, &Error{Op: "take over", Kind: KindNoMemory, Detail: "there is no memory for the job; submit it again with the same ticket"}
	}
	j.takenOver, j.awaitingSeal = true, true
	for i := range j.tasks {
		j.tasks[i].attempt = backupFirstAttempt
	}
	c.decide("job-taken-over", j, -1, t.Owner, "the owner is unreachable")
	if !o.sealed {
		c.seal(now, t.Owner, o)
	}
	if o.sealComplete {
		c.resumeJob(now, j, o)
	}
	return j.answer, nil
}

// Sealed reports whether this entry has taken over the owner's tickets.
func (c *Coordinator) Sealed(owner string) bool {
	o := c.owners[owner]
	return c.closedOwners[owner] || o != nil && o.sealed
}

// finalizedAnswer returns the answer to a job that its owner has finalized.
func finalizedAnswer(f *protocol.Finalize) *Answer {
	a := &Answer{State: StateFailed, Reason: f.Reason, Tasks: make([]TaskAnswer, len(f.States))}
	for i, state := range f.States {
		a.Tasks[i].State = state
	}
	return a
}

// seal fences off an owner: the backup acknowledges nothing further to the owner,
// and instructs every agent that it acknowledged to refuse the owner's starts
// (rule 4).
func (c *Coordinator) seal(now time.Time, owner string, o *ownerState) {
	o.sealed, o.sealedAt = true, now
	o.awaiting = make(map[string]bool)
	o.unsealed = make(map[string]bool)
	o.startRecords = make(map[uint64][]startRecord)
	for name, m := range o.members {
		switch {
		case !m.acked:
		case c.agents[name] == nil:
			o.unsealed[name] = true
		default:
			o.awaiting[name] = true
			c.send(name, protocol.Message{Seal: &protocol.Seal{Owner: owner}})
		}
	}
	o.sealComplete = len(o.awaiting) == 0
}

// handleStartRecords handles an agent's answer to a seal.
func (c *Coordinator) handleStartRecords(now time.Time, from string, m *protocol.StartRecords) {
	o := c.owners[m.Owner]
	if o == nil || !o.sealed || !o.awaiting[from] {
		return
	}
	delete(o.awaiting, from)
	o.closedBelow = max(o.closedBelow, m.ClosedBelow)
	for _, r := range m.Records {
		o.startRecords[r.Sequence] = append(o.startRecords[r.Sequence], startRecord{from, r.Task, r.Attempt})
	}
	c.completeSeal(now, m.Owner, o)
}

// sealAgentLost updates the seals that wait for an agent that is lost.
func (c *Coordinator) sealAgentLost(now time.Time, agent string) {
	for owner, o := range c.owners {
		if o.sealed && o.awaiting[agent] {
			delete(o.awaiting, agent)
			o.unsealed[agent] = true
			c.completeSeal(now, owner, o)
		}
	}
}

// completeSeal resumes the owner's jobs when no agent's answer is awaited.
func (c *Coordinator) completeSeal(now time.Time, owner string, o *ownerState) {
	if o.sealComplete || len(o.awaiting) > 0 {
		return
	}
	o.sealComplete = true
	for j := range c.active {
		if j.awaitingSeal && j.key.owner == owner {
			c.resumeJob(now, j, o)
		}
	}
}

// resumeJob continues a job taken over, after the seal is complete. It fetches the
// outcomes of tasks that agents reported as started from those agents. Tasks that
// no agent reported are started only if every agent that the owner may have used
// has answered the seal (rule 5).
func (c *Coordinator) resumeJob(now time.Time, j *job, o *ownerState) {
	j.awaitingSeal = false
	if j.key.sequence < o.closedBelow {
		// The agents may have removed their start records.
		j.replaceState(pending, unknown)
		c.stop(now, j, protocol.ReasonTicketExpired)
		return
	}
	ticket := protocol.Ticket{Owner: j.key.owner, Sequence: j.key.sequence}
	asked := make(map[string]bool)
	for _, r := range o.startRecords[j.key.sequence] {
		if r.task < 0 || r.task >= len(j.tasks) {
			continue
		}
		c.applyStartRecord(j, r)
		if j.tasks[r.task].state == sent && !asked[r.agent] {
			asked[r.agent] = true
			c.send(r.agent, protocol.Message{Fetch: &protocol.Fetch{Ticket: ticket}})
		}
	}
	if o.anyUnsealed(j.key.sequence) && j.count(pending) > 0 {
		j.replaceState(pending, unknown)
		j.unknownReason = protocol.ReasonOwnerLost
	}
	c.advance(now, j)
	c.dispatch(now)
}

// applyStartRecord records that the owner started a task on an agent.
func (c *Coordinator) applyStartRecord(j *job, r startRecord) {
	a := c.agents[r.agent]
	if a == nil {
		j.tasks[r.task].state, j.tasks[r.task].agent = unknown, r.agent
		j.unknownReason = protocol.ReasonAgentLost
		return
	}
	j.tasks[r.task] = task{state: sent, agent: r.agent, attempt: r.attempt}
	if a.inFlight[j] == nil {
		a.inFlight[j] = make(map[int]bool)
	}
	a.inFlight[j][r.task] = true
}

// anyUnsealed reports whether the owner may have used an unsealed agent for a
// ticket.
func (o *ownerState) anyUnsealed(sequence uint64) bool {
	for name := range o.unsealed {
		m := o.members[name]
		if m == nil || m.below == 0 || sequence < m.below {
			return true
		}
	}
	return false
}
