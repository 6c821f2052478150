package sizer_test

import (
	"fmt"

	"mustardlever.dev/mustardlever/sizer"
)

func ExampleResources_Covers() {
	free := sizer.Resources{CPU: 3000, Memory: 512}.Sub(sizer.Resources{CPU: 1000})
	fmt.Println(free.Covers(sizer.Resources{CPU: 2000, Memory: 64}), free.Covers(sizer.Resources{CPU: 2001}))
	fmt.Println(free.DominantShare(sizer.Slots(4)))
	// Output:
	// true false
	// 0.5
}
