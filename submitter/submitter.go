// Package submitter is the client library for callers of mustardlever. It fetches
// tickets in advance, submits jobs and waits for their answers. If an entry does not
// answer, it submits the job again under the same ticket, so that no task starts
// twice.
package submitter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindRefused     Kind = "refused"     // an entry refused the request; see Refusal
	KindUnreachable Kind = "unreachable" // no entry gave a final answer in time
	KindInvalid     Kind = "invalid"     // the submission cannot be encoded
)

// Error is the error type of this package. Its cause may be a *Refusal.
type Error = fault.Error[Kind]

// Refusal is an entry's error answer.
type Refusal struct {
	Status  int
	Failure caller.Failure
}

// Error returns the entry's error message.
func (r *Refusal) Error() string { return r.Failure.Message }

// Defaults of a Client.
const (
	defaultTicketBatch = 16
	defaultTimeout     = 30 * time.Second
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = time.Second
	ticketMargin       = 5 * time.Second // a ticket that expires within this time is not used
	maxAnswerBytes     = 512 << 20
)

// Client submits jobs. Entries is required; other fields that are zero take the
// defaults. A Client is safe for concurrent use.
type Client struct {
	Entries     []string // base URLs of entries, or of a load balancer in front of them
	HTTP        *http.Client
	TicketBatch int           // tickets per request; default 16
	Timeout     time.Duration // total time for a request with its retries; default 30 s

	mu      sync.Mutex
	tickets map[string][]ticket // unused tickets by service
}

type ticket struct {
	value   string
	expires time.Time
}

// Submit submits the job and returns its answer, complete or failed. If an entry
// does not answer, it tries another one with the same ticket. A failed job that is
// marked idempotent is submitted once more under a new ticket; if that returns an
// error, Submit returns the first answer. Submit returns an error of KindRefused if
// an entry refuses the job, and of KindUnreachable after Timeout. In the latter case
// tasks may have run.
func (c *Client) Submit(ctx context.Context, service, requestID string, s caller.Submission) (*caller.Answer, error) {
	a, err := c.submitOnce(ctx, service, requestID, s)
	if err != nil || a.State != caller.StateFailed || !s.Idempotent {
		return a, err
	}
	retried, err := c.submitOnce(ctx, service, requestID, s)
	if err != nil {
		return a, nil
	}
	return retried, nil
}

func (c *Client) submitOnce(ctx context.Context, service, requestID string, s caller.Submission) (*caller.Answer, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "submit", Kind: KindInvalid, Err: err}
	}
	t, err := c.Ticket(ctx, service)
	if err != nil {
		return nil, err
	}
	return c.SubmitTicket(ctx, t, requestID, body)
}

