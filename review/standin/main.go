// Command standin runs one case of the review: it starts the daemon as separate
// processes, stands in for the platform, its executors and its clients, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario is one case. It returns what broke the rule, or the empty string.
type scenario func(d *deployment, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"cancel-after-retry":      cancelAfterRetry,
	"cancel-after-removal":    cancelAfterRemoval,
	"retry-after-cancel":      retryAfterCancel,
	"restart-while-idle":      restartWhileIdle,
	"unhealthy-after-restart": unhealthyAfterRestart,
}

func main() {
	name := flag.String("case", "", "`NAME` of the case")
	path := flag.String("record", "record.txt", "`FILE` to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	os.Exit(run(*name, *path, *trouble))
}

func run(name, path string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitCannotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	r.printf("case %s, disruption: %t", name, trouble)
	d := &deployment{record: r}
	defer d.stop()
	broken, err := s(d, trouble)
	switch {
	case err != nil:
		r.printf("result: the case could not run: %v", err)
		return exitCannotRun
	case broken != "":
		r.printf("result: BROKEN: %s", broken)
		return exitBroken
	}
	r.printf("result: held")
	return exitHeld
}
