package leaser

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The clock of the VM is set back while the backend server restarts under another id, and
// both incarnations have the same start time. The answer of the second one to a probe that
// was sent after the last sign of the first shows that it is present.
func TestNextIncarnationWithSameStartTimeIsUsed(t *testing.T) {
	f := startConfirmed(t)
	f.answer(f.takeCall(KindRenew), Answer{Status: StatusWrongIncarnation})
	require.Len(t, f.ended, 1)
	require.True(t, f.confirmReport(testStartedAt))
}
