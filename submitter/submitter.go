// Package submitter is the client of mustardlever's callers: it takes tickets
// ahead, submits jobs, waits for answers and submits again what an entry did
// not answer, under the same ticket, so that no task starts twice.
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
	KindRefused     Kind = "refused"     // an entry refused; see Failure
	KindUnreachable Kind = "unreachable" // no entry answered in time
	KindInvalid     Kind = "invalid"     // the submission cannot be encoded
)

// Error is the error type of this package. Its cause may be a *Refusal.
type Error = fault.Error[Kind]

// Refusal is an entry's error answer.
type Refusal struct {
	Status  int
	Failure caller.Failure
}

// Error returns the sentence for a person.
func (r *Refusal) Error() string { return r.Failure.Message }

// Defaults of a Client.
const (
	defaultAhead    = 16
	defaultPatience = 30 * time.Second
	firstPause      = 20 * time.Millisecond
	maxPause        = time.Second
	ticketMargin    = 5 * time.Second // before expiry a ticket is not used any more
	maxAnswerBytes  = 512 << 20
)

// Client submits jobs. Set Entries; the other fields' zero values take the
// defaults. A Client is safe for concurrent use.
type Client struct {
	Entries     []string // base URLs of entries or of the balancer before them
	HTTP        *http.Client
	TicketBatch int           // tickets taken at a time; default 16
	Timeout     time.Duration // how long a job is pursued; default 30 s

	mu      sync.Mutex
	tickets map[string][]ticket
}

type ticket struct {
	text    string
	expires time.Time
}

// Submit submits the job and returns its answer, complete or failed. An entry
// that does not answer is left for another, with the same ticket. A failed job
// marked idempotent is submitted once more, under a new ticket. It errors with
// KindRefused when an entry refused, and KindUnreachable after Patience; the
// latter leaves open whether anything ran.
func (c *Client) Submit(ctx context.Context, service, requestID string, s caller.Submission) (*caller.Answer, error) {
	a, err := c.submitOnce(ctx, service, requestID, s)
	if err != nil || a.State != caller.StateFailed || !s.Idempotent {
		return a, err
	}
	again, err := c.submitOnce(ctx, service, requestID, s)
	if err != nil {
		return a, nil
	}
	return again, nil
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

// SubmitTicket submits an encoded caller.Submission under a ticket, again and
// again until it is answered or Patience is over.
func (c *Client) SubmitTicket(ctx context.Context, ticket, requestID string, body []byte) (*caller.Answer, error) {
	a := new(caller.Answer)
	err := c.pursue(ctx, func(ctx context.Context, base string) (bool, error) {
		*a = caller.Answer{}
		status, err := c.do(ctx, http.MethodPut, base+"/v1/jobs/"+url.PathEscape(ticket), requestID, body, a)
		return err == nil && status != http.StatusAccepted, err
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Find asks for the state of a ticket's job.
func (c *Client) Find(ctx context.Context, ticket string) (*caller.Answer, error) {
	return c.ask(ctx, http.MethodGet, ticket)
}

// Cancel stops the starting of a ticket's tasks and returns the answer, or the
// running state when tasks have not ended yet.
func (c *Client) Cancel(ctx context.Context, ticket string) (*caller.Answer, error) {
	return c.ask(ctx, http.MethodDelete, ticket)
}

func (c *Client) ask(ctx context.Context, method, ticket string) (*caller.Answer, error) {
	a := new(caller.Answer)
	err := c.pursue(ctx, func(ctx context.Context, base string) (bool, error) {
		*a = caller.Answer{}
		_, err := c.do(ctx, method, base+"/v1/jobs/"+url.PathEscape(ticket), "", nil, a)
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Ticket returns a ticket of the service, from those taken ahead if any.
func (c *Client) Ticket(ctx context.Context, service string) (string, error) {
	if t, ok := c.stocked(service); ok {
		return t, nil
	}
	if err := c.take(ctx, service); err != nil {
		return "", err
	}
	t, ok := c.stocked(service)
	if !ok {
		return "", &Error{Op: "take tickets", Kind: KindUnreachable, Detail: "no ticket was issued"}
	}
	return t, nil
}

func (c *Client) stocked(service string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.tickets[service]
	for len(list) > 0 {
		t := list[0]
		list = list[1:]
		c.tickets[service] = list
		if time.Now().Before(t.expires) {
			return t.text, true
		}
	}
	return "", false
}

// take fetches tickets ahead.
func (c *Client) take(ctx context.Context, service string) error {
	count := c.TicketBatch
	if count == 0 {
		count = defaultAhead
	}
	body, err := json.Marshal(caller.TicketsRequest{Count: count})
	if err != nil {
		return &Error{Op: "take tickets", Kind: KindInvalid, Err: err}
	}
	var reply caller.Tickets
	asked := time.Now()
	err = c.pursue(ctx, func(ctx context.Context, base string) (bool, error) {
		_, err := c.do(ctx, http.MethodPost, base+"/v1/services/"+url.PathEscape(service)+"/tickets", "", body, &reply)
		return err == nil, err
	})
	if err != nil {
		return err
	}
	expires := asked.Add(time.Duration(reply.ExpiresMillis)*time.Millisecond - ticketMargin)
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

// pursue calls attempt at one entry after another until it is done, a final
// refusal comes, or Patience is over.
func (c *Client) pursue(ctx context.Context, attempt func(context.Context, string) (bool, error)) error {
	patience := c.Timeout
	if patience == 0 {
		patience = defaultPatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	wait := firstPause
	at := rand.IntN(max(len(c.Entries), 1))
	var last error
	for ctx.Err() == nil && len(c.Entries) > 0 {
		done, err := attempt(ctx, c.Entries[at%len(c.Entries)])
		var r *Refusal
		switch {
		case done:
			return nil
		case errors.As(err, &r) && final(r):
			return &Error{Op: "ask entry", Kind: KindRefused, Err: r}
		case err != nil:
			last = err
			at++
		}
		t := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		wait = min(2*wait, maxPause)
	}
	return &Error{Op: "ask entry", Kind: KindUnreachable, Detail: "no entry gave a final answer in time", Err: last}
}

// final tells whether asking again cannot help.
func final(r *Refusal) bool {
	return r.Status != http.StatusServiceUnavailable && r.Status != http.StatusInternalServerError
}

// do makes one HTTP exchange. Answers of failed jobs are answers, not errors.
func (c *Client) do(ctx context.Context, method, address, requestID string, body []byte, into any) (int, error) {
	q, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if requestID != "" {
		q.Header.Set(caller.RequestHeader, requestID)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	p, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	var kind struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(b, &kind); err != nil {
		return 0, errors.Wrapf(err, "status %d", p.StatusCode)
	}
	if kind.Kind == "" {
		return p.StatusCode, json.Unmarshal(b, into)
	}
	r := &Refusal{Status: p.StatusCode}
	if err := json.Unmarshal(b, &r.Failure); err != nil {
		return 0, err
	}
	return p.StatusCode, r
}
