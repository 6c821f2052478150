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

// Loss is a loss of processes, combined with faults of the store, after which a
// recovery is measured.
type Loss struct {
	Name        string
	Kind        Kind           // a kind that kills processes
	StoreFaults standin.Faults // from the kill until the measurement ends
	Downtime    time.Duration  // from the kill until the processes are started again
}

// Losses returns the losses of one entry, of one agent, of all entries and of all
// processes, each with a store that is up, slow and down.
func Losses() []Loss {
	var losses []Loss
	for _, kind := range []Kind{KillEntry, KillAgent, KillEntries, KillAll} {
		for name, f := range map[string]standin.Faults{"up": {}, "slow": {DelayMillis: slowStoreMillis}, "down": {Down: true}} {
			losses = append(losses, Loss{Name: fmt.Sprintf("%s, store %s", kind, name), Kind: kind, StoreFaults: f, Downtime: downtime})
		}
	}
	slices.SortFunc(losses, func(a, b Loss) int { return cmp.Compare(a.Name, b.Name) })
	return losses
}

// Settings of the losses and of the measurement.
const (
	slowStoreMillis    = 400                    // duration of each call to a slow store
	downtime           = time.Second            // from a kill until the restart
	baselineTime       = 4 * time.Second        // the rate before the loss is measured over this time
	maxRecoveryTime    = 8 * time.Second        // recovery is observed for this long
	rateWindow         = 400 * time.Millisecond // rates are measured over this time, in which some ten jobs are answered
	half, nineTenths   = 0.5, 0.9               // fractions of the rate before the loss
	notRecovered       = -time.Second           // recovery time if the rate was not reached
	pauseBetweenLosses = 3 * time.Second
)

// Recovery holds the times from the restart of the lost processes until jobs are
// served at a given fraction of the rate before the loss. A time is negative if that
// rate was not reached within maxRecoveryTime.
type Recovery struct {
	Loss             string
	BaselineRate     float64       // rate before the loss, in answers per second
	TimeToHalf       time.Duration // until half of the rate before
	TimeToNineTenths time.Duration // until nine tenths of the rate before
}

// MeasureRecoveries runs the processes, causes the losses one after the other and
// measures the recovery from each.
func MeasureRecoveries(s Settings, losses []Loss) ([]Recovery, error) {
	k := &soak{system: system{Settings: s}, startTime: time.Now()}
	k.balancer.ready = make([]bool, s.Entries)
	defer k.stop()
	if err := k.system.start(); err != nil {
		return nil, err
	}
	quit := make(chan struct{})
	var workers sync.WaitGroup
	for i := range k.entries {
		workers.Go(func() { k.pollReady(i, quit) })
	}
	if !k.awaitReady() {
		close(quit)
		workers.Wait()
		return nil, fmt.Errorf("the system was not ready within %s; logs are in %s", readyTimeout, s.Dir)
	}
	for n := range s.Callers {
		c := &caller{soak: k, number: n, rand: rand.New(rand.NewPCG(s.Seed, uint64(n)+1))}
		workers.Go(func() { c.run(quit) })
	}
	var recoveries []Recovery
	for _, l := range losses {
		recoveries = append(recoveries, k.measureRecovery(l))
		s.Logf("%s: %+v", l.Name, recoveries[len(recoveries)-1])
	}
	close(quit)
	workers.Wait()
	return recoveries, nil
}

// measureRecovery causes one loss and measures the recovery from it.
func (k *soak) measureRecovery(l Loss) Recovery {
	time.Sleep(baselineTime)
	r := Recovery{Loss: l.Name, BaselineRate: k.rate(time.Now(), baselineTime)}
	k.store.SetFaults(l.StoreFaults)
	killed := map[Kind][]*process{KillEntry: k.entries[:1], KillAgent: k.agents[:1], KillEntries: k.entries, KillAll: k.processes()}[l.Kind]
	k.restart(Fault{Duration: l.Downtime}, killed...)
	restarted := time.Now()
	time.Sleep(maxRecoveryTime)
	r.TimeToHalf, r.TimeToNineTenths = k.timeToRate(restarted, half*r.BaselineRate), k.timeToRate(restarted, nineTenths*r.BaselineRate)
	k.store.SetFaults(standin.Faults{})
	time.Sleep(pauseBetweenLosses)
	return r
}

// rate returns the final answers per second in the window that ends at end.
func (k *soak) rate(end time.Time, window time.Duration) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, j := range k.jobs {
		answeredAt := j.submittedAt.Add(j.elapsed)
		if j.served() && answeredAt.After(end.Add(-window)) && !answeredAt.After(end) {
			n++
		}
	}
	return float64(n) / window.Seconds()
}

// timeToRate returns the time from start until the rate is at least target, or
// notRecovered.
func (k *soak) timeToRate(start time.Time, target float64) time.Duration {
	const step = 20 * time.Millisecond
	for t := time.Duration(0); t <= maxRecoveryTime; t += step {
		if k.rate(start.Add(t), rateWindow) >= target {
			return max(t-rateWindow, 0)
		}
	}
	return notRecovered
}
