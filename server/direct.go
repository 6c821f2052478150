package server

import (
	"context"
	"time"

	"mustardlever.dev/mustardlever/keeper"
	"mustardlever.dev/mustardlever/messenger"
)

// Run runs a job whose caller waits here for its answer, and has no ticket.
// When ctx ends first the job is ended too, since nobody could be told. It
// errors with KindUnknownService or with a kind of keeper: then nothing was or
// will be started.
func (e *Entry) Run(ctx context.Context, service string, job keeper.Job) (*keeper.Answer, error) {
	s := e.shards.find(service)
	if s == nil {
		return nil, &Error{Op: "run", Kind: KindUnknownService, Detail: "no agent of " + service + " is known"}
	}
	ended := make(chan *keeper.Answer, 1)
	var number uint64
	var answer *keeper.Answer
	var err error
	to := e.decide(s, func(k *keeper.Keeper, now time.Time) {
		number, answer, err = k.Run(now, job)
		if err == nil && answer == nil {
			s.waiters[jobName{k.Self, number}] = []chan *keeper.Answer{ended}
		}
	})
	to.flush(&e.hub)
	if err != nil || answer != nil {
		return answer, err
	}
	select {
	case answer = <-ended:
		return answer, nil
	case <-ctx.Done():
	}
	e.act(s, func(k *keeper.Keeper, now time.Time) { k.CancelRun(now, number) })
	return <-ended, nil
}

// Abandon ends all jobs that Run took: their tasks are stopped and their
// callers told.
func (e *Entry) Abandon(r messenger.Reason) {
	for _, s := range e.shards.list() {
		e.act(s, func(k *keeper.Keeper, now time.Time) { k.AbandonRuns(now, r) })
	}
}
