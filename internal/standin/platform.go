package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Faults are what can be wrong with the platform. The zero value is healthy.
type Faults struct {
	Down       bool `json:"down"`       // every request is refused with 503
	SlowMillis int  `json:"slow-ms"`    // every request waits
	LoseReply  bool `json:"lose-reply"` // writes take effect, their replies are lost
}

// Row is a versioned row of the table. Version 0 means that there is none.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version int64           `json:"version"`
}

// Transaction writes rows if each row of Expect has the version stated. A
// written row without a value is deleted.
type Transaction struct {
	Expect []Row `json:"expect,omitempty"`
	Write  []Row `json:"write"`
}

// Platform stands in for the platform's table service and object store:
//
//	POST /v1/transactions   a Transaction; 409 when a version differs
//	GET  /v1/rows?prefix=P  the rows whose keys begin with P
//	PUT  /v1/objects/NAME   store an object
//	GET  /v1/objects/NAME   read it
//	GET  /v1/objects?prefix=P
//	PUT  /v1/faults         switch Faults
type Platform struct {
	mu      sync.Mutex
	rows    map[string]Row
	objects map[string][]byte
	faults  Faults
	calls   int64
	server  *http.Server
	address string
}

const maxObjectBytes = 16 << 20

// Start listens on address.
func (p *Platform) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.address = l.Addr().String()
	p.rows = make(map[string]Row)
	p.objects = make(map[string][]byte)
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/transactions", p.faulty(p.transact))
	m.HandleFunc("GET /v1/rows", p.faulty(p.list))
	m.HandleFunc("PUT /v1/objects/{name...}", p.faulty(p.put))
	m.HandleFunc("GET /v1/objects/{name...}", p.faulty(p.get))
	m.HandleFunc("GET /v1/objects", p.faulty(p.names))
	m.HandleFunc("PUT /v1/faults", p.setFaults)
	p.server = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second}
	go p.server.Serve(l)
	return nil
}

// Address returns where the platform listens.
func (p *Platform) Address() string { return p.address }

// Stop closes the platform.
func (p *Platform) Stop() { p.server.Close() }

// Calls returns the number of requests served, faults aside.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetFaults switches the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// faulty serves h with the faults in force.
func (p *Platform) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.calls++
		p.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case f.LoseReply && r.Method != http.MethodGet:
			h(lost{w}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

// lost swallows a reply.
type lost struct{ http.ResponseWriter }

func (lost) Write(b []byte) (int, error) { return len(b), nil }
func (lost) WriteHeader(int)             {}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var t Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxObjectBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range t.Expect {
		if p.rows[x.Key].Version != x.Version {
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(p.rows[x.Key])
			return
		}
	}
	for _, x := range t.Write {
		x.Version = p.rows[x.Key].Version + 1
		p.rows[x.Key] = x
		if len(x.Value) == 0 {
			delete(p.rows, x.Key)
		}
	}
	w.Write([]byte("{}"))
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []Row{}
	for _, k := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) {
			rows = append(rows, p.rows[k])
		}
	}
	json.NewEncoder(w).Encode(rows)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = b
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.objects[r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Write(b)
}

func (p *Platform) names(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for _, k := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) {
			names = append(names, k)
		}
	}
	json.NewEncoder(w).Encode(names)
}
