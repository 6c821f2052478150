// Package apiserver serves callers over HTTP: tickets, submissions, answers and
// cancellations.
//
//	POST   /v1/services/{service}/tickets   take tickets ahead
//	PUT    /v1/jobs/{ticket}                submit a job and wait for its answer
//	GET    /v1/jobs/{ticket}                ask again
//	DELETE /v1/jobs/{ticket}                cancel
//	POST   /v1/services/{service}/jobs      take a ticket and submit at once
//
// The query parameter wait, a duration such as 30s, bounds the wait for the
// answer. Every error is a caller.Failure.
package apiserver

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/server"
)

// Limits on callers' connections.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	defaultWait    = 30 * time.Second
	maxRequestID   = 128
)

// New returns the HTTP server of an entry's callers.
func New(e *server.Entry) *http.Server {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.Recovery())
	h := &handlers{entry: e}
	g.POST("/v1/services/:service/tickets", h.tickets)
	g.POST("/v1/services/:service/jobs", h.submitNew)
	g.PUT("/v1/jobs/:ticket", h.operate(server.OperationSubmit))
	g.GET("/v1/jobs/:ticket", h.operate(server.OperationFind))
	g.DELETE("/v1/jobs/:ticket", h.operate(server.OperationCancel))
	g.NoRoute(func(c *gin.Context) { fail(c, http.StatusNotFound, "no-such-path", "there is no such path") })
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

type handlers struct{ entry *server.Entry }

// requestID returns the caller's own request id.
func requestID(c *gin.Context) string {
	id := c.GetHeader(caller.RequestHeader)
	return id[:min(len(id), maxRequestID)]
}

func fail(c *gin.Context, status int, kind, message string) {
	id := requestID(c)
	c.Header(caller.RequestHeader, id)
	c.JSON(status, caller.Failure{Kind: kind, Message: message, RequestID: id})
}

// body reads the request's body, up to caller.MaxBodyBytes.
func body(c *gin.Context) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, caller.MaxBodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		fail(c, http.StatusRequestEntityTooLarge, string(server.KindTooLarge), "a body is at most 4 MiB")
		return nil, false
	case err != nil:
		fail(c, http.StatusBadRequest, string(server.KindBadRequest), "the body could not be read: "+err.Error())
		return nil, false
	}
	return b, true
}

func wait(c *gin.Context) (time.Duration, bool) {
	text := c.Query("wait")
	if text == "" {
		return defaultWait, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		fail(c, http.StatusBadRequest, string(server.KindBadRequest), "wait is a duration such as 500ms or 30s")
		return 0, false
	}
	return d, true
}

func (h *handlers) tickets(c *gin.Context) {
	b, ok := body(c)
	if !ok {
		return
	}
	q := caller.TicketsRequest{Count: 1}
	if len(b) > 0 {
		if err := json.Unmarshal(b, &q); err != nil {
			fail(c, http.StatusBadRequest, string(server.KindBadRequest), err.Error())
			return
		}
	}
	if q.Count < 1 || q.Count > caller.MaxTickets {
		fail(c, http.StatusBadRequest, string(server.KindBadRequest), "count is 1 to 1000")
		return
	}
	tickets, life, err := h.entry.IssueTickets(c.Param("service"), q.Count)
	if err != nil {
		refuse(c, err)
		return
	}
	c.Header(caller.RequestHeader, requestID(c))
	c.JSON(http.StatusOK, caller.Tickets{Tickets: tickets, ExpiresMillis: life.Milliseconds()})
}

// refuse answers that no ticket was issued: nothing ran or will run.
func refuse(c *gin.Context, err error) {
	if fault.KindOf[server.Kind](err) == server.KindUnknownService {
		fail(c, http.StatusNotFound, string(server.KindUnknownService), "there is no service "+c.Param("service"))
		return
	}
	var x *coordinator.Error
	if errors.As(err, &x) {
		c.Header("Retry-After", "1")
		fail(c, http.StatusServiceUnavailable, string(x.Kind), x.Detail)
		return
	}
	fail(c, http.StatusInternalServerError, "internal", err.Error())
}

func (h *handlers) operate(o server.Operation) gin.HandlerFunc {
	return func(c *gin.Context) {
		d, ok := wait(c)
		if !ok {
			return
		}
		q := server.Request{Operation: o, Ticket: c.Param("ticket"), Wait: d}
		if o == server.OperationSubmit {
			if q.Body, ok = body(c); !ok {
				return
			}
		}
		h.answer(c, q)
	}
}

// submitNew takes a ticket for the caller. The submission is checked first, so
// that a bad one uses no ticket.
func (h *handlers) submitNew(c *gin.Context) {
	d, ok := wait(c)
	if !ok {
		return
	}
	b, ok := body(c)
	if !ok {
		return
	}
	if _, err := server.ParseSubmission(b); err != nil {
		var x *server.Error
		errors.As(err, &x)
		fail(c, http.StatusBadRequest, string(x.Kind), x.Detail)
		return
	}
	tickets, _, err := h.entry.IssueTickets(c.Param("service"), 1)
	if err != nil {
		refuse(c, err)
		return
	}
	c.Header("Location", "/v1/jobs/"+tickets[0])
	h.answer(c, server.Request{Operation: server.OperationSubmit, Ticket: tickets[0], Body: b, Wait: d})
}

// answer writes the response with the caller's request id in it.
func (h *handlers) answer(c *gin.Context, q server.Request) {
	p := h.entry.Operate(c.Request.Context(), q)
	id := requestID(c)
	b := p.Body
	if id != "" {
		c.Header(caller.RequestHeader, id)
		b = withRequestID(b, id)
	}
	c.Data(p.Status, "application/json", b)
}

// withRequestID puts the request id first into a JSON object.
func withRequestID(object []byte, id string) []byte {
	quoted, err := json.Marshal(id)
	if err != nil || len(object) < 2 || object[0] != '{' {
		return object
	}
	b := append([]byte(`{"request-id":`), quoted...)
	if object[1] != '}' {
		b = append(b, ',')
	}
	return append(b, object[1:]...)
}
