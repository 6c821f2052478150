package leaser

import "time"

// Fencing tokens are ordered over all processes of an agent by the time of their start:
// a token is that time in ms, shifted left, and a process raises it by less than a later
// process starts after it. All tokens are below 2^53, which JSON decoders keep exact.
const (
	tokenEpochMillis  = 1_577_836_800_000 // 1 January 2020, Unix ms
	tokenShift        = 12
	tokenIncrement    = 1 << 20 // raises the token above those that an earlier process may have used; 256 ms of start times
	maxTokenIncrement = 1 << 44 // 50 days of start times
	maxToken          = 1<<53 - 1
)

// initialToken returns the first token of a process that starts now.
func initialToken(now time.Time) int64 { return (now.UnixMilli() - tokenEpochMillis) << tokenShift }

// raiseToken raises the token if the rejected call carried the current one. The token is
// too low if the wall clock has been set back since an earlier process started, no matter
// by how much: the increment doubles until a call is accepted.
func (l *Leaser) raiseToken(c Call) {
	if c.Token != l.token {
		return
	}
	l.fenceIncrement = nextIncrement(l.fenceIncrement)
	l.token += l.fenceIncrement
}

// nextIncrement returns the increment of the token after a call was rejected with the
// given one.
func nextIncrement(increment int64) int64 {
	return min(max(2*increment, tokenIncrement), maxTokenIncrement)
}
