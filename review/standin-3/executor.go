package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of a small installation.
const (
	maxHold        = 1000 * time.Millisecond // bounds.maxHoldMs
	stopDuration   = 30 * time.Millisecond   // less than bounds.stopTimeoutMs, 50
	reportInterval = 1500 * time.Millisecond // heartbeatMs
	maxWait        = 2 * time.Second         // of a hold call
	millicores     = 32_000
	serviceName    = "access-desk"
)

// start is one run that an executor has begun on an order.
type start struct {
	at       time.Time
	ended    time.Time // zero while it runs
	how      string
	executor string
	task     string
	run      int64
}

// executor stands in for one executor of the platform. It does not guard its capacity.
type executor struct {
	name    string
	reports string // address of its agent
	rack    string // label of its rack
	record  *record

	mu       sync.Mutex
	born     time.Time
	fence    int64
	lease    time.Time
	running  map[string]*activeRun
	highest  map[string]int64 // run that was started, stopped or has ended, by task
	ends     [][]any
	lastEnd  int64
	starts   []*start
	seq      int
	listener net.Listener
	quit     chan struct{}
}

type activeRun struct {
	run  int64
	ends time.Time // when its work is done
	stop time.Time // when its stop takes effect; zero: none
	log  *start
}

type call struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckedThrough int64  `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

// work is the text of a spec.
type work struct {
	Millis int `json:"ms"`
}

func (x *executor) begin() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	x.listener, x.born, x.quit = l, time.Now(), make(chan struct{})
	x.running, x.highest = make(map[string]*activeRun), make(map[string]int64)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.serve(x.runStart))
	mux.HandleFunc("POST /run-stop", x.serve(x.runStop))
	mux.HandleFunc("POST /hold", x.serve(x.hold))
	go http.Serve(l, mux)
	go x.work()
	go x.report()
	return nil
}

func (x *executor) end() {
	close(x.quit)
	x.listener.Close()
}

// clock returns the executor's steady clock in ms.
func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

// serve returns a handler that checks the intended boot and the generation number.
func (x *executor) serve(f func(call) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c call
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		switch id := r.Header.Get("Expect-Instance"); {
		case id != "" && id != x.name:
		case c.FencingToken < x.fence:
			status, body = http.StatusConflict, map[string]any{"reason": "fence"}
		default:
			x.fence = c.FencingToken
			status, body = f(c)
		}
		body["clockMs"], body["born"] = x.clock(), x.born.UnixMilli()
		x.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body)
	}
}

func (x *executor) extend(deadlineMs int64) {
	until := x.born.Add(time.Duration(deadlineMs-1) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if until.After(x.lease) {
		x.lease = until
	}
}

func (x *executor) runStart(c call) (int, map[string]any) {
	x.extend(c.DeadlineMs)
	var w work
	switch r := x.running[c.Task]; {
	case r != nil && r.run == c.Run:
		return http.StatusOK, map[string]any{}
	case c.Run <= x.highest[c.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case c.DeadlineMs <= x.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case json.Unmarshal([]byte(c.Spec), &w) != nil:
		return http.StatusBadRequest, map[string]any{}
	}
	now := time.Now()
	s := &start{at: now, executor: x.name, task: c.Task, run: c.Run}
	x.starts = append(x.starts, s)
	x.highest[c.Task] = c.Run
	x.running[c.Task] = &activeRun{run: c.Run, ends: now.Add(time.Duration(w.Millis) * time.Millisecond), log: s}
	x.record.printf("%s starts task %s, run %d", x.name, c.Task, c.Run)
	return http.StatusOK, map[string]any{}
}

func (x *executor) runStop(c call) (int, map[string]any) {
	x.highest[c.Task] = max(x.highest[c.Task], c.Run)
	if r := x.running[c.Task]; r != nil && r.run == c.Run && r.stop.IsZero() {
		r.stop = time.Now().Add(stopDuration)
	}
	return http.StatusOK, map[string]any{}
}

func (x *executor) hold(c call) (int, map[string]any) {
	if c.DeadlineMs > 0 {
		x.extend(c.DeadlineMs)
	}
	for len(x.ends) > 0 && x.ends[0][0].(int64) <= c.AckedThrough {
		x.ends = x.ends[1:]
	}
	until := time.Now().Add(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	for len(x.ends) == 0 && time.Now().Before(until) {
		x.mu.Unlock()
		time.Sleep(time.Millisecond)
		x.mu.Lock()
	}
	rows := [][]any{}
	for task, r := range x.running {
		rows = append(rows, []any{task, r.run, "", 100, 0})
	}
	return http.StatusOK, map[string]any{"running": rows, "finished": append([][]any{}, x.ends[:min(len(x.ends), 500)]...)}
}

// work ends runs that are done, stopped or without a lease.
func (x *executor) work() {
	for {
		select {
		case <-x.quit:
			return
		case <-time.After(time.Millisecond):
		}
		x.mu.Lock()
		now := time.Now()
		for task, r := range x.running {
			how := ""
			switch {
			case now.After(x.lease):
				how = "lapsed"
			case !r.stop.IsZero() && now.After(r.stop):
				how = "stopped"
			case now.After(r.ends):
				how = "done"
			default:
				continue
			}
			delete(x.running, task)
			x.lastEnd++
			x.ends = append(x.ends, []any{x.lastEnd, task, r.run, how, ""})
			r.log.ended, r.log.how = now, how
			x.record.printf("%s: task %s, run %d, ends: %s", x.name, task, r.run, how)
		}
		x.mu.Unlock()
	}
}

// report sends status reports.
func (x *executor) report() {
	client := &http.Client{Timeout: time.Second}
	for {
		x.mu.Lock()
		x.seq++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": x.listener.Addr().String(), "zone": "zone-1", "version": "v1", "slots": 8,
			"state": "ready", "coldRemainingMs": 0, "capacity": map[string]int{"cpu": millicores, "memMb": 131072, "gpu": 0},
			"labels": []string{"a", x.rack}, "clockMs": x.clock(), "seq": x.seq, "born": x.born.UnixMilli(),
		})
		x.mu.Unlock()
		wait := reportInterval
		response, err := client.Post("http://"+x.reports+"/instances/"+x.name+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			wait = 200 * time.Millisecond // the agent has not started yet
		} else {
			response.Body.Close()
		}
		select {
		case <-x.quit:
			return
		case <-time.After(wait):
		}
	}
}

// startsOf returns the runs of the tasks of a job.
func startsOf(executors []*executor, job string) []start {
	var list []start
	for _, x := range executors {
		x.mu.Lock()
		for _, s := range x.starts {
			if strings.HasPrefix(s.task, job+".") {
				list = append(list, *s)
			}
		}
		x.mu.Unlock()
	}
	return list
}

func (s start) String() string {
	return fmt.Sprintf("task %s, run %d, on %s", s.task, s.run, s.executor)
}
