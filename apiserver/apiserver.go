// Package apiserver serves the HTTP API for callers: issuing tickets, and
// submitting, querying and cancelling jobs.
//
//	POST   /v1/services/{service}/tickets   issue tickets for later submissions
//	PUT    /v1/jobs/{ticket}                submit a job and wait for its answer
//	GET    /v1/jobs/{ticket}                query a submitted job and wait for its answer
//	DELETE /v1/jobs/{ticket}                cancel a job
//	POST   /v1/services/{service}/jobs      issue a ticket and submit a job with it
//
// The query parameter wait of the last four, a duration such as 30s, limits the
// wait for the answer. The body of every error response is a caller.Failure.
package apiserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/caller"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/server"
)

// Limits of connections and requests of callers.
const (
	headerTimeout     = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	writeTimeout      = 30 * time.Second // for the caller to receive its answer
	defaultWait       = 30 * time.Second
	retryAfter        = "1" // seconds
	maxRequestIDBytes = 128
)

// New returns the HTTP server for the callers of an entry.
func New(entry *server.Entry) *http.Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	h := &handlers{entry: entry}
	engine.POST("/v1/services/:service/tickets", h.issueTickets)
	engine.POST("/v1/services/:service/jobs", h.submitWithNewTicket)
	engine.PUT("/v1/jobs/:ticket", h.handleOperation(server.OperationSubmit))
	engine.GET("/v1/jobs/:ticket", h.handleOperation(server.OperationFind))
	engine.DELETE("/v1/jobs/:ticket", h.handleOperation(server.OperationCancel))
	engine.NoRoute(func(c *gin.Context) { writeFailure(c, http.StatusNotFound, "no-such-path", "there is no such path") })
	return &http.Server{
		Handler:           engine,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

type handlers struct{ entry *server.Entry }

// requestID returns the request id that the caller chose, truncated to
// maxRequestIDBytes.
func requestID(c *gin.Context) string {
	id := c.GetHeader(caller.RequestIDHeader)
	return id[:min(len(id), maxRequestIDBytes)]
}

// writeFailure responds with a caller.Failure.
func writeFailure(c *gin.Context, status int, kind, message string) {
	id := requestID(c)
	c.Header(caller.RequestIDHeader, id)
	c.JSON(status, caller.Failure{Kind: kind, Message: message, RequestID: id})
}

// readBody returns the request's body, at most caller.MaxBodyBytes. If it cannot
// be read, readBody responds with the failure and reports false.
func readBody(c *gin.Context) ([]byte, bool) {
	limits := limiter.FromContext(c.Request.Context())
	body, err := limits.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, caller.MaxBodyBytes), c.Request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case fault.KindOf[limiter.Kind](err) != "" || err == nil && !limits.Commit(int64(len(body))):
		c.Header("Retry-After", retryAfter)
		c.Header("Connection", "close")
		writeFailure(c, http.StatusServiceUnavailable, string(coordinator.KindOverload), "the request was not read: there is no memory for it now, or it made no progress; nothing of it has run")
		return nil, false
	case errors.As(err, &tooLarge):
		writeFailure(c, http.StatusRequestEntityTooLarge, string(server.KindTooLarge), "the request body exceeds the limit of 4 MiB")
		return nil, false
	case err != nil:
		writeFailure(c, http.StatusBadRequest, string(server.KindBadRequest), "reading the request body failed: "+err.Error())
		return nil, false
	}
	return body, true
}

// parseWait returns the query parameter wait, or defaultWait without one. If it is
// invalid, parseWait responds with the failure and reports false.
func parseWait(c *gin.Context) (time.Duration, bool) {
	text := c.Query("wait")
	if text == "" {
		return defaultWait, true
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		writeFailure(c, http.StatusBadRequest, string(server.KindBadRequest), "the query parameter wait must be a duration that is not negative, such as 500ms or 30s")
		return 0, false
	}
	return duration, true
}

