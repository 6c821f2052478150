package coordinator

import "time"

// Memory of a job that this entry holds, by estimate, in bytes.
const (
	heldJobBytes  = 800 // beside its tasks, until the job is removed
	heldTaskBytes = 400 // beside its request, until the job is removed
)

// memory returns the bytes that a job occupies until it is removed, and those of its
// requests, which are dropped when it has ended.
func (j *Job) memory() (held, requests int64) {
	for i := range j.Tasks {
		requests += int64(len(j.Tasks[i].Path) + len(j.Tasks[i].Body))
	}
	return heldJobBytes + int64(len(j.Tasks))*heldTaskBytes, requests
}

// newTicketJob is newJob for a job with a ticket. It returns nil if there is no memory for it.
func (c *Coordinator) newTicketJob(now time.Time, key jobKey, spec Job) *job {
	if c.ReserveMemory == nil {
		return c.newJob(now, key, spec)
	}
	held, requests := spec.memory()
	if !c.ReserveMemory(held + requests) {
		return nil
	}
	j := c.newJob(now, key, spec)
	j.heldBytes, j.requestBytes = held, requests
	return j
}

// releaseRequests releases the memory of the requests of a job that has ended.
func (c *Coordinator) releaseRequests(j *job) { c.release(&j.requestBytes) }

// releaseJob releases the memory of a job that is removed.
func (c *Coordinator) releaseJob(j *job) {
	c.release(&j.requestBytes)
	c.release(&j.heldBytes)
}

func (c *Coordinator) release(bytes *int64) {
	if *bytes > 0 && c.ReleaseMemory != nil {
		c.ReleaseMemory(*bytes)
	}
	*bytes = 0
}
