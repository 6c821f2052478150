package soaker

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Kinds of faults in which a crowd of clients that the system does not control connects to
// an address of an entry or an agent, for the duration of the fault. CrowdEntries does so at
// the callers' addresses of all entries.
const (
	CrowdCallers Kind = "crowd-callers"
	CrowdEntries Kind = "crowd-all-entries"
	CrowdLinks   Kind = "crowd-links"
	CrowdReports Kind = "crowd-reports"
)

const (
	crowdStream    = 4 << 32 // stream of random numbers of the schedule
	crowdsPerRound = 4
	minCrowd       = time.Second
	maxCrowd       = 6 * time.Second
	crowdClients   = 100 // at one address
	crowdAddress   = "127.0.0.9"

	// Limits of the processes in a soak with crowds.
	crowdMemoryMiB   = 96
	crowdDescriptors = 500

	crowdBodyBytes   = 256 << 10
	crowdHeaderBytes = 16_000
	crowdShortfall   = 16 // bytes that are missing in an unfinished request
	crowdHold        = 500 * time.Millisecond
	crowdDeadline    = 3 * time.Second // of its jobs
)

// addCrowdSettings adds the limits of the processes.
func (s *system) addCrowdSettings(platform map[string]any) {
	if s.Crowds {
		platform["memory-mb"], platform["max-descriptors"] = crowdMemoryMiB, crowdDescriptors
	}
}

// addCrowds adds crowds to the rounds of a schedule. They may last longer than the other
// faults of the round.
func addCrowds(rounds []Round, seed uint64, entries, agents int) []Round {
	rng := rand.New(rand.NewPCG(seed, crowdStream))
	for i := range rounds {
		r := &rounds[i]
		end := r.Faults[len(r.Faults)-1].At
		for range crowdsPerRound {
			r.Faults = append(r.Faults, Fault{
				At: randomDuration(rng, 0, end), Duration: randomDuration(rng, minCrowd, maxCrowd),
				Kind:  randomKind(rng, []kindWeight{{CrowdCallers, 4}, {CrowdEntries, 2}, {CrowdLinks, 2}, {CrowdReports, 1}}),
				Entry: rng.IntN(entries), Agent: rng.IntN(agents),
			})
		}
		slices.SortStableFunc(r.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	}
	return rounds
}

// injectCrowd connects crowds for the duration of the fault.
func (k *soak) injectCrowd(f Fault, entry, agent *process) {
	switch f.Kind {
	case CrowdCallers:
		k.crowd(f.Duration, callerRequests, entry.callerRelay.Target)
	case CrowdEntries:
		var addresses []string
		for _, e := range k.entries {
			addresses = append(addresses, e.callerRelay.Target)
		}
		k.crowd(f.Duration, callerRequests, addresses...)
	case CrowdLinks:
		k.crowd(f.Duration, linkFrames, entry.linkRelay.Target)
	case CrowdReports:
		k.crowd(f.Duration, reportRequests, agent.reportRelay.Target)
	}
}

// crowd connects crowdClients clients to each address. Each sends one of the requests again
// and again, and comes back at once when it is refused.
func (k *soak) crowd(duration time.Duration, requests []func(n uint64) []byte, addresses ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients sync.WaitGroup
	for _, address := range addresses {
		for i := range crowdClients {
			clients.Go(func() {
				for ctx.Err() == nil {
					n := k.crowdRequests.Add(1)
					sendAndHold(ctx, address, requests[(uint64(i)+n)%uint64(len(requests))](n), n)
				}
			})
		}
	}
	clients.Wait()
}

// sendAndHold sends a request and holds the connection until the process closes it, or for
// crowdHold. One in four connections is reset at once. Errors are the subject of the test.
func sendAndHold(ctx context.Context, address string, request []byte, n uint64) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}, Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		time.Sleep(10 * time.Millisecond) // the process may be restarting
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(crowdHold + time.Second))
	if _, err := c.Write(request); err != nil {
		return
	}
	if n%4 == 0 {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	c.SetReadDeadline(time.Now().Add(crowdHold))
	c.Read(make([]byte, 1))
}

