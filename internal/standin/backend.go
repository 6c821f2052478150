package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/limiter"
)

// Work is the body of a task for a Backend.
type Work struct {
	ID             string `json:"id"`      // counted, and returned in the result
	DurationMillis int    `json:"work-ms"` // duration of the task
	Status         int    `json:"status"`  // HTTP status of the answer; default 200
}

// TaskResult is the result of a task of a Backend.
type TaskResult struct {
	ID             string `json:"id"`
	Server         string `json:"server"`
	DurationMicros int64  `json:"took-us"` // duration of the task on the backend server
}

// Backend is a stand-in for a backend server. It counts the starts of each task
// id. Set the fields, then call Start.
type Backend struct {
	Name           string
	SlowdownFactor int             // factor for the duration of tasks; default 1
	Count          func(id string) // called with the id of each task started; may be nil

	// Serve listens on an address, serves in the background and returns the address that it
	// listens on; default: without limits.
	Serve func(s *http.Server, address string) (net.Addr, error)

	mu      sync.Mutex // guards starts
	starts  map[string]int
	total   atomic.Int64
	serving atomic.Int64
	server  *http.Server
	address string
}

// Start serves on address in the background.
func (b *Backend) Start(address string) error {
	b.starts = make(map[string]int)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	serve := b.Serve
	if serve == nil {
		serve = serveUnlimited
	}
	listening, err := serve(b.server, address)
	if err != nil {
		return err
	}
	b.address = listening.String()
	return nil
}

func serveUnlimited(s *http.Server, address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go s.Serve(l)
	return l.Addr(), nil
}

// Address returns the address that the Backend listens on.
func (b *Backend) Address() string { return b.address }

// Stop closes the Backend.
func (b *Backend) Stop() { b.server.Close() }

// ServeHTTP runs one task. A GET request returns the number of starts of each
// task id.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		json.NewEncoder(w).Encode(b.Starts())
		return
	}
	var work Work
	limits := limiter.FromContext(r.Context())
	body, err := limits.ReadAll(r.Body, r.ContentLength)
	if fault.KindOf[limiter.Kind](err) != "" || err == nil && !limits.Commit(int64(len(body))) {
		limiter.Refuse(w)
		return
	}
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &work)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	start := time.Now()
	b.recordStart(work.ID)
	b.serving.Add(1)
	defer b.serving.Add(-1)
	time.Sleep(time.Duration(work.DurationMillis*max(b.SlowdownFactor, 1)) * time.Millisecond)
	if work.Status != 0 {
		w.WriteHeader(work.Status)
	}
	json.NewEncoder(w).Encode(TaskResult{work.ID, b.Name, time.Since(start).Microseconds()})
}

func (b *Backend) recordStart(id string) {
	b.total.Add(1)
	if b.Count != nil {
		b.Count(id)
	}
	if id == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[id]++
}

// Starts returns the number of starts of each task id.
func (b *Backend) Starts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	starts := make(map[string]int, len(b.starts))
	for id, n := range b.starts {
		starts[id] = n
	}
	return starts
}

// Total returns the number of tasks started, including those without an id.
func (b *Backend) Total() int64 { return b.total.Load() }

// Serving returns the number of running tasks.
func (b *Backend) Serving() int64 { return b.serving.Load() }
