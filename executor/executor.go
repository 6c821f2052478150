// Package executor runs tasks at a backend server: each is one HTTP POST, sent
// at most once.
package executor

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/protocol"
)

// Limits and defaults.
const (
	MaxResultBytes     = 1 << 20 // of one task; more is cut off as an error
	defaultConnections = 64
	defaultTimeout     = 30 * time.Second
	idleTimeout        = 90 * time.Second
	dialTimeout        = 2 * time.Second
)

// EncodingBase64 marks a result body that is no text: a JSON string of base64.
const EncodingBase64 = "base64"

// Executor sends tasks to one backend server. Set the fields, call Init.
type Executor struct {
	Address     string        // host:port
	Connections int           // open at the same time; default 64
	Timeout     time.Duration // of a task that names none; default 30 s

	client *http.Client
}

// Init prepares the Executor.
func (e *Executor) Init() {
	if e.Connections == 0 {
		e.Connections = defaultConnections
	}
	if e.Timeout == 0 {
		e.Timeout = defaultTimeout
	}
	d := &net.Dialer{Timeout: dialTimeout}
	e.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxConnsPerHost:     e.Connections,
			MaxIdleConnsPerHost: e.Connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (e *Executor) Close() { e.client.CloseIdleConnections() }

// Run sends the request and returns its result. It returns nil when no
// connection to the backend server came about, so that no byte was sent: only
// then did the task not start. POST without a replayable body is never sent
// again by net/http once a byte was written.
func (e *Executor) Run(ctx context.Context, r protocol.Request) *protocol.Result {
	timeout := e.Timeout
	if r.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(r.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begin := time.Now()
	result := e.send(ctx, r)
	if result != nil {
		result.ServeMicros = time.Since(begin).Microseconds()
	}
	return result
}

func (e *Executor) send(ctx context.Context, r protocol.Request) *protocol.Result {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return &protocol.Result{Error: err.Error()}
	}
	q.GetBody = nil // a body that cannot be read again is never sent again
	q.Header.Set("Content-Type", "application/json")
	p, err := e.client.Do(q)
	if err != nil && dialFailed(err) {
		return nil
	}
	if err != nil {
		return &protocol.Result{Error: errors.Cause(err).Error()}
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.Body, MaxResultBytes+1))
	switch {
	case err != nil:
		return &protocol.Result{Status: p.StatusCode, Error: err.Error()}
	case len(body) > MaxResultBytes:
		return &protocol.Result{Status: p.StatusCode, Error: "the result is larger than 1 MiB"}
	}
	result := &protocol.Result{Status: p.StatusCode}
	result.Body, result.Encoding = wire(body)
	return result
}

// dialFailed tells whether err came about before a connection existed.
func dialFailed(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// wire returns a body as a JSON value: itself if it is one, a string if it is
// text, and a string of base64 otherwise.
func wire(body []byte) (json.RawMessage, string) {
	switch {
	case len(body) == 0:
		return nil, ""
	case json.Valid(body):
		return compact(body), ""
	case utf8.Valid(body):
		return quote(string(body)), ""
	}
	return quote(base64.StdEncoding.EncodeToString(body)), EncodingBase64
}

func compact(body []byte) json.RawMessage {
	var b bytes.Buffer
	if err := json.Compact(&b, body); err != nil {
		return quote(string(body))
	}
	return b.Bytes()
}

func quote(s string) json.RawMessage {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string always marshals
	}
	return b
}
