package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Loss is what a recovery is measured after.
type Loss struct {
	Name   string
	Kind   Kind // one that kills
	Store  standin.Faults
	Absent time.Duration // from the kill until the processes are started again
}

// Losses are those of one entry, one agent, all entries and all processes, each
// with a store that is up, slow and down.
func Losses() []Loss {
	var list []Loss
	for _, kind := range []Kind{KillEntry, KillAgent, KillEntries, KillAll} {
		for name, f := range map[string]standin.Faults{"up": {}, "slow": {SlowMillis: slowStore}, "down": {Down: true}} {
			list = append(list, Loss{Name: fmt.Sprintf("%s, store %s", kind, name), Kind: kind, Store: f, Absent: absent})
		}
	}
	slices.SortFunc(list, func(a, b Loss) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

const (
	slowStore     = 400                    // ms that each call to a slow store takes
	absent        = time.Second            // of a process that was killed
	beforeLoss    = 4 * time.Second        // in which the rate before is taken
	afterLoss     = 8 * time.Second        // in which service must come back
	rateSpan      = 400 * time.Millisecond // over which a rate is taken: some ten answers
	half, almost  = 0.5, 0.9
	notRecovered  = -time.Second
	betweenLosses = 3 * time.Second
)

// Recovery is how long service took to come back, from the return of what was
// lost; negative when it did not within afterLoss.
type Recovery struct {
	Loss   string
	Before float64 // answers a second
	Half   time.Duration
	Almost time.Duration // to nine tenths
}

// Recover measures recoveries, one after the other.
func Recover(s Settings, losses []Loss) ([]Recovery, error) {
	k := &soak{system: system{Settings: s}, begin: time.Now()}
	k.balancer.ready = make([]bool, s.Entries)
	defer k.stop()
	if err := k.system.start(); err != nil {
		return nil, err
	}
	quit := make(chan struct{})
	var helpers sync.WaitGroup
	for i := range k.entries {
		helpers.Go(func() { k.askReady(i, quit) })
	}
	if !k.awaitReady() {
		close(quit)
		helpers.Wait()
		return nil, fmt.Errorf("the system was not ready after %s; its logs are in %s", readyTimeout, s.Dir)
	}
	for n := range s.Callers {
		c := &caller{soak: k, number: n, rand: rand.New(rand.NewPCG(s.Seed, uint64(n)+1))}
		helpers.Go(func() { c.run(quit) })
	}
	var list []Recovery
	for _, l := range losses {
		list = append(list, k.measure(l))
		s.Say("%s: %+v", l.Name, list[len(list)-1])
	}
	close(quit)
	helpers.Wait()
	return list, nil
}

// measure measures one recovery.
func (k *soak) measure(l Loss) Recovery {
	time.Sleep(beforeLoss)
	r := Recovery{Loss: l.Name, Before: k.rate(time.Now(), beforeLoss)}
	k.store.SetFaults(l.Store)
	lost := map[Kind][]*process{KillEntry: k.entries[:1], KillAgent: k.agents[:1], KillEntries: k.entries, KillAll: k.processes()}[l.Kind]
	k.restart(Fault{For: l.Absent}, lost...)
	returned := time.Now()
	time.Sleep(afterLoss)
	r.Half, r.Almost = k.reached(returned, half*r.Before), k.reached(returned, almost*r.Before)
	k.store.SetFaults(standin.Faults{})
	time.Sleep(betweenLosses)
	return r
}

// rate returns the answers a second in the span before at.
func (k *soak) rate(at time.Time, span time.Duration) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, j := range k.jobs {
		end := j.begin.Add(j.took)
		if j.served() && end.After(at.Add(-span)) && !end.After(at) {
			n++
		}
	}
	return float64(n) / span.Seconds()
}

// reached returns the time from from until the rate is at least wanted.
func (k *soak) reached(from time.Time, wanted float64) time.Duration {
	const step = 20 * time.Millisecond
	for t := time.Duration(0); t <= afterLoss; t += step {
		if k.rate(from.Add(t), rateSpan) >= wanted {
			return max(t-rateSpan, 0)
		}
	}
	return notRecovered
}
