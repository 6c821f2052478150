package dispatcher

// State returns a copy of the whole state, to be compared with that of another time.
func (d *Dispatcher[J]) State() any {
	c := d.copyForPlan()
	var jobs []Job[J]
	c.jobs.Ascend(func(j *Job[J]) bool {
		jobs = append(jobs, *j)
		return true
	})
	c.jobs = nil // its order is a function, which cannot be compared
	return struct {
		Dispatcher Dispatcher[J]
		Jobs       []Job[J]
	}{*c, jobs}
}
