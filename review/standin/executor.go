package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// kind is the kind of an executor's machine.
type kind struct {
	label      string
	millicores int
}

// executor stands in for one executor of the platform. It does not guard its capacity.
// Set the fields up to kind, then call listen and boot.
type executor struct {
	id   string
	kind kind

	record        *record
	address       string // where it takes calls
	reportAddress string // where it sends status reports

	mu     sync.Mutex
	life   *life   // nil while it is down
	starts []start // of all lives
	sick   float64 // share of the calls that are answered with 503 and not executed
	server *http.Server
}

// life is an executor from one start to its crash. It knows nothing of earlier ones.
type life struct {
	bootedAt time.Time
	born     int64
	kind     kind
	seq      int
	token    int64
	leaseEnd int64 // by clock
	active   map[string]*activeRun
	newest   map[string]int // highest run that was started, stopped or ended, by task
	ended    [][]any
	serial   int
	quit     chan struct{}
}

type activeRun struct {
	number     int
	millicores int
	endsAt     time.Time
	stopAt     time.Time // zero unless a stop was requested
	index      int       // in executor.starts
}

// start is one start of a task, as the executor has seen it.
type start struct {
	task    string
	run     int
	label   string
	startAt time.Time
	endAt   time.Time // zero while it runs
	how     string
}

// work is what a task does; its JSON text is the job's spec.
type work struct {
	Millis     int `json:"ms"`
	Millicores int `json:"cpu"`
}

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Acked      int    `json:"ackedThrough"`
	WaitMs     int64  `json:"waitMs"`
}

func (x *executor) listen() error {
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.server = &http.Server{Handler: http.HandlerFunc(x.handle)}
	go x.server.Serve(listener)
	return nil
}

// boot starts a life, whose first status report is sent after reportDelay, and the
// others each heartbeat.
func (x *executor) boot(reportDelay time.Duration) {
	x.mu.Lock()
	now := time.Now()
	n := &life{bootedAt: now, born: now.UnixMilli(), kind: x.kind, active: make(map[string]*activeRun), newest: make(map[string]int), quit: make(chan struct{})}
	x.life = n
	x.mu.Unlock()
	x.record.printf("%s starts: kind %s, %d thousandths of a core, born %d", x.id, n.kind.label, n.kind.millicores, n.born)
	go x.sendReports(n, reportDelay)
	go x.endRuns(n)
}

// setKind changes the kind of the machine for the next life.
func (x *executor) setKind(k kind) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.kind = k
}

// setSick sets the share of the calls that the executor rejects as unhealthy.
func (x *executor) setSick(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sick = share
	x.record.printf("%s rejects %.0f%% of the calls with 503", x.id, 100*share)
}

// crash ends the life with all its runs.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.life
	x.life = nil
	close(n.quit)
	for task, r := range n.active {
		x.recordEnd(task, r, "crashed")
	}
	x.record.printf("%s crashes", x.id)
}

func (x *executor) stop() {
	if x.server != nil {
		x.server.Close()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.life != nil {
		close(x.life.quit)
		x.life = nil
	}
}

func (n *life) clock() int64 { return time.Since(n.bootedAt).Milliseconds() + 1 }

func (x *executor) sendReports(n *life, delay time.Duration) {
	for {
		select {
		case <-n.quit:
			return
		case <-time.After(delay):
		}
		x.report(n)
		delay = heartbeat
	}
}

func (x *executor) report(n *life) {
	x.mu.Lock()
	n.seq++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": x.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": n.kind.millicores, "memMb": 131072, "gpu": 0}, "labels": []string{n.kind.label, "r1-1"},
		"clockMs": n.clock(), "seq": n.seq, "born": n.born,
	})
	seq := n.seq
	x.mu.Unlock()
	if err != nil {
		panic(err) // plain fields always marshal
	}
	client := http.Client{Timeout: time.Second}
	status := 0
	response, err := client.Post("http://"+x.reportAddress+"/instances/"+x.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		response.Body.Close()
		status = response.StatusCode
	}
	if seq == 1 {
		x.record.printf("%s: first status report of this life, answer %d", x.id, status)
	}
}

