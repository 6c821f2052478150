package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/server"
)

const (
	planPath = "/v1/plan"
	// MaxPlanBytes bounds a request for a plan: the largest job of a caller, 256 KiB, and
	// the host and path beside it.
	MaxPlanBytes = 272 << 10
	// maxPlanErrorBytes bounds what a client reads of an error.
	maxPlanErrorBytes = 4 << 10
	// planHeldBytes is the memory of a plan beside its request: up to 1,000 tasks and the
	// copy of the dispatcher's state.
	planHeldBytes = 1 << 20
)

// servePlan answers a request for a plan with 200, whatever the plan, with 404 if the entry
// knows no such route or service, and with 400 if the request is malformed.
func (s Source) servePlan(c *gin.Context) {
	limits := limiter.FromContext(c.Request.Context())
	body, err := limits.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, MaxPlanBytes), c.Request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writePlanError(c, http.StatusRequestEntityTooLarge, server.KindTooLarge, "the request is larger than 272 KiB")
		return
	case err != nil && fault.KindOf[limiter.Kind](err) == "":
		writePlanError(c, http.StatusBadRequest, server.KindBadRequest, err.Error())
		return
	case err != nil || !limits.Commit(int64(len(body))) || !limits.Hold(int64(len(body))+planHeldBytes):
		limiter.Refuse(c.Writer)
		return
	}
	var r server.PlanRequest
	if err := json.Unmarshal(body, &r); err != nil {
		writePlanError(c, http.StatusBadRequest, server.KindBadRequest, err.Error())
		return
	}
	v, err := s.Plan(r)
	switch kind := fault.KindOf[server.Kind](err); {
	case err == nil:
		c.JSON(http.StatusOK, v)
	case kind == server.KindNoRoute || kind == server.KindUnknownService:
		writePlanError(c, http.StatusNotFound, kind, err.Error())
	default:
		writePlanError(c, http.StatusBadRequest, server.KindBadRequest, err.Error())
	}
}

// planError is the body of a response other than 200.
type planError struct {
	Kind    server.Kind `json:"kind"`
	Message string      `json:"message"`
}

func writePlanError(c *gin.Context, status int, kind server.Kind, message string) {
	c.JSON(status, planError{kind, message})
}

// Refusal is the error of RequestPlan when the process answers that there is no plan.
type Refusal struct {
	Status  int // of HTTP
	Kind    server.Kind
	Message string
}

// Error returns the status and the message.
func (r *Refusal) Error() string {
	switch {
	case r.Message != "":
		return r.Message
	case r.Status == http.StatusNotFound:
		return "the process is no entry on the users' platform, or too old to explain placements"
	}
	return "status " + http.StatusText(r.Status)
}

// RequestPlan asks the process with the given operator address where a job would go. It
// fails with a Refusal if the process knows no such route or service, or is not an entry on
// the users' platform.
func RequestPlan(ctx context.Context, address string, r server.PlanRequest) (server.PlanView, error) {
	var v server.PlanView
	body, err := json.Marshal(r)
	if err != nil {
		return v, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+planPath, bytes.NewReader(body))
	if err != nil {
		return v, errors.Wrap(err, address)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refusal := &Refusal{Status: resp.StatusCode}
		var e planError
		if json.NewDecoder(io.LimitReader(resp.Body, maxPlanErrorBytes)).Decode(&e) == nil {
			refusal.Kind, refusal.Message = e.Kind, e.Message
		}
		return v, refusal
	}
	return v, errors.Wrap(json.NewDecoder(resp.Body).Decode(&v), address)
}
