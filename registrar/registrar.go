// Package registrar keeps what a process must find again after all processes
// were replaced: where the entries are, and what each agent's backend server
// offered last. Both live in the platform's store and are read there when no
// peer tells them.
//
// A process writes its own line once at its start and then at long intervals,
// so that the store's calls do not grow with the work. Lines that were not
// renewed for a long time are of processes that are gone, and are dropped.
package registrar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/pausedetector"
)

const (
	callTimeout = 700 * time.Millisecond // of one call to the store
	minRetry    = 200 * time.Millisecond // after a call that failed
	maxRetry    = 2 * time.Second
	renewEvery  = 10 * time.Minute // a few hundred processes cost less than one write a second
	staleAfter  = 35 * time.Minute // three renewals missed, and some time for the store to be away
	lonelyEvery = 2 * time.Second  // between two looks for entries while none is met
)

// Registration is one entry's line. Renewed is by the store's clock, in ms.
type Registration struct {
	Name      string `json:"name"`
	Address   string `json:"address"` // where other processes connect, host:port
	RenewedMs int64  `json:"renewed-ms"`
}

// Registrar keeps lines of entries. The function fields are the store's calls
// and the process's own.
type Registrar struct {
	Self         *Registration // this process's own line; nil for a process that has none
	List         func(ctx context.Context) (lines []Registration, now int64, err error)
	Write        func(ctx context.Context, l Registration) error
	Remove       func(ctx context.Context, l Registration) error
	AddEntries   func(addresses []string)
	Disconnected func() bool // no entry is met at present
	Log          *logrus.Entry
}

// Run works until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	var renewed time.Time
	retry := minRetry
	for ctx.Err() == nil {
		wait := lonelyEvery
		due := r.Self != nil && (renewed.IsZero() || time.Since(renewed) >= renewEvery)
		if due || r.Disconnected() {
			if err := r.round(ctx, due); err != nil {
				r.Log.WithError(err).Debug("Store does not answer the registrar.")
				wait, retry = retry, min(2*retry, maxRetry)
			} else {
				retry = minRetry
				if due {
					renewed = time.Now()
				}
			}
		}
		pausedetector.Sleep(ctx, wait/2+rand.N(wait))
	}
}

// round reads the lines, passes the addresses on, and renews the own line when
// it is due.
func (r *Registrar) round(ctx context.Context, due bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lines, now, err := r.List(ctx)
	if err != nil {
		return err
	}
	var addresses []string
	for _, l := range lines {
		if now-l.RenewedMs < staleAfter.Milliseconds() {
			addresses = append(addresses, l.Address)
		}
	}
	r.AddEntries(addresses)
	if !due {
		return nil
	}
	self := *r.Self
	self.RenewedMs = now
	if err := r.Write(ctx, self); err != nil {
		return err
	}
	r.sweep(ctx, lines, now)
	return nil
}

// sweep drops the lines of processes that are gone.
func (r *Registrar) sweep(ctx context.Context, lines []Registration, now int64) {
	for _, l := range lines {
		if now-l.RenewedMs < staleAfter.Milliseconds() || l.Name == r.Self.Name {
			continue
		}
		if err := r.Remove(ctx, l); err != nil {
			r.Log.WithError(err).WithField("line", l.Name).Info("Stale line stays until the next renewal.")
		}
	}
}
