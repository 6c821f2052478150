// Package executor runs tasks on a backend server. Executor sends each task as
// one HTTP POST, at most once. Leased starts tasks under leases and renews them.
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
	MaxResultBytes     = 1 << 20 // maximum size of one task's result; a larger result is an error
	defaultConnections = 64
	defaultTimeout     = 30 * time.Second
	idleTimeout        = 90 * time.Second
	dialTimeout        = 2 * time.Second
)

// EncodingBase64 is the encoding of a result body that is not text: a JSON
// string that holds base64.
const EncodingBase64 = "base64"

// Executor sends tasks to one backend server. Set the fields, then call Init.
type Executor struct {
	Address     string        // host:port
	Connections int           // maximum number of open connections; default 64
	Timeout     time.Duration // upper bound of, and default for, a task's timeout; default 30 s

	client *http.Client
}

// Init applies the defaults and creates the HTTP client.
func (e *Executor) Init() {
	if e.Connections == 0 {
		e.Connections = defaultConnections
	}
	if e.Timeout == 0 {
		e.Timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	e.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
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

// Run sends the request and returns its result. It returns nil if no connection
// to the backend server was established, so that no byte was sent: only then is
// it certain that the task did not start. net/http does not resend a POST
// without a replayable body once a byte was written.
func (e *Executor) Run(ctx context.Context, r protocol.Request) *protocol.Result {
	timeout := e.Timeout
	if r.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(r.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	result := e.send(ctx, r)
	if result != nil {
		result.ServeMicros = time.Since(start).Microseconds()
	}
	return result
}

func (e *Executor) send(ctx context.Context, r protocol.Request) *protocol.Result {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return &protocol.Result{Error: err.Error()}
	}
	httpReq.GetBody = nil // net/http does not resend a body that it cannot read again
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(httpReq)
	if err != nil && dialFailed(err) {
		return nil
	}
	if err != nil {
		return &protocol.Result{Error: errors.Cause(err).Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResultBytes+1))
	switch {
	case err != nil:
		return &protocol.Result{Status: resp.StatusCode, Error: err.Error()}
	case len(body) > MaxResultBytes:
		return &protocol.Result{Status: resp.StatusCode, Error: "result exceeds the limit of 1 MiB"}
	}
	result := &protocol.Result{Status: resp.StatusCode}
	result.Body, result.Encoding = encodeBody(body)
	return result
}

// dialFailed reports whether err occurred before a connection was established.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// encodeBody returns a body as a JSON value and its encoding: the body itself if
// it is valid JSON, a JSON string if it is text, a base64 string otherwise.
func encodeBody(body []byte) (json.RawMessage, string) {
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
	var buf bytes.Buffer
	if err := json.Compact(&buf, body); err != nil {
		return quote(string(body))
	}
	return buf.Bytes()
}

func quote(s string) json.RawMessage {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string always marshals
	}
	return b
}
