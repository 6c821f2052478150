package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold        = 1000 * time.Millisecond // maxHoldMs of the site
	stopTime       = 20 * time.Millisecond   // within stopTimeoutMs (50 ms)
	heartbeat      = 1500 * time.Millisecond // heartbeatMs of the site
	maxWait        = 2 * time.Second         // longest waitMs
	maxListedEnds  = 500
	pollInterval   = time.Millisecond
	reportTimeout  = time.Second // a status report counts as lost after that
	executorMemory = 131072      // memMb
)

// work is what the spec of a task says to this executor.
type work struct {
	Millis int `json:"ms"`
	CPU    int `json:"cpu"`
}

// executor stands in for an executor on a side machine. It behaves as PROTOCOL.md says
// and takes no liberties.
type executor struct {
	name    string
	service string
	control string // where the status reports go
	record  *record

	mu       sync.Mutex
	address  string
	id       string
	labels   []string
	cpu      int
	life     *life
	lives    int
	stopped  bool
	server   *http.Server
	reportNo chan struct{}
	client   http.Client
}

// life is one boot of an executor.
type life struct {
	id     string
	born   int64
	begin  time.Time
	seq    int
	labels []string
	fence  int64
	until  int64 // end of the lease, by clock
	active map[string]*activeRun
	newest map[string]int
	ends   [][]any
	lastN  int
}

type activeRun struct {
	run    int
	cpu    int
	endAt  time.Time
	stopAt time.Time
}

// clock returns the executor's clock.
func (l *life) clock() int64 { return time.Since(l.begin).Milliseconds() + 1 }

// start listens and boots the executor.
func (x *executor) start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	x.address, x.reportNo = listener.Addr().String(), make(chan struct{}, 1)
	x.client.Timeout = reportTimeout
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.call((*executor).runStart))
	mux.HandleFunc("POST /run-stop", x.call((*executor).runStop))
	mux.HandleFunc("POST /hold", x.call((*executor).hold))
	x.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	x.boot(x.labels)
	go x.server.Serve(listener)
	go x.report()
	go x.poll()
	return nil
}

// boot begins a life with the given labels.
func (x *executor) boot(labels []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lives++
	x.id = fmt.Sprintf("i-%s-%d", x.name, x.lives)
	x.life = &life{
		id: x.id, born: time.Now().UnixMilli(), begin: time.Now(), labels: labels, active: make(map[string]*activeRun), newest: make(map[string]int),
	}
	x.record.line("executor %s boots as %s, labels %v", x.name, x.id, labels)
	select {
	case x.reportNo <- struct{}{}:
	default:
	}
}

// crash ends the present life and all that runs in it.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, r := range x.life.active {
		x.record.finish(x.name, task, r.run, "crash")
	}
	x.record.line("executor %s crashes", x.name)
	x.life = nil
}

func (x *executor) stop() {
	x.mu.Lock()
	x.stopped = true
	x.mu.Unlock()
	x.server.Close()
}

// report sends a status report at each boot and every heartbeat.
func (x *executor) report() {
	for {
		x.mu.Lock()
		l, stopped := x.life, x.stopped
		var body []byte
		if l != nil {
			l.seq++
			body = encode(map[string]any{
				"service": x.service, "address": x.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
				"capacity": map[string]int{"cpu": x.cpu, "memMb": executorMemory, "gpu": 0}, "labels": l.labels, "clockMs": l.clock(), "seq": l.seq, "born": l.born,
			})
		}
		x.mu.Unlock()
		if stopped {
			return
		}
		if l != nil {
			if response, err := x.client.Post("http://"+x.control+"/instances/"+l.id+"/heartbeat", "application/json", bytes.NewReader(body)); err == nil {
				response.Body.Close()
			}
		}
		select {
		case <-x.reportNo:
		case <-time.After(heartbeat):
		}
	}
}

// poll ends the runs that are over.
func (x *executor) poll() {
	for {
		time.Sleep(pollInterval)
		x.mu.Lock()
		if x.stopped {
			x.mu.Unlock()
			return
		}
		if l, now := x.life, time.Now(); l != nil {
			for task, r := range l.active {
				switch {
				case l.clock() > l.until:
					x.end(l, task, r, "lapsed")
				case !r.stopAt.IsZero() && !now.Before(r.stopAt):
					x.end(l, task, r, "stopped")
				case !now.Before(r.endAt):
					x.end(l, task, r, "done")
				}
			}
		}
		x.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (x *executor) end(l *life, task string, r *activeRun, how string) {
	delete(l.active, task)
	l.lastN++
	l.ends = append(l.ends, []any{l.lastN, task, r.run, how, ""})
	x.record.finish(x.name, task, r.run, how)
}

// order is the body of any call.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Acked      int    `json:"ackedThrough"`
	WaitMs     int64  `json:"waitMs"`
}

// call decodes an order, checks the boot and the generation number, and answers. The
// handlers are called with mu held.
func (x *executor) call(handle func(*executor, *life, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		l := x.life
		if l == nil {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		var status int
		var body map[string]any
		expected := r.Header.Get("Expect-Instance")
		switch {
		case expected != "" && expected != l.id:
			status, body = http.StatusMisdirectedRequest, map[string]any{}
		case o.Fence < l.fence:
			status, body = http.StatusConflict, map[string]any{"reason": "fence"}
		default:
			l.fence = o.Fence
			status, body = handle(x, l, o)
		}
		alive := x.life == l
		body["clockMs"], body["born"] = l.clock(), l.born
		answer := encode(body)
		x.mu.Unlock()
		if !alive {
			panic(http.ErrAbortHandler) // the answer of a crashed boot is lost
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(answer)
	}
}

func (l *life) extend(deadline int64) {
	l.until = max(l.until, min(deadline, l.clock()+maxHold.Milliseconds()))
}

func (x *executor) runStart(l *life, o order) (int, map[string]any) {
	l.extend(o.DeadlineMs)
	var w work
	switch r := l.active[o.Task]; {
	case r != nil && r.run == o.Run:
		return http.StatusOK, map[string]any{}
	case r != nil || o.Run <= l.newest[o.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.DeadlineMs <= l.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case json.Unmarshal([]byte(o.Spec), &w) != nil:
		return http.StatusBadRequest, map[string]any{}
	}
	l.newest[o.Task] = o.Run
	l.active[o.Task] = &activeRun{run: o.Run, cpu: w.CPU, endAt: time.Now().Add(time.Duration(w.Millis) * time.Millisecond)}
	x.record.started(x.name, l.labels, o.Task, o.Run)
	return http.StatusOK, map[string]any{}
}

func (x *executor) runStop(l *life, o order) (int, map[string]any) {
	l.newest[o.Task] = max(l.newest[o.Task], o.Run)
	if r := l.active[o.Task]; r != nil && r.run == o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (x *executor) hold(l *life, o order) (int, map[string]any) {
	l.extend(o.DeadlineMs)
	for len(l.ends) > 0 && l.ends[0][0].(int) <= o.Acked {
		l.ends = l.ends[1:]
	}
	until := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	for x.life == l && len(l.ends) == 0 && time.Now().Before(until) {
		x.mu.Unlock()
		time.Sleep(pollInterval)
		x.mu.Lock()
	}
	running := [][]any{}
	for task, r := range l.active {
		running = append(running, []any{task, r.run, "", 50, r.cpu})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": l.ends[:min(len(l.ends), maxListedEnds)]}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain fields always marshal
	}
	return b
}
