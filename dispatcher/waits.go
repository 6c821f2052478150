package dispatcher

// WaitCounts counts the waits of jobs for better agents than those with free capacity.
type WaitCounts struct {
	Waiting int `json:"waiting"`  // jobs that wait now
	Begun   int `json:"begun"`    // waits begun
	PaidOff int `json:"paid-off"` // waits that ended with a start on such an agent
	GivenUp int `json:"given-up"` // waits that ended with a start elsewhere or the end of the job
}

func (c *WaitCounts) begin() {
	c.Begun++
	c.Waiting++
}

func (c *WaitCounts) end(paidOff bool) {
	c.Waiting--
	if paidOff {
		c.PaidOff++
	} else {
		c.GivenUp++
	}
}
