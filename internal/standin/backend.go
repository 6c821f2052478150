package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Work is what the body of a task may ask of a Backend.
type Work struct {
	ID     string `json:"id"`      // counted, and echoed in the result
	Millis int    `json:"work-ms"` // how long the task takes
	Status int    `json:"status"`  // to answer; default 200
}

// Done is a Backend's result.
type Done struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	Micros int64  `json:"took-us"` // the time the task took here
}

// Backend is a backend server. It counts the starts of each task id.
type Backend struct {
	Name  string
	Slow  int             // multiplies the time of tasks; default 1
	Count func(id string) // additional counting, if set

	mu      sync.Mutex
	starts  map[string]int
	total   atomic.Int64
	serving atomic.Int64
	server  *http.Server
	address string
}

// Start listens on address.
func (b *Backend) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	b.starts = make(map[string]int)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go b.server.Serve(l)
	return nil
}

// Address returns where the Backend listens.
func (b *Backend) Address() string { return b.address }

// Stop closes the Backend.
func (b *Backend) Stop() { b.server.Close() }

// ServeHTTP runs one task. A GET answers the starts of each task id.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		json.NewEncoder(w).Encode(b.Starts())
		return
	}
	var work Work
	body, err := io.ReadAll(r.Body)
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &work)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	begin := time.Now()
	b.note(work.ID)
	b.serving.Add(1)
	defer b.serving.Add(-1)
	time.Sleep(time.Duration(work.Millis*max(b.Slow, 1)) * time.Millisecond)
	if work.Status != 0 {
		w.WriteHeader(work.Status)
	}
	json.NewEncoder(w).Encode(Done{work.ID, b.Name, time.Since(begin).Microseconds()})
}

func (b *Backend) note(id string) {
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

// Starts returns how often each task id was started.
func (b *Backend) Starts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	starts := make(map[string]int, len(b.starts))
	for id, n := range b.starts {
		starts[id] = n
	}
	return starts
}

// Total returns the number of starts.
func (b *Backend) Total() int64 { return b.total.Load() }

// Serving returns the number of tasks that run.
func (b *Backend) Serving() int64 { return b.serving.Load() }