// callerRequests are requests to the callers' address of an entry.
var callerRequests = []func(n uint64) []byte{
	func(n uint64) []byte { return crowdRequest(crowdJobPath(n), oddHeaderLines(), "") },
	func(n uint64) []byte { return shorten(crowdRequest(crowdJobPath(n), "", paddedCrowdJob())) },
	func(n uint64) []byte { return crowdRequest(crowdJobPath(n), "", paddedCrowdJob()) },
	func(n uint64) []byte { return crowdRequest(crowdJobPath(n), "", strings.Repeat("[", crowdBodyBytes)) },
	func(n uint64) []byte { return shorten(smallChunks(crowdJobPath(n), paddedCrowdJob()[:8<<10])) },
	func(n uint64) []byte { return crowdRequest(crowdJobPath(n), "", crowdJob()) },
	func(n uint64) []byte { return bytes.Repeat(crowdRequest(crowdJobPath(n), "", crowdJob()), 20) },
}

// reportRequests are requests to the address of an agent for status reports.
var reportRequests = []func(n uint64) []byte{
	func(uint64) []byte { return shorten(crowdRequest(standin.ReportPath, oddHeaderLines(), "")) },
	func(uint64) []byte {
		return shorten(crowdRequest(standin.ReportPath, "", strings.Repeat(" ", 4*crowdBodyBytes)))
	},
	func(uint64) []byte {
		return crowdRequest(standin.ReportPath, "", strings.Repeat(" ", 4*crowdBodyBytes))
	},
}

// linkFrames are frames to the address of an entry for other processes.
var linkFrames = []func(n uint64) []byte{
	func(uint64) []byte { return nil },
	func(uint64) []byte { return binary.BigEndian.AppendUint32(nil, 16<<20) },
	func(n uint64) []byte {
		return crowdFrame(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"identity":{"name":"crowd-%d","incarnation":"crowd-%d.0","role":"agent"}}}`, n, n))
	},
}

func crowdJobPath(n uint64) string { return pathPrefix + standin.JobID(1<<60|n) }

func crowdJob() string { return standin.Job(1, standin.Work{DurationMillis: 1, Millicores: 1}) }

func paddedCrowdJob() string {
	job := crowdJob()
	return job + strings.Repeat(" ", crowdBodyBytes-len(job))
}

func crowdRequest(path, headers, body string) []byte {
	return standin.JobRequest(host, path, crowdDeadline, headers, body)
}

// shorten returns a request without its last bytes.
func shorten(request []byte) []byte { return request[:len(request)-crowdShortfall] }

func oddHeaderLines() string {
	var b strings.Builder
	for i := int64(0); b.Len() < crowdHeaderBytes; i++ {
		b.WriteString(strconv.FormatInt(i, 36) + ":\r\n")
	}
	return b.String()
}

func smallChunks(path, body string) []byte {
	b := []byte(standin.JobHead(host, path, crowdDeadline, "Transfer-Encoding: chunked\r\n\r\n"))
	for i := range len(body) {
		b = append(b, "1\r\n"...)
		b = append(b, body[i], '\r', '\n')
	}
	return append(b, "0\r\n\r\n        "...)
}

func crowdFrame(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// watchLimits records processes that exceed their memory or their descriptors.
func (k *soak) watchLimits(quit <-chan struct{}) {
	exceeded := make(map[int]bool) // by process id, so that each is recorded once
	for {
		select {
		case <-quit:
			return
		case <-time.After(watchInterval):
		}
		for _, p := range k.processes() {
			pid, running := p.pid()
			if !running || exceeded[pid] {
				continue
			}
			peak, descriptors := peakMemoryKiB(pid), openDescriptors(pid)
			exceeded[pid] = peak > crowdMemoryMiB<<10 || descriptors > crowdDescriptors
			if exceeded[pid] {
				k.recordViolation("%s has used %d KiB and %d descriptors, its limits are %d MiB and %d", p.name, peak, descriptors, crowdMemoryMiB, crowdDescriptors)
			}
			k.mu.Lock()
			k.report.PeakMemoryKiB = max(k.report.PeakMemoryKiB, peak)
			k.report.MostDescriptors = max(k.report.MostDescriptors, descriptors)
			k.mu.Unlock()
		}
	}
}

// pid returns the id of the process, and whether it is running.
func (p *process) pid() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0, false
	}
	return p.command.Process.Pid, true
}

// peakMemoryKiB returns the largest resident memory of a process, or 0 if it has ended.
func peakMemoryKiB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			n, err := strconv.Atoi(fields[1])
			if err == nil {
				return n
			}
		}
	}
	return 0
}

// openDescriptors returns the open descriptors of a process, or 0 if it has ended.
func openDescriptors(pid int) int {
	files, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(files)
}
