package tests

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Settings of the processes in the crowd tests. They are the bounds of the checks as
// well: a process keeps within the memory and the descriptors that its settings grant.
const (
	crowdMemoryMiB      = 96
	crowdMaxDescriptors = 500
)

// Sizes of a crowd. Most requests stop crowdShortfall bytes before their end.
const (
	crowdCallers       = 600 // connections to the callers' address
	crowdOthers        = 100 // connections to each other address
	crowdCompleteEvery = 10  // one request of so many is complete
	crowdShortfall     = 16
	crowdHeaderBytes   = 16_000 // permitted: 16,384
	crowdBodyBytes     = 262_144
	crowdReportBytes   = 1 << 20 // permitted at agents: 4 MiB
	crowdFrameBytes    = 16 << 20
	crowdFrameSent     = 1 << 20
	crowdHold          = time.Second // how long a crowd stays open after its last byte
	crowdWriteTimeout  = 8 * time.Second
	crowdDeadline      = 4 * time.Second // of the jobs of a crowd
)

// crowdKind is one way in which the requests of a crowd are made. It writes a request
// up to its end, or crowdShortfall bytes less.
type crowdKind struct {
	name string
	send func(c net.Conn, n int, body []byte, complete bool)
}

func crowdKinds() []crowdKind {
	return []crowdKind{
		{"odd-header-lines", sendOddHeaderLines},
		{"whole-bodies", sendWhole},
		{"bodies-in-pieces", func(c net.Conn, n int, body []byte, complete bool) {
			sendSized(c, n, body, complete, 8<<10, 5*time.Millisecond)
		}},
		{"large-chunks", func(c net.Conn, n int, body []byte, complete bool) { sendChunks(c, n, body, complete, 64<<10) }},
		{"very-small-chunks", func(c net.Conn, n int, body []byte, complete bool) { sendChunks(c, n, body, complete, 4) }},
		{"slow-bodies", func(c net.Conn, n int, body []byte, complete bool) {
			sendSized(c, n, body[:len(body)/4], complete, 2<<10, 100*time.Millisecond)
		}},
	}
}

func crowdHead(n int) string {
	return standin.JobHead(routeHost, routePrefix+jobID(1000+n), crowdDeadline, "")
}

// sendOddHeaderLines sends header lines that are short: distinct names, one name, and
// names with little else than white space.
func sendOddHeaderLines(c net.Conn, n int, _ []byte, complete bool) {
	var b bytes.Buffer
	b.WriteString(strings.Replace(crowdHead(n), "POST", "GET", 1))
	for i := 0; b.Len() < crowdHeaderBytes; i++ {
		switch n % 3 {
		case 0:
			b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
		case 1:
			b.WriteString("a:\r\n")
		default:
			b.WriteString(strconv.FormatInt(int64(i), 36) + ":\t \n")
		}
	}
	if complete {
		b.WriteString("\r\n")
	}
	c.Write(b.Bytes())
}

func sendWhole(c net.Conn, n int, body []byte, complete bool) {
	sendSized(c, n, body, complete, len(body), 0)
}

// sendSized sends a body with its length, in pieces and with a pause between them.
func sendSized(c net.Conn, n int, body []byte, complete bool, piece int, pause time.Duration) {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", crowdHead(n), len(body)); err != nil {
		return
	}
	if !complete {
		body = body[:len(body)-crowdShortfall]
	}
	for len(body) > 0 {
		part := body[:min(piece, len(body))]
		if _, err := c.Write(part); err != nil {
			return
		}
		body = body[len(part):]
		time.Sleep(pause)
	}
}

// sendChunks sends a chunked body.
func sendChunks(c net.Conn, n int, body []byte, complete bool, size int) {
	if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", crowdHead(n)); err != nil {
		return
	}
	if !complete {
		body = body[:len(body)-crowdShortfall]
	}
	c.Write(chunks.encode(body, size))
	if complete {
		c.Write([]byte("0\r\n\r\n"))
	}
}

// chunks holds encoded bodies. A crowd that encoded each anew would take the processor time
// that the processes need.
var chunks chunkEncoder

type chunkEncoder struct {
	mu   sync.Mutex
	done map[chunkKey][]byte
}

// chunkKey names a body, by its first byte, and the size of its chunks.
type chunkKey struct {
	body         *byte
	length, size int
}

