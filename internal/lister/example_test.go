package lister_test

import (
	"fmt"

	"mustardlever.dev/mustardlever/internal/lister"
)

func ExampleEach() {
	sum := 0
	err := lister.Each([]byte(`[1, 2, 39]`), false, func(n int) { sum += n })
	fmt.Println(sum, err)
	err = lister.Each([]byte(`[{"a": 1}]`), true, func(struct{ B int }) {})
	fmt.Println(err)
	// Output:
	// 42 <nil>
	// json: unknown field "a"
}