// SubmitTicket submits an encoded caller.Submission under a ticket. It retries until
// it gets an answer, an entry refuses the job permanently, or Timeout has passed.
func (c *Client) SubmitTicket(ctx context.Context, ticket, requestID string, body []byte) (*caller.Answer, error) {
	a := new(caller.Answer)
	err := c.retry(ctx, func(ctx context.Context, base string) (bool, error) {
		*a = caller.Answer{}
		status, err := c.do(ctx, http.MethodPut, base+"/v1/jobs/"+url.PathEscape(ticket), requestID, body, a)
		return err == nil && status != http.StatusAccepted, err
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Find returns the state of the ticket's job.
func (c *Client) Find(ctx context.Context, ticket string) (*caller.Answer, error) {
	return c.requestJob(ctx, http.MethodGet, ticket)
}

// Cancel cancels the ticket's job: no further tasks are started. It returns the
// answer, or the state running if tasks have not ended yet.
func (c *Client) Cancel(ctx context.Context, ticket string) (*caller.Answer, error) {
	return c.requestJob(ctx, http.MethodDelete, ticket)
}

func (c *Client) requestJob(ctx context.Context, method, ticket string) (*caller.Answer, error) {
	a := new(caller.Answer)
	err := c.retry(ctx, func(ctx context.Context, base string) (bool, error) {
		*a = caller.Answer{}
		_, err := c.do(ctx, method, base+"/v1/jobs/"+url.PathEscape(ticket), "", nil, a)
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Ticket returns an unused ticket of the service. It fetches new tickets if there is
// none.
func (c *Client) Ticket(ctx context.Context, service string) (string, error) {
	if t, ok := c.popTicket(service); ok {
		return t, nil
	}
	if err := c.fetchTickets(ctx, service); err != nil {
		return "", err
	}
	t, ok := c.popTicket(service)
	if !ok {
		return "", &Error{Op: "fetch tickets", Kind: KindUnreachable, Detail: "the entry issued no usable ticket"}
	}
	return t, nil
}

func (c *Client) popTicket(service string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.tickets[service]
	for len(list) > 0 {
		t := list[0]
		list = list[1:]
		c.tickets[service] = list
		if time.Now().Before(t.expires) {
			return t.value, true
		}
	}
	return "", false
}

// fetchTickets requests a batch of tickets and stores them.
func (c *Client) fetchTickets(ctx context.Context, service string) error {
	count := c.TicketBatch
	if count == 0 {
		count = defaultTicketBatch
	}
	body, err := json.Marshal(caller.TicketsRequest{Count: count})
	if err != nil {
		return &Error{Op: "fetch tickets", Kind: KindInvalid, Err: err}
	}
	var reply caller.Tickets
	requestedAt := time.Now()
	err = c.retry(ctx, func(ctx context.Context, base string) (bool, error) {
		_, err := c.do(ctx, http.MethodPost, base+"/v1/services/"+url.PathEscape(service)+"/tickets", "", body, &reply)
		return err == nil, err
	})
	if err != nil {
		return err
	}
	expires := requestedAt.Add(time.Duration(reply.ExpiresMillis)*time.Millisecond - ticketMargin)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tickets == nil {
		c.tickets = make(map[string][]ticket)
	}
	for _, t := range reply.Tickets {
		c.tickets[service] = append(c.tickets[service], ticket{t, expires})
	}
	return nil
}

// retry calls attempt until it is done, an entry refuses permanently, or Timeout has
// passed. After an error it goes on with the next entry. It waits between attempts,
// with exponential backoff and jitter.
func (c *Client) retry(ctx context.Context, attempt func(context.Context, string) (bool, error)) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	backoff := initialBackoff
	next := rand.IntN(max(len(c.Entries), 1))
	var lastErr error
	for ctx.Err() == nil && len(c.Entries) > 0 {
		done, err := attempt(ctx, c.Entries[next%len(c.Entries)])
		var r *Refusal
		switch {
		case done:
			return nil
		case errors.As(err, &r) && isPermanent(r):
			return &Error{Op: "call entry", Kind: KindRefused, Err: r}
		case err != nil:
			lastErr = err
			next++
		}
		t := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		backoff = min(2*backoff, maxBackoff)
	}
	return &Error{Op: "call entry", Kind: KindUnreachable, Detail: "no entry gave a final answer in time", Err: lastErr}
}

// isPermanent reports whether a retry cannot succeed.
func isPermanent(r *Refusal) bool {
	return r.Status != http.StatusServiceUnavailable && r.Status != http.StatusInternalServerError
}

// do sends one HTTP request and decodes its response into result. An error response
// is returned as a *Refusal. The answer of a failed job is a result, not an error.
func (c *Client) do(ctx context.Context, method, target, requestID string, body []byte, result any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if requestID != "" {
		req.Header.Set(caller.RequestIDHeader, requestID)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	var envelope struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return 0, errors.Wrapf(err, "status %d", resp.StatusCode)
	}
	if envelope.Kind == "" {
		return resp.StatusCode, json.Unmarshal(data, result)
	}
	r := &Refusal{Status: resp.StatusCode}
	if err := json.Unmarshal(data, &r.Failure); err != nil {
		return 0, err
	}
	return resp.StatusCode, r
}