// encode returns a body as chunks, without the end behind them.
func (e *chunkEncoder) encode(body []byte, size int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := chunkKey{&body[0], len(body), size}
	if encoded, ok := e.done[key]; ok {
		return encoded
	}
	var b []byte
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		b = strconv.AppendInt(b, int64(len(part)), 16)
		b = append(b, "\r\n"...)
		b = append(b, part...)
		b = append(b, "\r\n"...)
		body = body[len(part):]
	}
	if e.done == nil {
		e.done = make(map[chunkKey][]byte)
	}
	e.done[key] = b
	return b
}

// sendFrame announces the largest frame of a link, and sends a part of it.
func sendFrame(c net.Conn, n int, _ []byte, _ bool) {
	frame := make([]byte, crowdFrameSent)
	binary.BigEndian.PutUint32(frame, crowdFrameBytes)
	copy(frame[4:], `{"jsonrpc":"2.0","method":"hello","params":{"identity":{"name":"`)
	for i := 68; i < len(frame); i++ {
		frame[i] = 'x'
	}
	switch n % 3 {
	case 0:
		c.Write(frame)
	case 1:
		for i := 0; i < len(frame); i += 64 << 10 {
			c.Write(frame[i : i+64<<10])
			time.Sleep(20 * time.Millisecond)
		}
	default:
		c.Write(frame[:2])
	}
}

// paddedJob returns a valid job of one short task, padded with spaces.
func paddedJob(size int) []byte {
	job := standin.Job(1, standin.Work{DurationMillis: 10, Millicores: 100})
	return append([]byte(job), bytes.Repeat([]byte(" "), size-len(job))...)
}

// crowd is a number of connections with unfinished requests.
type crowd struct {
	t      testing.TB
	starts func(n int) int // starts of tasks of request n; nil: not known
	from   net.IP          // address of the clients; default: that of the test
	mu     sync.Mutex
	conns  []net.Conn
	work   sync.WaitGroup
	seq    atomic.Int64
}

// open opens count connections to address, which send requests of the kinds in turn.
// The work of the crowd ends when all requests were sent or their connections closed.
func (w *crowd) open(address string, count int, kinds []crowdKind, body []byte) {
	for i := range count {
		n, kind := int(w.seq.Add(1)), kinds[i%len(kinds)]
		w.work.Go(func() {
			time.Sleep(rand.N(300 * time.Millisecond))
			dialer := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: w.from}}
			c, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns = append(w.conns, c)
			w.mu.Unlock()
			complete := i/len(kinds)%crowdCompleteEvery == 0
			c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			kind.send(c, n, body, complete)
			if complete {
				w.readAnswer(c, n)
			}
		})
	}
}

// readAnswer checks that nothing of a refused job has run.
func (w *crowd) readAnswer(c net.Conn, n int) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if refused && w.starts != nil && w.starts(n) > 0 {
		w.t.Errorf("request %d was refused but tasks of it were started", n)
	}
}

// close closes all connections of the crowd.
func (w *crowd) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
}

// buildPlainDaemon builds the daemon without the race detector, whose memory is a
// multiple, and returns its path.
func buildPlainDaemon(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "mustardleverd")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/mustardleverd").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// buildCrowdDaemon builds the daemon without the race detector and lets the fleets of the
// test use it.
func buildCrowdDaemon(t *testing.T) {
	path := buildPlainDaemon(t)
	previous := daemonPath
	daemonPath = path
	t.Cleanup(func() { daemonPath = previous })
}

// newCrowdFleet starts an entry and an agent with the limits of the crowd tests.
func newCrowdFleet(t *testing.T) *platformFleet {
	f := newPlatformFleet(t, 1, 1)
	for _, p := range []*process{f.entries[0], f.agents[0]} {
		own := f.settings[p.name]["platform"].(map[string]any)
		own["memory-mb"], own["max-descriptors"] = crowdMemoryMiB, crowdMaxDescriptors
		p.kill()
		f.restart(p)
	}
	require.Eventually(t, func() bool { return f.allAgentsConnected(1) && f.isEntryReady(0) }, readyTimeout, 20*time.Millisecond)
	return f
}

