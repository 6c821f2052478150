package soaker

import (
	"context"
	"slices"
	"time"

	"mustardlever.dev/mustardlever/operator"
	"mustardlever.dev/mustardlever/server"
)

// Bounds that are checked, and how often the configuration is polled.
const (
	configurationTimeout      = 6 * time.Second // by then, a configuration change must be in force at every undisturbed entry
	configurationPollInterval = 200 * time.Millisecond
	maxSteadyLatency          = 3 * time.Second // of a job submitted in a steady phase, in addition to the duration of one of its tasks
	maxSteadyRetryRatio       = 0.02            // fraction of those jobs, plus one job, that may need several attempts
	lossLimit                 = 3               // losses of backend servers under one task after which its job may be given up; only liberties and RestartSetBack make that many usual
)

// checkAnswer checks the final answer to a job, if there is one: a job is reported
// as completed only if all its tasks are done, and as failed only if its tasks fail or,
// with liberties or RestartSetBack, the backend servers were lost under one of them
// lossLimit times.
func (k *soak) checkAnswer(j *job) {
	if !j.served() {
		return
	}
	mayGiveUp := k.Liberties || slices.Contains(k.ReportFaults, RestartSetBack)
	switch {
	case j.answer.Completed() && j.fails:
		k.recordViolation("job %s fails but was reported as completed", j.id)
	case j.answer.Failed() && !j.fails && mayGiveUp && k.checker.Losses(j.id) >= lossLimit:
		k.mu.Lock()
		k.report.GivenUp++
		k.mu.Unlock()
	case j.answer.Failed() && !j.fails:
		k.recordViolation("job %s does not fail but was reported as failed", j.id)
	case j.answer.Completed() && k.checker.CompletedTasks(j.id) < j.tasks:
		k.recordViolation("job %s was reported as completed with %d of %d tasks done", j.id, k.checker.CompletedTasks(j.id), j.tasks)
	case !j.answer.Completed() && !j.answer.Failed():
		k.recordViolation("job %s got the unexpected answer %q", j.id, j.answer.Body)
	}
}

// checkAttempt checks that no task of a job has started during an attempt that was
// refused, that is, reported as not run. Attempts are skipped if an earlier attempt
// of the job may have started the tasks.
func (k *soak) checkAttempt(a attempt) {
	if a.answer.Refused() && a.exclusive && a.starts > 0 {
		k.recordViolation("job %s was refused by entry-%d but has run", a.jobID, a.entry+1)
	}
}

// checkSteady checks the jobs that were submitted in a steady phase: each is served
// within the latency bound, and nearly all at the first attempt.
func (k *soak) checkSteady(phase interval) {
	checked := interval{phase.from.Add(-recoveryTime), phase.to.Add(jobDeadline)}
	jobs, retried := 0, 0
	for _, j := range k.jobs {
		if !phase.contains(j.submittedAt) {
			continue
		}
		jobs++
		if !j.served() || j.elapsed > maxSteadyLatency+j.taskDuration {
			k.recordTimingViolation(checked, "job %s, submitted in a steady phase, ended with status %d after %s and %d attempts", j.id, j.answer.Status, j.elapsed.Round(time.Millisecond), j.attempts)
		}
		if j.attempts > 1 {
			retried++
		}
	}
	if jobs == 0 {
		k.recordTimingViolation(checked, "no job was submitted in a steady phase")
	}
	if float64(retried) > 1+maxSteadyRetryRatio*float64(jobs) {
		k.recordTimingViolation(checked, "%d of %d jobs submitted in a steady phase needed several attempts", retried, jobs)
	}
}

// checkMaintenance checks that in a maintenance phase no request goes unanswered
// after a task of its job has started.
func (k *soak) checkMaintenance(phase interval) {
	for _, a := range k.attempts {
		if phase.contains(a.endedAt) && a.answer.Status == 0 && a.starts > 0 {
			k.recordTimingViolation(phase, "job %s got no answer from entry-%d in a maintenance phase after it had started", a.jobID, a.entry+1)
		}
	}
}

// watchConfiguration checks that the configuration version of one incarnation of an
// entry never decreases, and that a change is in force at the entry within
// configurationTimeout if the entry has been undisturbed since.
func (k *soak) watchConfiguration(p *process, quit <-chan struct{}) {
	newest, incarnation := int64(0), 0
	for {
		select {
		case <-quit:
			return
		case <-time.After(configurationPollInterval):
		}
		p.mu.Lock()
		starts := p.starts
		p.mu.Unlock()
		var view server.ConfigurationView
		if operator.Get(context.Background(), p.operatorAddress, "/v1/configuration", &view) != nil {
			continue
		}
		p.mu.Lock()
		sameIncarnation := starts == p.starts
		p.mu.Unlock()
		if !sameIncarnation {
			continue // the entry was restarted meanwhile: the answer may be from either incarnation
		}
		if starts != incarnation {
			incarnation, newest = starts, 0
		}
		if view.Version < newest {
			k.recordViolation("%s went back from configuration version %d to %d", p.name, newest, view.Version)
		}
		newest = max(newest, view.Version)
		if required, since := k.requiredConfiguration(); newest < required && p.undisturbedSince(since) {
			k.recordTimingViolation(interval{since, time.Now()}, "%s has configuration version %d; version %d was written more than %s ago", p.name, newest, required, configurationTimeout)
		}
	}
}

// configurationChange records when a version of the configuration was written.
type configurationChange struct {
	version   int64
	writtenAt time.Time
}

// changeConfiguration writes the next version of the configuration and records it.
func (k *soak) changeConfiguration() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writeConfiguration()
	k.configurationChanges = append(k.configurationChanges, configurationChange{k.configurationVersion, time.Now()})
}

// requiredConfiguration returns the newest version that must be in force, and when
// it was written. The version is 0 if there is none yet.
func (k *soak) requiredConfiguration() (int64, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := len(k.configurationChanges) - 1; i >= 0; i-- {
		if c := k.configurationChanges[i]; time.Since(c.writtenAt) > configurationTimeout {
			return c.version, c.writtenAt
		}
	}
	return 0, time.Time{}
}
