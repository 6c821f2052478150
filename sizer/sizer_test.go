package sizer_test

import (
	"fmt"

	"mustardlever.dev/mustardlever/sizer"
)

func ExampleSize_Holds() {
	free := sizer.Size{CPU: 3000, Memory: 512}.Minus(sizer.Size{CPU: 1000})
	fmt.Println(free.Holds(sizer.Size{CPU: 2000, Memory: 64}), free.Holds(sizer.Size{CPU: 2001}))
	fmt.Println(free.Share(sizer.Slots(4)))
	// Output:
	// true false
	// 0.5
}
