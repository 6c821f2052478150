package limiter

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// Settings are the limits of a process.
type Settings struct {
	MemoryMiB   int  // default 184
	Descriptors int  // default 4100, of which reservedDescriptors are for files
	KeepsJobs   bool // jobs outlive their requests, as those with tickets do
}

const (
	defaultMemoryMiB    = 184
	defaultDescriptors  = 4100
	reservedDescriptors = 200

	// Shares of the memory. Together they leave a quarter for the process itself, its
	// identified links and the store. None is reached by clients within the limits of
	// their requests: at the default, 1,036 connections, 36 bodies of 262,144 bytes at
	// the end of their reading, and jobs of 100,000 tasks while they run.
	connectionsShare = 0.22
	headersShare     = 0.07
	bodiesShare      = 0.10
	jobsShare        = 0.22
	reserveShare     = 0.02
	linksShare       = 0.04
	operatorsShare   = 0.03
	readinessShare   = 0.02
	framesShare      = 0.08 // of the quarter of the process itself
	reportsShare     = 0.20 // of an agent, which has no callers; a report has up to 4 MiB

	// Shares of a process that keeps jobs, instead of jobsShare and readinessShare.
	requestsShare = 0.07 // submissions whose callers wait
	heldJobsShare = 0.14
	resultsShare  = 0.05 // of jobs that have ended
	backendsShare = 0.10 // stand-ins in the same process; a task has up to 4 MiB

	// Shares of the descriptors that are not reserved for files. The rest is for links that
	// the process opens and for the store.
	callerDescriptors    = 0.70
	linkDescriptors      = 0.08
	peerDescriptors      = 0.08 // identified links
	lingerDescriptors    = 0.03 // callers that were refused
	operatorDescriptors  = 0.05
	readinessDescriptors = 0.05
	reportDescriptors    = 0.10

	// Requests that are not small and are read at the same time. Each takes processor time
	// from ordinary callers, most with very small chunks. Jobs have bodies of about 1 KiB,
	// and an agent gets the reports of one backend server. The numbers are chosen.
	maxLargeCallers = 64
	maxLargeOthers  = 16

	// The runtime's soft limit is below the memory by three tenths, or by unlimitedMiB if
	// that is more: pages of the program's file, garbage before a collection ends, and the
	// kernel's receive buffers. With 0.80, 3,700 complete bodies of 87,000 empty steps took
	// 165 MiB of 184, beside 35 MiB in receive buffers.
	softLimitShare = 0.70
	unlimitedMiB   = 28

	// linkGrace protects a link that has not identified itself: its hello may be queued
	// behind those of all agents after a restart.
	linkGrace = time.Second
	// silentLinkGrace protects a link that has sent nothing. An agent sends its hello at
	// once, so it has arrived when the link is accepted.
	silentLinkGrace = 200 * time.Millisecond
	// backlog is the number of connections that the kernel holds before they are accepted.
	// Each has up to receiveBuffer of data. An ordinary entry accepts 100 in a second.
	backlog       = 1024
	watchInterval = time.Second
)

// Budget is the memory and the descriptors of a process, divided among its listeners.
// Create it with NewBudget.
type Budget struct {
	Callers   *Pool
	Readiness *Pool
	Operators *Pool
	Links     *Pool // until their peers have identified themselves
	Reports   *Pool
	Backends  *Pool      // stand-ins for backend servers in the same process
	HeldJobs  *Allowance // jobs that outlive their requests
	Frames    *Allowance // large frames of identified links, while they are read and handled

	memory      int64
	descriptors int
}

// NewBudget returns the budget for the settings. Zero fields take the defaults.
func NewBudget(s Settings) *Budget {
	if s.MemoryMiB <= 0 {
		s.MemoryMiB = defaultMemoryMiB
	}
	if s.Descriptors <= 0 {
		s.Descriptors = defaultDescriptors
	}
	b := &Budget{memory: int64(s.MemoryMiB) << 20, descriptors: s.Descriptors}
	jobs := jobsShare
	if s.KeepsJobs {
		jobs = requestsShare
	}
	b.Frames = &Allowance{Limit: b.share(framesShare)}
	b.HeldJobs = &Allowance{Limit: b.share(heldJobsShare)}
	usable := max(s.Descriptors-reservedDescriptors, 0)
	b.Callers = newPool("callers", connectionCost, part(usable, callerDescriptors), map[Account]int64{
		Connections: b.share(connectionsShare), Headers: b.share(headersShare), Bodies: b.share(bodiesShare),
		Jobs: b.share(jobs), Reserve: b.share(reserveShare),
	})
	b.Callers.ledger.MaxLarge = maxLargeCallers
	b.Callers.lingerer.limit = int64(part(usable, lingerDescriptors))
	single := func(name string, cost int64, descriptors, memory float64) *Pool {
		p := newPool(name, cost, part(usable, descriptors), map[Account]int64{Connections: b.share(memory)})
		p.answerTimeout = answerTimeout
		return p
	}
	b.Readiness = single("readiness", connectionCost, readinessDescriptors, readinessShare)
	b.Operators = single("operators", connectionCost, operatorDescriptors, operatorsShare)
	b.Reports = single("reports", connectionCost, reportDescriptors, reportsShare)
	b.Backends = single("backends", connectionCost, reportDescriptors, backendsShare)
	b.Backends.ledger.MaxLarge = 0 // they are called by the agents of the process
	b.Links = single("links", linkCost, linkDescriptors, linksShare)
	b.Links.peers.limit = part(usable, peerDescriptors)
	b.Links.plain, b.Links.patient = true, true
	b.Links.ledger.Grace, b.Links.ledger.SilentGrace = linkGrace, silentLinkGrace
	return b
}

