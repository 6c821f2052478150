package coordinator

import "time"

// stoppedJob is a synchronous job that was answered while starts of it were outstanding.
// Its caller may submit it again: a job of the same name is held back until those starts
// have certainly ended.
type stoppedJob struct {
	name   string
	starts map[int]stoppedStart // by task
}

// stoppedStart is a start whose end has not been reported.
type stoppedStart struct {
	agent   string
	attempt int
	endsAt  time.Time // by then the task has ended, even if the stop has no effect
}

// recordStops records the outstanding starts of a job that ends now.
func (c *Coordinator) recordStops(now time.Time, j *job) {
	s := &stoppedJob{name: j.name, starts: make(map[int]stoppedStart)}
	for i := range j.tasks {
		switch t := &j.tasks[i]; t.state {
		case sent:
			s.starts[i] = stoppedStart{t.agent, t.attempt, now.Add(c.Settings.LeaseExpiryWait)}
		case leaseExpiring:
			s.starts[i] = stoppedStart{t.agent, t.attempt, t.leaseExpiry}
		}
	}
	if j.name == "" || len(s.starts) == 0 {
		return
	}
	c.stopped[j.key] = s
	c.stoppedNames[j.name]++
}

// holdBack keeps a job out of the queue until the starts of earlier jobs with its name
// have ended. To its caller they count as its own.
func (c *Coordinator) holdBack(j *job) {
	for i := range j.tasks {
		j.tasks[i].mayHaveRun = true
	}
}

// endStop records that an agent has reported the end of a stopped start.
func (c *Coordinator) endStop(key jobKey, agent string, task, attempt int) {
	s := c.stopped[key]
	if s == nil {
		return
	}
	if t, ok := s.starts[task]; ok && t.agent == agent && t.attempt == attempt {
		c.removeStop(key, s, task)
	}
}

// expireStops removes the stopped starts whose leases have expired.
func (c *Coordinator) expireStops(now time.Time) {
	for key, s := range c.stopped {
		for i, t := range s.starts {
			if !now.Before(t.endsAt) {
				c.removeStop(key, s, i)
			}
		}
	}
}

func (c *Coordinator) removeStop(key jobKey, s *stoppedJob, task int) {
	delete(s.starts, task)
	if len(s.starts) > 0 {
		return
	}
	delete(c.stopped, key)
	if c.stoppedNames[s.name]--; c.stoppedNames[s.name] > 0 {
		return
	}
	delete(c.stoppedNames, s.name)
	if j := c.byName[s.name]; j != nil {
		c.enqueue(j)
	}
}
