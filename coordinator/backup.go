package coordinator

import (
	"maps"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// backupState is what an owner knows of an entry that can be the backup of its
// tickets.
type backupState struct {
	zone   string
	acked  map[string]bool // agents that it acknowledged
	sealed bool            // it has sealed this entry and takes over its jobs
}

// BackupConnected adds another entry with an open session, which can be a backup from
// now on.
func (c *Coordinator) BackupConnected(entry, zone string) {
	if o := c.owners[entry]; o != nil {
		o.lostAt = time.Time{}
	}
	b := c.backups[entry]
	if b == nil {
		b = &backupState{zone: zone, acked: make(map[string]bool)}
		c.backups[entry] = b
	}
	var members []protocol.Member
	for a := range c.agents {
		members = append(members, protocol.Member{Agent: a})
	}
	for a, until := range c.lostAgents {
		members = append(members, protocol.Member{Agent: a, Below: until})
	}
	if len(members) > 0 && !b.sealed {
		c.send(entry, protocol.Message{Membership: &protocol.Membership{Members: members}})
	}
	c.sendLosses(entry, c.losses.all())
}

// BackupLost removes another entry whose session was closed as lost. No new ticket
// names it as backup. It may still take over existing tickets that name it. Jobs
// that wait for its acknowledgement of their final state end at once.
func (c *Coordinator) BackupLost(now time.Time, entry string) {
	if o := c.owners[entry]; o != nil {
		o.lostAt = now
	}
	delete(c.backups, entry)
	for j := range c.active {
		if j.backup == entry && !j.finalizeSentAt.IsZero() {
			c.endUnfinalized(now, j)
		}
	}
}

// endUnfinalized ends a job whose backup did not acknowledge the final state in
// time. Its pending tasks become unknown, since the backup may still start them.
func (c *Coordinator) endUnfinalized(now time.Time, j *job) {
	j.replaceState(pending, unknown)
	c.end(now, j, j.newAnswer(StateFailed, j.stopReason))
}

// chooseBackup returns the backup for new tickets: the entry that acknowledged the
// most agents, with entries of other zones preferred among equals. It returns the
// empty string if there is none.
func (c *Coordinator) chooseBackup() string {
	best, bestScore := "", 0
	names := slices.Sorted(maps.Keys(c.backups))
	for i := range names {
		// Rotate the order, so that tickets are spread over equal backups.
		name := names[(uint64(i)+c.nextSequence)%uint64(len(names))]
		b := c.backups[name]
		if b.sealed || len(b.acked) == 0 {
			continue
		}
		score := 2 * len(b.acked)
		if b.zone != c.Zone {
			score++
		}
		if score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// sendMember sends the membership of one agent to the backups.
func (c *Coordinator) sendMember(agent string) {
	m := protocol.Member{Agent: agent, Below: c.lostAgents[agent]}
	for name, b := range c.backups {
		if m.Below != 0 {
			delete(b.acked, agent)
		}
		if !b.sealed {
			c.send(name, protocol.Message{Membership: &protocol.Membership{Members: []protocol.Member{m}}})
		}
	}
}

// handleMembershipAck records which agents a backup has acknowledged.
func (c *Coordinator) handleMembershipAck(now time.Time, from string, m *protocol.MembershipAck) {
	b := c.backups[from]
	if b == nil {
		return
	}
	if m.Sealed {
		c.handOverToSealed(now, from)
		return
	}
	for _, a := range m.Agents {
		if c.agents[a] != nil {
			b.acked[a] = true
		}
	}
	c.dispatch(now)
}

// handleSealed handles an agent's report that a backup has sealed this entry.
func (c *Coordinator) handleSealed(now time.Time, backup string) {
	c.handOverToSealed(now, backup)
	c.dispatch(now)
}

// handOverToSealed hands the unfinished jobs whose tickets name the backup over to
// it, after it has sealed this entry.
func (c *Coordinator) handOverToSealed(now time.Time, backup string) {
	if b := c.backups[backup]; b != nil {
		b.sealed = true
	}
	for j := range c.active {
		if j.backup == backup && !j.takenOver {
			c.handOverJob(now, j, "the backup has taken over")
		}
	}
}

// handOverJob hands an unfinished job over to its backup. This entry starts none of
// its tasks and gives no answer to it from then on.
func (c *Coordinator) handOverJob(now time.Time, j *job, reason string) {
	j.handedOver = true
	c.decide("job-surrendered", j, -1, j.backup, reason)
	c.jobEnds = append(c.jobEnds, JobEnd{j.key.owner, j.key.sequence, nil})
	c.retain(now, j)
}

// HandOver hands every unfinished job that has a backup over to the backup, except
// jobs that are being finalized, and makes Submit refuse tickets with a connected
// backup. It is called when the entry stops before the jobs can end.
func (c *Coordinator) HandOver(now time.Time) {
	c.handedOver = true
	for j := range c.active {
		if j.backup != "" && j.finalizeSentAt.IsZero() {
			c.handOverJob(now, j, "the entry is shutting down")
		}
	}
}
