package granter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/granter"
)

func ExampleGranter() {
	g := granter.Granter{Slots: 4}
	g.Join("a")
	g.Join("b")
	grants, _ := g.Rebalance()
	fmt.Println("idle slots are spread:", grants)
	g.SetDemand("a", 9)
	_, recalls := g.Rebalance()
	fmt.Println("asked back for a:", recalls)
	g.Returned("b", 2, 0)
	grants, _ = g.Rebalance()
	fmt.Println("given to a:", grants)
	// Output:
	// idle slots are spread: [{a 2} {b 2}]
	// asked back for a: [{b 2}]
	// given to a: [{a 2}]
}

func TestVoidedEntryGetsNothingUntilHeard(t *testing.T) {
	g := granter.Granter{Slots: 2}
	g.Join("a")
	g.Join("b")
	g.Rebalance()
	g.SetDemand("a", 5)
	g.Void("a")
	grants, _ := g.Rebalance()
	require.Equal(t, []granter.Grant{{Entry: "b", Slots: 1}}, grants)
	require.False(t, g.Use("a", 5), "its grants are void")
	require.True(t, g.Use("b", 0))
	g.Free()
	grants, _ = g.Rebalance()
	require.Equal(t, []granter.Grant{{Entry: "a", Slots: 1}}, grants, "it has been heard again")
}

func TestGrantsNeverPassTheSlots(t *testing.T) {
	g := granter.Granter{Slots: 3}
	running := 0
	for _, e := range []string{"a", "b", "c", "d"} {
		g.Join(e)
		g.SetDemand(e, 10)
		g.Rebalance()
		for g.Use(e, 9) {
			running++
		}
	}
	require.Equal(t, 3, running)
}