func newPool(name string, cost int64, connections int, limits map[Account]int64) *Pool {
	l := NewLedger(limits)
	l.MaxConnections, l.MaxLarge = connections, maxLargeOthers
	return &Pool{Name: name, ledger: l, cost: cost}
}

// String returns the limits for people.
func (b *Budget) String() string {
	return fmt.Sprintf("memory %d MiB, descriptors %d, connections of callers %d, of operators %d, links that have not identified themselves %d",
		b.memory>>20, b.descriptors, b.Callers.maxConnections(), b.Operators.maxConnections(), b.Links.maxConnections())
}

// share returns a part of the memory in bytes.
func (b *Budget) share(f float64) int64 { return int64(float64(b.memory) * f) }

// part returns a part of n, at least 1.
func part(n int, f float64) int { return max(int(math.Floor(float64(n)*f)), 1) }

// MaxResultBytes returns the size in bytes of the results of ended jobs that a process
// keeps.
func (b *Budget) MaxResultBytes() int { return int(b.share(resultsShare)) }

// PermittedDescriptors returns n, or the default if n is 0, or the number of descriptors
// that the system permits this process to open if that is less.
func PermittedDescriptors(n int) int {
	if n <= 0 {
		n = defaultDescriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return n
	}
	return min(n, int(limit.Cur))
}

// SoftLimit returns the limit in bytes at which the Go runtime collects garbage more
// often.
func (b *Budget) SoftLimit() int64 {
	limit := min(b.share(softLimitShare), b.memory-unlimitedMiB<<20)
	return max(limit, b.memory/2)
}

// Apply sets the soft limit of the Go runtime.
func (b *Budget) Apply() { debug.SetMemoryLimit(b.SoftLimit()) }

// accountNames are the names of the accounts in metrics.
var accountNames = map[Account]string{
	Connections: "connections", Headers: "headers", Bodies: "bodies", Jobs: "jobs", Reserve: "reserve",
}

// Register registers the metrics of pools with a function that takes a name and a
// function that returns the value. A pool whose accounts share one limit has one
// account, which bears its name.
func Register(gauge func(name string, value func() float64), pools ...*Pool) {
	for _, p := range pools {
		read := func(name, label, labelValue string, value func(Usage) float64) {
			gauge(fmt.Sprintf("limit_%s{%s=%q}", name, label, labelValue), func() float64 { return value(p.Usage()) })
		}
		read("used_connections", "listener", p.Name, func(u Usage) float64 { return float64(u.Connections) })
		read("evicted_total", "listener", p.Name, func(u Usage) float64 { return float64(u.Evicted) })
		read("refused_total", "listener", p.Name, func(u Usage) float64 { return float64(u.Refused) })
		if p.peers.limit > 0 {
			gauge(`limit_identified_connections{listener="links"}`, func() float64 { return float64(p.Usage().Peers) })
		}
		if p.ledger.shared {
			read("used_bytes", "account", p.Name, func(u Usage) float64 { return float64(u.Bytes) })
			continue
		}
		for a, name := range accountNames {
			read("used_bytes", "account", name, func(u Usage) float64 { return float64(u.Accounts[a]) })
		}
	}
}

// Watch logs once a second what the pools refused and evicted, until ctx is done.
func Watch(ctx context.Context, log *logrus.Entry, pools ...*Pool) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := make([]Usage, len(pools))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, p := range pools {
			u := p.Usage()
			if refused, evicted := u.Refused-last[i].Refused, u.Evicted-last[i].Evicted; refused > 0 || evicted > 0 {
				log.WithFields(logrus.Fields{
					"listener": p.Name, "refused": refused, "evicted": evicted, "connections": u.Connections, "bytes": u.Bytes,
				}).Warn("Limits are reached: requests were refused or connections closed.")
			}
			last[i] = u
		}
	}
}

// Listen listens on a TCP address. Connections have small receive buffers, and few wait
// to be accepted, so that data that were not read yet occupy little memory of the kernel.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		if err != nil {
			return err
		}
		return failed
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if s, ok := l.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { unix.Listen(int(fd), backlog) }) // on an error the default of the system remains
		}
	}
	return l, nil
}
