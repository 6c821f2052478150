package selector_test

import (
	"fmt"
	"time"

	"mustardlever.dev/mustardlever/selector"
)

// An agent keeps connections to two of four entries. One of them does not answer, so
// that another one substitutes for it.
func Example() {
	s := selector.Selector{Self: "agent-1", Limit: 2}
	for _, address := range []string{"10.1.0.1:7720", "10.2.0.1:7720", "10.3.0.1:7720", "10.4.0.1:7720"} {
		s.Add(address)
	}
	now := time.Unix(0, 0)
	preferred := s.Choose(now, func(string) bool { return false })
	fmt.Println(len(preferred), "preferred")

	answers := func(address string) bool { return address == preferred[0] }
	fmt.Println(len(s.Choose(now.Add(100*time.Millisecond), answers)), "after 100 ms")
	fmt.Println(len(s.Choose(now.Add(time.Second), answers)), "after 1 s")
	// Output:
	// 2 preferred
	// 2 after 100 ms
	// 3 after 1 s
}