func (h *handlers) issueTickets(c *gin.Context) {
	body, ok := readBody(c)
	if !ok {
		return
	}
	request := caller.TicketsRequest{Count: 1}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &request); err != nil {
			writeFailure(c, http.StatusBadRequest, string(server.KindBadRequest), err.Error())
			return
		}
	}
	if request.Count < 1 || request.Count > caller.MaxTickets {
		writeFailure(c, http.StatusBadRequest, string(server.KindBadRequest), "count must be from 1 to 1000")
		return
	}
	tickets, lifetime, err := h.entry.IssueTickets(c.Param("service"), request.Count)
	if err != nil {
		writeIssueError(c, err)
		return
	}
	c.Header(caller.RequestIDHeader, requestID(c))
	c.JSON(http.StatusOK, caller.Tickets{Tickets: tickets, ExpiresMillis: lifetime.Milliseconds()})
}

// writeIssueError responds that no ticket was issued. No task of the request has
// run or will run.
func writeIssueError(c *gin.Context, err error) {
	if fault.KindOf[server.Kind](err) == server.KindUnknownService {
		writeFailure(c, http.StatusNotFound, string(server.KindUnknownService), "there is no service "+c.Param("service"))
		return
	}
	var coordinatorErr *coordinator.Error
	if errors.As(err, &coordinatorErr) {
		c.Header("Retry-After", retryAfter)
		writeFailure(c, http.StatusServiceUnavailable, string(coordinatorErr.Kind), coordinatorErr.Detail)
		return
	}
	writeFailure(c, http.StatusInternalServerError, "internal", err.Error())
}

// handleOperation returns a handler for one operation on the ticket in the path.
func (h *handlers) handleOperation(operation server.Operation) gin.HandlerFunc {
	return func(c *gin.Context) {
		waitTime, ok := parseWait(c)
		if !ok {
			return
		}
		request := server.Request{Operation: operation, Ticket: c.Param("ticket"), Wait: waitTime}
		if operation == server.OperationSubmit {
			if request.Body, ok = readBody(c); !ok {
				return
			}
		}
		h.respond(c, request)
	}
}

// submitWithNewTicket issues a ticket and submits the job with it. The submission
// is checked first, so that an invalid one does not use up a ticket.
func (h *handlers) submitWithNewTicket(c *gin.Context) {
	waitTime, ok := parseWait(c)
	if !ok {
		return
	}
	body, ok := readBody(c)
	if !ok {
		return
	}
	if _, err := server.ParseSubmission(body); err != nil {
		var submissionErr *server.Error
		errors.As(err, &submissionErr)
		writeFailure(c, http.StatusBadRequest, string(submissionErr.Kind), submissionErr.Detail)
		return
	}
	tickets, _, err := h.entry.IssueTickets(c.Param("service"), 1)
	if err != nil {
		writeIssueError(c, err)
		return
	}
	c.Header("Location", "/v1/jobs/"+tickets[0])
	h.respond(c, server.Request{Operation: server.OperationSubmit, Ticket: tickets[0], Body: body, Wait: waitTime})
}

// respond executes the request and writes the response, with the caller's request
// id in its header and body.
func (h *handlers) respond(c *gin.Context, request server.Request) {
	limits, bodyBytes := limiter.FromContext(c.Request.Context()), int64(len(request.Body))
	request.ReserveAnswer = func(bytes int64) bool { return limits.HoldAnswer(bodyBytes, bytes) }
	response := h.entry.Execute(c.Request.Context(), request)
	if response.Status == http.StatusServiceUnavailable {
		c.Header("Retry-After", retryAfter)
	}
	id := requestID(c)
	body := response.Body
	if id != "" {
		c.Header(caller.RequestIDHeader, id)
		body = withRequestID(body, id)
	}
	// An error means that the connection has no deadline for writing; the answer is sent without one.
	http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	c.Data(response.Status, "application/json", body)
}

// withRequestID returns the JSON object with the request id as its first member,
// or the object unchanged if it is not a JSON object.
func withRequestID(object []byte, id string) []byte {
	quoted, err := json.Marshal(id)
	if err != nil || len(object) < 2 || object[0] != '{' {
		return object
	}
	result := append([]byte(`{"request-id":`), quoted...)
	if object[1] != '}' {
		result = append(result, ',')
	}
	return append(result, object[1:]...)
}
