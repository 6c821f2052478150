// Package registrar registers the addresses of the entries in the platform's store,
// so that processes find each other even after all of them were replaced. A process
// reads the store only while it is connected to no entry, and when it renews its
// own registration.
//
// An entry writes its registration at its start and then at long intervals, so that
// the number of store calls does not grow with the load. A registration that was
// not renewed for a long time belongs to a process that no longer exists, and is
// removed.
package registrar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/pausedetector"
)

const (
	listTimeout       = 5 * time.Second        // for reading the registrations, in several calls if there are many
	callTimeout       = 700 * time.Millisecond // for the store's writes of one round
	minRetryDelay     = 200 * time.Millisecond // delay after the first failure; doubles with each further one
	maxRetryDelay     = 2 * time.Second
	renewalInterval   = 10 * time.Minute // at this interval a few hundred processes cause less than one write per second
	staleAfter        = 35 * time.Minute // three missed renewals and some time for a store outage
	maxAhead          = time.Minute      // by which a renewal may lie ahead of the store's clock
	maxRemovals       = 10               // stale registrations removed after one renewal
	discoveryInterval = 2 * time.Second  // between two reads of the store while no entry is connected
)

// Registration is the registration of one entry. RenewedMillis is the time of its last
// renewal by the store's clock, in ms.
type Registration struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // where other processes connect, host:port
	RenewedMillis int64  `json:"renewed-ms"`
}

// isCurrent reports whether the registration was renewed within staleAfter before now.
// A time of renewal after now is no valid one.
func (r Registration) isCurrent(now int64) bool {
	return r.RenewedMillis > now-staleAfter.Milliseconds() && r.RenewedMillis <= now+maxAhead.Milliseconds()
}

// Registrar renews the registration of its process, removes stale registrations
// and passes the addresses of entries to the process. List, Write and Remove call
// the store, AddEntries and Disconnected the process. List also returns the time of
// the store's clock in ms.
type Registrar struct {
	Self         *Registration // registration of this process; nil for a process that is not registered
	List         func(ctx context.Context) (registrations []Registration, now int64, err error)
	Write        func(ctx context.Context, e Registration) error
	Remove       func(ctx context.Context, e Registration) error
	AddEntries   func(addresses []string)
	Disconnected func() bool // reports whether no entry is connected
	Log          *logrus.Entry
}

// Run renews the registration and looks for entries until ctx is done. The delays
// between rounds are randomized.
func (r *Registrar) Run(ctx context.Context) {
	var renewedAt time.Time
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		wait := discoveryInterval
		renewalDue := r.Self != nil && (renewedAt.IsZero() || time.Since(renewedAt) >= renewalInterval)
		if renewalDue || r.Disconnected() {
			if err := r.listAndRenew(ctx, renewalDue); err != nil {
				r.Log.WithError(err).Debug("Registrar failed to read or write the store; it will retry.")
				wait, retryDelay = retryDelay, min(2*retryDelay, maxRetryDelay)
			} else {
				retryDelay = minRetryDelay
				if renewalDue {
					renewedAt = time.Now()
				}
			}
		}
		pausedetector.Sleep(ctx, wait/2+rand.N(wait))
	}
}

// listAndRenew reads the registrations and passes the current addresses to the
// process. If the renewal is due, it writes the registration of this process and
// removes stale ones.
func (r *Registrar) listAndRenew(ctx context.Context, renewalDue bool) error {
	registrations, now, err := r.list(ctx)
	if err != nil {
		return err
	}
	var addresses []string
	for _, e := range registrations {
		if e.isCurrent(now) {
			addresses = append(addresses, e.Address)
		}
	}
	r.AddEntries(addresses)
	if !renewalDue {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := *r.Self
	self.RenewedMillis = now
	if err := r.Write(ctx, self); err != nil {
		return err
	}
	r.removeStale(ctx, registrations, now)
	return nil
}

func (r *Registrar) list(ctx context.Context) (registrations []Registration, now int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return r.List(ctx)
}

// removeStale removes registrations of other processes that are not current, at most
// maxRemovals.
func (r *Registrar) removeStale(ctx context.Context, registrations []Registration, now int64) {
	removed := 0
	for _, e := range registrations {
		if e.isCurrent(now) || e.Name == r.Self.Name {
			continue
		}
		if removed == maxRemovals {
			return
		}
		if err := r.Remove(ctx, e); err != nil {
			r.Log.WithError(err).WithField("line", e.Name).Info("Removing a stale registration failed; it will be retried after the next renewal.")
			return
		}
		removed++
	}
}