// endRuns ends runs that are done, stopped or without a lease, until the life ends.
func (x *executor) endRuns(n *life) {
	for {
		select {
		case <-n.quit:
			return
		case <-time.After(time.Millisecond):
		}
		x.mu.Lock()
		now, lapsed := time.Now(), n.clock() > n.leaseEnd
		for task, r := range n.active {
			how := ""
			switch {
			case lapsed:
				how = "lapsed"
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				how = "stopped"
			case now.After(r.endsAt):
				how = "done"
			}
			if how != "" {
				delete(n.active, task)
				n.serial++
				n.ended = append(n.ended, []any{n.serial, task, r.number, how, ""})
				x.recordEnd(task, r, how)
			}
		}
		x.mu.Unlock()
	}
}

// recordEnd records the end of a run. The caller holds mu.
func (x *executor) recordEnd(task string, r *activeRun, how string) {
	x.starts[r.index].endAt, x.starts[r.index].how = time.Now(), how
	x.record.printf("%s: run %d of %s ends: %s", x.id, r.number, task, how)
}

func (x *executor) handle(w http.ResponseWriter, request *http.Request) {
	var c call
	if json.NewDecoder(request.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	n := x.life
	if n == nil {
		x.mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if rand.Float64() < x.sick {
		x.mu.Unlock()
		x.record.printf("%s: %s is answered with 503", x.id, request.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := http.StatusOK, map[string]any{}
	expected := request.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != x.id:
		status = http.StatusMisdirectedRequest
	case c.Token < n.token:
		status, body = http.StatusConflict, map[string]any{"reason": "fence"}
	default:
		n.token = c.Token
		switch request.URL.Path {
		case "/run-start":
			status, body = x.startRun(n, c)
		case "/run-stop":
			x.stopRun(n, c)
		case "/hold":
			body = x.hold(n, c)
		default:
			status = http.StatusNotFound
		}
	}
	body["clockMs"], body["born"] = n.clock(), n.born
	if request.URL.Path != "/hold" {
		delete(body, "born")
	}
	gone := x.life != n
	x.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (n *life) extendLease(deadline int64) {
	n.leaseEnd = max(n.leaseEnd, min(deadline, n.clock()+maxHold.Milliseconds()))
}

// startRun starts a run. The caller holds mu.
func (x *executor) startRun(n *life, c call) (int, map[string]any) {
	n.extendLease(c.DeadlineMs)
	if r := n.active[c.Task]; r != nil && r.number == c.Run {
		return http.StatusOK, map[string]any{}
	}
	var w work
	switch {
	case c.Run <= n.newest[c.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case c.DeadlineMs <= n.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case json.Unmarshal([]byte(c.Spec), &w) != nil:
		return http.StatusBadRequest, map[string]any{}
	}
	now := time.Now()
	n.newest[c.Task] = c.Run
	n.active[c.Task] = &activeRun{number: c.Run, millicores: w.Millicores, endsAt: now.Add(time.Duration(w.Millis) * time.Millisecond), index: len(x.starts)}
	x.starts = append(x.starts, start{task: c.Task, run: c.Run, label: n.kind.label, startAt: now})
	used := 0
	for _, r := range n.active {
		used += r.millicores
	}
	x.record.printf("%s (kind %s): run %d of %s starts; %d of %d thousandths of a core in use", x.id, n.kind.label, c.Run, c.Task, used, n.kind.millicores)
	return http.StatusOK, map[string]any{}
}

// stopRun requests the stop of a run. A run that is not there yet is rejected later.
// The caller holds mu.
func (x *executor) stopRun(n *life, c call) {
	r := n.active[c.Task]
	if r != nil && r.number <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTimeout / 2)
	}
	n.newest[c.Task] = max(n.newest[c.Task], c.Run)
}

// hold extends the lease, waits for an end and lists the runs. The caller holds mu, which
// is released while it waits.
func (x *executor) hold(n *life, c call) map[string]any {
	n.extendLease(c.DeadlineMs)
	for len(n.ended) > 0 && n.ended[0][0].(int) <= c.Acked {
		n.ended = n.ended[1:]
	}
	until := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for x.life == n && len(n.ended) == 0 && time.Now().Before(until) {
		x.mu.Unlock()
		time.Sleep(time.Millisecond)
		x.mu.Lock()
	}
	running, finished := [][]any{}, append([][]any{}, n.ended...)
	for task, r := range n.active {
		running = append(running, []any{task, r.number, "", 100, r.millicores})
	}
	return map[string]any{"running": running, "finished": finished}
}

// startsOf returns the starts of a job's tasks.
func (x *executor) startsOf(job string) []start {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []start
	for _, s := range x.starts {
		if len(s.task) > len(job) && s.task[:len(job)] == job {
			list = append(list, s)
		}
	}
	return list
}
