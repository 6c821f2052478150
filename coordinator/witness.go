package coordinator

import (
	"maps"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/protocol"
)

// witness is the owner's view of an entry that may witness its tickets.
type witness struct {
	zone   string
	acked  map[string]bool // agents it acknowledged
	sealed bool            // it has taken over
}

// BackupUp notes a session with another entry, which may witness from now on.
func (k *Coordinator) BackupUp(entry, zone string) {
	if p := k.owners[entry]; p != nil {
		p.lost = time.Time{}
	}
	w := k.witnesses[entry]
	if w == nil {
		w = &witness{zone: zone, acked: make(map[string]bool)}
		k.witnesses[entry] = w
	}
	var members []protocol.Member
	for a := range k.agents {
		members = append(members, protocol.Member{Agent: a})
	}
	for a, until := range k.gone {
		members = append(members, protocol.Member{Agent: a, Until: until})
	}
	if len(members) > 0 && !w.sealed {
		k.send(entry, protocol.Message{Membership: &protocol.Membership{Members: members}})
	}
}

// BackupLost notes that the session with another entry was given up. No new
// ticket names it. It may still take over tickets that do.
func (k *Coordinator) BackupLost(now time.Time, entry string) {
	if p := k.owners[entry]; p != nil {
		p.lost = now
	}
	delete(k.witnesses, entry)
	for j := range k.active {
		if j.witness == entry && !j.settling.IsZero() {
			k.endUnsettled(now, j)
		}
	}
}

// endUnsettled ends a job whose witness did not agree in time: what was not
// started here may yet be started there.
func (k *Coordinator) endUnsettled(now time.Time, j *job) {
	j.mark(pending, unknown)
	k.end(now, j, j.newAnswer(StateFailed, j.stopping))
}

// pickWitness chooses the witness for new tickets: an entry of another zone
// if there is one, that acknowledged the most agents. It returns the empty
// string when there is none.
func (k *Coordinator) pickWitness() string {
	best, bestScore := "", 0
	names := slices.Sorted(maps.Keys(k.witnesses))
	for i := range names {
		// Start at another place for each call, to spread the work.
		name := names[(uint64(i)+k.next)%uint64(len(names))]
		w := k.witnesses[name]
		if w.sealed || len(w.acked) == 0 {
			continue
		}
		score := 2 * len(w.acked)
		if w.zone != k.Zone {
			score++
		}
		if score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// tellRoster tells the witnesses about one agent.
func (k *Coordinator) tellRoster(agent string) {
	m := protocol.Member{Agent: agent, Until: k.gone[agent]}
	for name, w := range k.witnesses {
		if m.Until != 0 {
			delete(w.acked, agent)
		}
		if !w.sealed {
			k.send(name, protocol.Message{Membership: &protocol.Membership{Members: []protocol.Member{m}}})
		}
	}
}

// rosterAck takes a witness's acknowledgement of agents.
func (k *Coordinator) rosterAck(now time.Time, from string, m *protocol.MembershipAck) {
	w := k.witnesses[from]
	if w == nil {
		return
	}
	if m.Sealed {
		k.surrenderPair(now, from)
		return
	}
	for _, a := range m.Agents {
		if k.agents[a] != nil {
			w.acked[a] = true
		}
	}
	k.dispatch(now)
}

// sealedBy takes an agent's word that a witness has taken over.
func (k *Coordinator) sealedBy(now time.Time, witness string) {
	k.surrenderPair(now, witness)
	k.dispatch(now)
}

// surrenderPair gives the unfinished jobs that a witness has taken over up to
// it.
func (k *Coordinator) surrenderPair(now time.Time, entry string) {
	if w := k.witnesses[entry]; w != nil {
		w.sealed = true
	}
	for j := range k.active {
		if j.witness == entry && !j.adopted {
			k.surrender(now, j, "the witness has taken over")
		}
	}
}

// surrender gives an unfinished job up to its witness: nothing more of it is
// started or answered here.
func (k *Coordinator) surrender(now time.Time, j *job, reason string) {
	j.surrendered = true
	k.decide("job-surrendered", j, -1, j.witness, reason)
	k.endings = append(k.endings, JobEnd{j.key.owner, j.key.sequence, nil})
	k.retire(now, j)
}

// HandOver gives every unfinished job that has a witness up to it, and refuses
// submissions of such tickets, since the entry stops before the jobs can end.
func (k *Coordinator) HandOver(now time.Time) {
	k.yielded = true
	for j := range k.active {
		if j.witness != "" && j.settling.IsZero() {
			k.surrender(now, j, "the entry stops")
		}
	}
}
