package soaker

import (
	"testing"
	"time"
)

// Guards against seeds whose faults change when crowds are added, and against crowds that a
// seed does not determine.
func TestCrowdsLeaveOtherFaultsUnchanged(t *testing.T) {
	schedule := func() []Round { return NewSchedule(7, 3, 5, time.Minute) }
	crowded := func() []Round { return addCrowds(schedule(), 7, 3, 5) }
	requireAdded(t, schedule, crowded, []Kind{CrowdCallers, CrowdEntries, CrowdLinks, CrowdReports})
}
