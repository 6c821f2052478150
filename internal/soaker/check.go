package soaker

import (
	"context"
	"time"

	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/server"
)

// Bounds that are checked.
const (
	inForce    = 6 * time.Second        // a change of the configuration is in force everywhere
	lookEvery  = 200 * time.Millisecond // at the configuration in force
	calmAnswer = 3 * time.Second        // of a job that comes when the system has recovered, beyond its longest task
	calmAgain  = 0.02                   // part of those jobs, and one, that may take several tries
)

// checkAnswer checks what a caller was told in the end.
func (k *soak) checkAnswer(j *job) {
	if !j.served() {
		return
	}
	switch {
	case j.answer.Completed() && j.fails:
		k.broken("job %s fails and is told as completed", j.id)
	case j.answer.Failed() && !j.fails:
		k.broken("job %s can be done and is told as failed", j.id)
	case j.answer.Completed() && k.judge.Done(j.id) < j.tasks:
		k.broken("job %s is told as completed with %d of %d tasks done", j.id, k.judge.Done(j.id), j.tasks)
	case !j.answer.Completed() && !j.answer.Failed():
		k.broken("job %s has the answer %q", j.id, j.answer.Body)
	}
}

// checkAttempt checks that a job that is told as not run has not run, unless an
// earlier try of it may have been at work.
func (k *soak) checkAttempt(a attempt) {
	if a.answer.Refused() && a.alone && a.starts > 0 {
		k.broken("job %s was refused by entry-%d and has run", a.id, a.entry+1)
	}
}

// checkCalm checks the jobs that came while nothing was wrong: they are served
// soon, and as a rule at once.
func (k *soak) checkCalm(x span) {
	judged := span{x.from.Add(-settleTime), x.to.Add(deadline)}
	jobs, again := 0, 0
	for _, j := range k.jobs {
		if !x.holds(j.begin) {
			continue
		}
		jobs++
		if !j.served() || j.took > calmAnswer+j.work {
			k.late(judged, "job %s came when the system had recovered: status %d after %s and %d tries", j.id, j.answer.Status, j.took.Round(time.Millisecond), j.tries)
		}
		if j.tries > 1 {
			again++
		}
	}
	if jobs == 0 {
		k.late(judged, "no job came after the system had recovered")
	}
	if float64(again) > 1+calmAgain*float64(jobs) {
		k.late(judged, "%d of %d jobs that came when the system had recovered took several tries", again, jobs)
	}
}

// checkPlanned checks that planned work cut no request that was being served.
func (k *soak) checkPlanned(x span) {
	for _, a := range k.attempts {
		if x.holds(a.end) && a.answer.Status == 0 && a.starts > 0 {
			k.late(x, "job %s was cut at entry-%d by planned work", a.id, a.entry+1)
		}
	}
}

// watchConfiguration checks that an entry's configuration never goes back, and
// that changes are in force in time unless something happens to the entry.
func (k *soak) watchConfiguration(p *process, quit <-chan struct{}) {
	newest, life := int64(0), 0
	for {
		select {
		case <-quit:
			return
		case <-time.After(lookEvery):
		}
		p.mu.Lock()
		starts := p.starts
		p.mu.Unlock()
		var v server.ConfigurationView
		if operator.Get(context.Background(), p.operator, "/v1/configuration", &v) != nil {
			continue
		}
		p.mu.Lock()
		same := starts == p.starts
		p.mu.Unlock()
		if !same {
			continue // begun anew meanwhile: the answer may be of either
		}
		if starts != life {
			life, newest = starts, 0
		}
		if v.Version < newest {
			k.broken("%s goes back from configuration %d to %d", p.name, newest, v.Version)
		}
		newest = max(newest, v.Version)
		if due, since := k.dueConfiguration(); newest < due && p.calmSince(since) {
			k.late(span{since, time.Now()}, "%s has configuration %d; %d was written over %s ago", p.name, newest, due, inForce)
		}
	}
}

// change is a configuration that was written.
type change struct {
	version int64
	at      time.Time
}

// changeConfiguration writes the next configuration.
func (k *soak) changeConfiguration() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configure()
	k.changes = append(k.changes, change{k.version, time.Now()})
}

// dueConfiguration returns the newest version that must be in force, and when it
// was written.
func (k *soak) dueConfiguration() (int64, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := len(k.changes) - 1; i >= 0; i-- {
		if c := k.changes[i]; time.Since(c.at) > inForce {
			return c.version, c.at
		}
	}
	return 0, time.Time{}
}
