package tests

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
	"mustardlever.dev/mustardlever/server"
)

// evacuationSettings are the settings of a deployment that evacuates zones.
var evacuationSettings = map[string]any{"evacuation-ms": 5000, "cold-overage": 1.5, "cold-slack": 5}

// awaitEvacuated waits until every entry knows that exactly the given zones are
// evacuated, and has all agents.
func (f *platformFleet) awaitEvacuated(agents int, zones ...string) {
	require.Eventually(f.t, func() bool {
		for _, e := range f.entries {
			var views []server.ServiceView
			if get(e.operatorAddress, "/v1/services", &views) != nil || len(views) == 0 || len(views[0].Agents) != agents {
				return false
			}
			if len(views[0].EvacuatedZones) != len(zones) || len(zones) > 0 && views[0].EvacuatedZones[0] != zones[0] {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against programs that start tasks in an evacuated zone after the store has gone
// away and an entry, then the agent of the zone, were killed; against jobs that are lost
// meanwhile, and against a zone that stays out of use after the withdrawal.
func TestPlatformEvacuationOutlastsRestarts(t *testing.T) {
	f := newPlatformFleetWith(t, 2, 3, evacuationSettings)
	work := standin.Work{DurationMillis: 20, Millicores: taskMillicores}
	f.store.Evacuate("zone-2")
	f.awaitEvacuated(3, "zone-2")
	before := f.startsAt(1)
	f.store.SetFaults(standin.Faults{Down: true})
	f.entries[0].kill()
	f.restart(f.entries[0])
	f.agents[1].kill()
	f.restart(f.agents[1])
	require.Eventually(t, func() bool { return f.isEntryReady(0) }, 10*time.Second, 10*time.Millisecond)
	f.awaitEvacuated(3, "zone-2")
	require.Equal(t, 40, f.startLoad(40, work, 10*time.Millisecond)())
	require.Equal(t, before, f.startsAt(1))
	out, code := runController(t, "services", "--operator", f.entries[0].operatorAddress)
	require.Zero(t, code)
	require.Contains(t, out, "zone zone-2: evacuated, agents 1")
	require.Contains(t, out, "zone zone-3: in use, agents 1")
	f.store.SetFaults(standin.Faults{})
	f.store.EndEvacuation("zone-2")
	f.awaitEvacuated(3)
	require.Equal(t, 40, f.startLoad(40, work, 10*time.Millisecond)())
	require.Greater(t, f.startsAt(1), before)
}

// Guards against a job that waits, or is answered without Retry-After, while the zone of
// the only servers is evacuated.
func TestPlatformOnlyZoneEvacuated(t *testing.T) {
	f := newPlatformFleetWith(t, 1, 1, evacuationSettings)
	f.store.Evacuate("zone-1")
	f.awaitEvacuated(1, "zone-1")
	time.Sleep(600 * time.Millisecond) // until the entry no longer waits for other agents
	begin := time.Now()
	a := standin.Submit(t.Context(), http.DefaultClient, f.entries[0].callerURL, routeHost, routePrefix, jobID(1),
		standin.Job(1, standin.Work{DurationMillis: 20, Millicores: taskMillicores}), 8*time.Second)
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.Contains(t, a.Body, "evacuated")
	require.Equal(t, time.Second, a.RetryAfter)
	require.Less(t, time.Since(begin), 2*time.Second, "without waiting for the due time")
}
