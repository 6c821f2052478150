package leaser

import "time"

// send sends a call to the backend server.
func (s *simulation) send(c *sentCall) {
	g := s.agent
	timeout := simulatedCallTimeout
	if c.Kind == KindRenew {
		timeout = c.Wait + simulatedRenewalSlack
	}
	noAnswer := func() { g.handleAnswer(c, Answer{Status: StatusNoAnswer}) }
	if c.target == "" {
		s.after(100*time.Microsecond, noAnswer)
		return
	}
	s.after(timeout, noAnswer)
	delay := s.between(200*time.Microsecond, 1500*time.Microsecond)
	mode := -1
	for _, w := range s.silence {
		if w.from <= s.now && s.now < w.to {
			mode = w.mode
			if mode == 2 {
				delay = w.to - s.now + s.between(0, 20*time.Millisecond)
			}
		}
	}
	switch {
	case mode == 1, s.faulty() && s.chance(s.faults.lostCall):
		s.logf("network: call %d is lost", c.serialNumber)
		return
	case s.faulty() && s.chance(s.faults.resetCall):
		s.after(s.between(100*time.Microsecond, 5*time.Millisecond), noAnswer)
		delay += s.lateness()
	case s.faulty() && s.chance(s.faults.lateCall):
		delay += s.lateness()
	case s.server.present == nil:
		s.after(delay, noAnswer)
		return
	}
	s.faultAfter(delay, func() { s.execute(c) })
}

// lateness returns the delay of a late call.
func (s *simulation) lateness() time.Duration {
	if s.chance(0.5) {
		return s.between(0, 150*time.Millisecond)
	}
	return s.between(0, 4*time.Second)
}

// execute has the backend server execute a call. A call to a server that is down is lost.
func (s *simulation) execute(c *sentCall) {
	a, answered := s.server.execute(c)
	if s.server.present != nil {
		s.logf("server: executes call %d (%v %s %d run %d token %d): %v", c.serialNumber, c.Kind, c.Task, c.Number, c.id, c.Token, a.Status)
	}
	if answered {
		s.sendAnswer(c, a)
	}
}

// sendAnswer sends the answer to a call.
func (s *simulation) sendAnswer(c *sentCall, a Answer) {
	delay := s.between(200*time.Microsecond, 1500*time.Microsecond)
	switch {
	case s.silent() || s.faulty() && s.chance(s.faults.lostAnswer):
		return
	case s.faulty() && s.chance(s.faults.slowAnswer):
		delay += s.between(0, 80*time.Millisecond)
	}
	s.after(delay, func() { s.agent.handleAnswer(c, a) })
}
