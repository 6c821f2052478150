// Command standin-3 runs the cases of review/11 to review/14: the project's own programs as
// separate processes, with stand-ins of the platform, its executors and its clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// Exit statuses of a case.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusCouldNot = 2
)

// runner is a case that is being run.
type runner struct {
	*deployment
	trouble bool
	broken  []string
}

// breaks records that a rule was broken.
func (c *runner) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.record.printf("BROKEN: %s", text)
}

var cases = map[string]func(c *runner) error{
	"cancel-beside-frozen-entry": cancelBesideFrozenEntry,
	"cancel-at-restarted-entry":  cancelAtRestartedEntry,
	"cancel-at-cut-off-entry":    cancelAtCutOffEntry,
	"cancel-of-removed-route":    cancelOfRemovedRoute,
}

// standin-3 CASE RECORD runs a case from the root of the repository.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(statusCouldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(c *runner) error, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	defer r.close()
	daemon, err := filepath.Abs("target/mustardleverd")
	if err != nil {
		return statusCouldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.printf("could not run: %v", err)
		return statusCouldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	c := &runner{deployment: &deployment{daemon: daemon, dir: dir, record: r}, trouble: os.Getenv("TROUBLE") != "0"}
	defer c.end()
	go c.endEarly()
	if err := c.begin(); err != nil {
		r.printf("could not run: %v", err)
		return statusCouldNot
	}
	r.printf("all entries are ready; trouble: %t", c.trouble)
	if err := f(c); err != nil {
		r.printf("could not run: %v", err)
		return statusCouldNot
	}
	time.Sleep(100 * time.Millisecond)
	if len(c.broken) > 0 {
		r.printf("the rule was broken %d times", len(c.broken))
		return statusBroken
	}
	r.printf("the rule held")
	return statusHeld
}

// endEarly ends all processes if a signal ends the case, or if it takes too long.
func (c *runner) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	c.record.printf("could not run: ended early")
	c.end()
	os.Exit(statusCouldNot)
}
