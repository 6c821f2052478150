package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults that evacuate the zone of an agent for the duration of the fault.
// EvacuateZoneTwice withdraws the evacuation after the delay of the fault, and requests it
// again at once.
const (
	EvacuateZone      Kind = "evacuate-zone"
	EvacuateZoneTwice Kind = "evacuate-zone-twice"
)

const (
	evacuationStream = 3 << 32 // stream of random numbers of the schedule; callers and other schedules use lower ones
	zoneCount        = 3

	evacuationsPerRound = 3
	minEvacuation       = 300 * time.Millisecond
	maxEvacuation       = 9 * time.Second

	// Bounds of the users' rule: no task starts in an evacuated zone later than
	// evacuationBound after the acknowledgement, on a VM that was running and connected for
	// healthyFor; usually not later than normalEvacuationBound.
	evacuationBound       = 5 * time.Second
	normalEvacuationBound = time.Second
	healthyFor            = 4 * time.Second

	soakWarmUp      = 2 * time.Second // of backend servers
	soakColdOverage = 1.5
	soakColdSlack   = 5
)

// zoneOf returns the zone of the process with the index among its role.
func zoneOf(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount+1) }

// addEvacuationSettings adds the settings of evacuations and cold servers.
func (s *system) addEvacuationSettings(platform map[string]any) {
	if s.Evacuations {
		platform["evacuation-ms"] = evacuationBound.Milliseconds()
		platform["cold-overage"], platform["cold-slack"] = soakColdOverage, soakColdSlack
	}
}

// addEvacuations adds evacuations of one to three zones to the rounds of a schedule. They
// may last longer than the other faults of the round.
func addEvacuations(rounds []Round, seed uint64, agents int) []Round {
	rng := rand.New(rand.NewPCG(seed, evacuationStream))
	for i := range rounds {
		r := &rounds[i]
		end := r.Faults[len(r.Faults)-1].At
		for range evacuationsPerRound {
			r.Faults = append(r.Faults, Fault{
				At: randomDuration(rng, 0, end), Duration: randomDuration(rng, minEvacuation, maxEvacuation),
				Kind: randomKind(rng, []kindWeight{{EvacuateZone, 2}, {EvacuateZoneTwice, 1}}), Agent: rng.IntN(agents),
				Delay: randomDuration(rng, 0, time.Second),
			})
		}
		slices.SortStableFunc(r.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	}
	return rounds
}

// evacuate evacuates the zone of an agent for the duration of the fault.
func (k *soak) evacuate(f Fault) {
	zone := zoneOf(f.Agent % len(k.agents))
	k.setEvacuated(zone, true)
	if f.Kind == EvacuateZoneTwice {
		time.Sleep(f.Delay)
		k.setEvacuated(zone, false)
		k.setEvacuated(zone, true)
	}
	time.Sleep(f.Duration)
	k.setEvacuated(zone, false)
}

// setEvacuated requests or withdraws the evacuation of a zone, as operators do.
func (k *soak) setEvacuated(zone string, evacuated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !evacuated {
		delete(k.evacuations, zone) // before the withdrawal can take effect
		k.store.EndEvacuation(zone)
		return
	}
	k.store.Evacuate(zone)
	if k.evacuations == nil {
		k.evacuations = make(map[string]time.Time)
	}
	if _, ok := k.evacuations[zone]; !ok {
		k.evacuations[zone] = time.Now()
	}
}

// checkEvacuation checks that a task that an agent starts does not start in an evacuated
// zone.
func (k *soak) checkEvacuation(agent *process, task string) {
	now := time.Now()
	zone, _ := agent.settings["zone"].(string)
	k.mu.Lock()
	since, evacuated := k.evacuations[zone]
	k.mu.Unlock()
	late := now.Sub(since)
	switch {
	case !evacuated || late <= normalEvacuationBound:
	case late > evacuationBound && agent.undisturbedSince(now.Add(recoveryMargin-healthyFor)):
		k.recordTimingViolation(interval{since, now}, "task %s started at %s in %s, %s after its evacuation", task, agent.name, zone, late.Round(time.Millisecond))
	case k.allUndisturbedSince(since.Add(recoveryMargin - healthyFor)):
		k.recordTimingViolation(interval{since, now}, "task %s started at %s in %s, %s after its evacuation, without any fault", task, agent.name, zone, late.Round(time.Millisecond))
	}
}

// allUndisturbedSince reports whether all processes are running and no fault may have
// affected one since t.
func (k *soak) allUndisturbedSince(t time.Time) bool {
	return !slices.ContainsFunc(k.processes(), func(p *process) bool { return !p.undisturbedSince(t) })
}