func hasExited(p *process) bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// peakMemoryKiB returns the largest resident memory of a process so far.
func peakMemoryKiB(t *testing.T, p *process) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err, "%s does not run", p.name)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			n, err := strconv.Atoi(fields[1])
			require.NoError(t, err)
			return n
		}
	}
	t.Fatalf("%s has no VmHWM", p.name)
	return 0
}

func openDescriptors(p *process) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// watchDescriptors samples the open descriptors of processes. The function that it
// returns ends it and returns the largest numbers.
func watchDescriptors(processes []*process) func() map[string]int {
	stop, done := make(chan struct{}), make(chan struct{})
	most := make(map[string]int)
	go func() {
		defer close(done)
		for {
			for _, p := range processes {
				most[p.name] = max(most[p.name], openDescriptors(p))
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() map[string]int {
		close(stop)
		<-done
		return most
	}
}

// unreleased returns the accounts of a process that are not zero, and whether its
// metrics show accounts. The connection that reads the metrics counts at the
// operators' address, and an idle connection of its backend server at an agent's.
func unreleased(p *process) (list []string, shown bool) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := c.Get("http://" + p.operatorAddress + "/metrics")
	if err != nil {
		return []string{err.Error()}, true
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return []string{err.Error()}, true
	}
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "mustardlever_limit_used") {
			continue
		}
		shown = true
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		allowed := 0.0
		switch name {
		case `mustardlever_limit_used_connections{listener="operators"}`, `mustardlever_limit_used_connections{listener="reports"}`:
			allowed = 1
		case `mustardlever_limit_used_bytes{account="operators"}`, `mustardlever_limit_used_bytes{account="reports"}`:
			allowed = 128 << 10
		}
		if used, err := strconv.ParseFloat(value, 64); err != nil || used > allowed {
			list = append(list, strings.TrimSpace(line))
		}
	}
	return list, shown
}

