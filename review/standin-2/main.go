// Command standin-2 plays the cases of a review: it starts the daemons of the deploy
// file on loopback addresses with stand-ins of the clients, the executors and the
// platform, and checks one rule. Run it in the root of the repository.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path))
}

// play plays a case and returns the exit code.
func play(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	defer r.file.Close()
	c := cases[name]
	if c == nil {
		fmt.Println("not run: no such case")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := c(r, trouble)
	if err != nil {
		r.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.line("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
