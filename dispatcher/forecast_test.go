package dispatcher

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// The order of the rules: scarce capacity is left to others, then the due time counts, then
// the capacity that others may need, then the earlier end. A place that stalls holds no job
// back.
func TestForecast(t *testing.T) {
	inf := math.Inf(1)
	for name, c := range map[string]struct {
		forecast         forecast
		wait, elsewhere  bool
		elsewhereReasons string
	}{
		"ends earlier at its place":                  {forecast{wait: 0.1, local: 0.1, remote: 0.3, slack: inf, headroom: true}, true, true, "headroom"},
		"ends earlier elsewhere":                     {forecast{wait: 0.3, local: 0.1, remote: 0.3, slack: inf, headroom: true}, false, true, "headroom"},
		"ends earlier elsewhere, little is free":     {forecast{wait: 0.3, local: 0.1, remote: 0.3, slack: inf}, true, true, "in time"},
		"in time at its place only":                  {forecast{wait: 0.1, local: 0.1, remote: 0.3, slack: 0.25, headroom: true}, true, true, "headroom"},
		"in time elsewhere only":                     {forecast{wait: 0.18, local: 0.1, remote: 0.2, slack: 0.25}, false, true, "in time"},
		"in time elsewhere only, capacity is scarce": {forecast{wait: 0.18, local: 0.1, remote: 0.2, slack: 0.25, scarce: true}, true, false, ""},
		"late at both":                               {forecast{wait: 0.4, local: 0.1, remote: 0.3, slack: 0.25}, true, false, ""},
		"late at both, much is free":                 {forecast{wait: 0.4, local: 0.1, remote: 0.3, slack: 0.25, headroom: true}, false, true, "headroom"},
		"late at both, place stalls":                 {forecast{wait: 2, local: 0.1, remote: 0.3, slack: 0.25}, false, true, "stalled"},
		"capacity is scarce, place stalls":           {forecast{wait: 2, local: 0.1, remote: 0.3, slack: inf, scarce: true}, false, true, "stalled"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.wait, c.forecast.waitPays())
			require.Equal(t, c.elsewhere, c.forecast.mayRunElsewhere(), c.elsewhereReasons)
		})
	}
}