// requireCrowdWithstood opens crowds and checks that the processes run on within
// their limits, that an ordinary job is answered afterwards, and that nothing of the
// crowd is still accounted for.
func requireCrowdWithstood(t *testing.T, open func(f *platformFleet, w *crowd)) {
	f := newCrowdFleet(t)
	processes := []*process{f.entries[0], f.agents[0]}
	descriptors := watchDescriptors(processes)
	w := &crowd{t: t, starts: func(n int) int { return f.checker.Starts(jobID(1000 + n)) }}
	open(f, w)
	w.work.Wait()
	time.Sleep(crowdHold)
	most := descriptors()
	w.close()
	requireWithinLimits(t, processes, most)
	status, answer := f.postUntilAnswered(0, jobID(1), standin.Job(2, standin.Work{DurationMillis: 20, Millicores: taskMillicores}))
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"completed"}`, answer)
	requireReleased(t, processes)
}

// requireWithinLimits checks that processes run and have kept within their memory and
// descriptors, of which most has the largest numbers.
func requireWithinLimits(t *testing.T, processes []*process, most map[string]int) {
	for _, p := range processes {
		if hasExited(p) {
			t.Errorf("%s has exited", p.name)
			continue
		}
		peak := peakMemoryKiB(t, p)
		t.Logf("%s: peak %d MiB of %d, %d descriptors of %d", p.name, peak>>10, crowdMemoryMiB, most[p.name], crowdMaxDescriptors)
		if peak > crowdMemoryMiB<<10 {
			t.Errorf("%s used %d MiB, its limit is %d", p.name, peak>>10, crowdMemoryMiB)
		}
		if most[p.name] > crowdMaxDescriptors {
			t.Errorf("%s had %d open descriptors, its limit is %d", p.name, most[p.name], crowdMaxDescriptors)
		}
	}
}

// requireReleased checks that processes account for nothing of a crowd that has left.
func requireReleased(t *testing.T, processes []*process) {
	http.DefaultClient.CloseIdleConnections()
	for _, p := range processes {
		var list []string
		shown := true
		clear := func() bool {
			list, shown = unreleased(p)
			return len(list) == 0
		}
		for deadline := time.Now().Add(15 * time.Second); !clear() && time.Now().Before(deadline); {
			time.Sleep(100 * time.Millisecond)
		}
		if !shown {
			t.Logf("%s: its metrics show no accounts", p.name)
		}
		require.Empty(t, list, p.name)
	}
}

func callersAddress(p *process) string { return strings.TrimPrefix(p.callerURL, "http://") }

func readyAddress(p *process) string {
	return strings.TrimSuffix(strings.TrimPrefix(p.readyURL, "http://"), "/readyz")
}

// Guards against an entry that exceeds its memory or its descriptors, or does not serve
// callers any more, after many connections whose requests stop short of their end.
func TestCrowdOfCallers(t *testing.T) {
	buildCrowdDaemon(t)
	kinds := crowdKinds()
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			requireCrowdWithstood(t, func(f *platformFleet, w *crowd) {
				w.open(callersAddress(f.entries[0]), crowdCallers, []crowdKind{k}, paddedJob(crowdBodyBytes))
			})
		})
	}
	t.Run("mixed", func(t *testing.T) {
		requireCrowdWithstood(t, func(f *platformFleet, w *crowd) {
			w.open(callersAddress(f.entries[0]), crowdCallers, kinds, paddedJob(crowdBodyBytes))
		})
	})
}

// Guards against a process that exceeds its memory or its descriptors because of
// connections to its other addresses, and against an entry that loses its agents then.
func TestCrowdAtOtherAddresses(t *testing.T) {
	buildCrowdDaemon(t)
	kinds := crowdKinds()
	body := paddedJob(crowdBodyBytes)
	for name, open := range map[string]func(f *platformFleet, w *crowd){
		"readiness": func(f *platformFleet, w *crowd) { w.open(readyAddress(f.entries[0]), crowdOthers, kinds, body) },
		"operators": func(f *platformFleet, w *crowd) {
			w.open(f.entries[0].operatorAddress, crowdOthers, kinds, body)
			w.open(f.agents[0].operatorAddress, crowdOthers, kinds, body)
		},
		"links": func(f *platformFleet, w *crowd) {
			w.open(f.settings["entry-1"]["link-address"].(string), crowdOthers, []crowdKind{{"frames", sendFrame}}, nil)
		},
		"reports": func(f *platformFleet, w *crowd) {
			w.open(f.settings["agent-1"]["platform"].(map[string]any)["reports-address"].(string), crowdOthers, reportKinds(), paddedJob(crowdReportBytes))
		},
		"all": func(f *platformFleet, w *crowd) {
			w.open(callersAddress(f.entries[0]), crowdCallers, kinds, body)
			w.open(readyAddress(f.entries[0]), crowdOthers, kinds, body)
			w.open(f.entries[0].operatorAddress, crowdOthers, kinds, body)
			w.open(f.settings["entry-1"]["link-address"].(string), crowdOthers, []crowdKind{{"frames", sendFrame}}, nil)
			w.open(f.agents[0].operatorAddress, crowdOthers, kinds, body)
			w.open(f.settings["agent-1"]["platform"].(map[string]any)["reports-address"].(string), crowdOthers, reportKinds(), paddedJob(crowdReportBytes))
		},
	} {
		t.Run(name, func(t *testing.T) { requireCrowdWithstood(t, open) })
	}
}

// reportKinds returns the kinds of a crowd, with the path of status reports.
func reportKinds() []crowdKind {
	return kindsWithLine("POST " + standin.ReportPath + " HTTP/1.1")
}

// kindsWithLine returns the kinds of a crowd, with the given request line instead of
// that of a job on the platform.
func kindsWithLine(line string) []crowdKind {
	var list []crowdKind
	for _, k := range crowdKinds() {
		list = append(list, crowdKind{k.name, func(c net.Conn, n int, body []byte, complete bool) {
			k.send(lineConn{c, line, new(bool)}, n, body, complete)
		}})
	}
	return list
}

// lineConn replaces the request line in the first write.
type lineConn struct {
	net.Conn
	line     string
	replaced *bool
}

// Write writes b, with the request line replaced in the first call.
func (c lineConn) Write(b []byte) (int, error) {
	if !*c.replaced {
		*c.replaced = true
		line, rest, _ := bytes.Cut(b, []byte("\r\n"))
		if bytes.HasPrefix(line, []byte("POST")) {
			line = []byte(c.line)
		}
		_, err := c.Conn.Write(bytes.Join([][]byte{line, rest}, []byte("\r\n")))
		return len(b), err
	}
	return c.Conn.Write(b)
}
