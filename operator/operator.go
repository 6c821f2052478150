// Package operator serves the operator pages of a process over HTTP: health,
// metrics, the state of services and peers, and recorded events.
//
//	GET /healthz       200 while the process runs
//	GET /readyz        200 while it takes new work
//	GET /metrics       counters, gauges and histograms, in the Prometheus text format
//	GET /debug/vars    metrics (expvar)
//	GET /v1/process    identity, traffic, peers
//	GET /v1/services   services and their agents (entries)
//	GET /v1/jobs       unfinished jobs of each service (entries)
//	GET /v1/configuration  the configuration in use (entries)
//	GET /v1/backend-server  the backend server and its active runs (agents on the users' platform)
//	POST /v1/plan      where a job would go now (entries on the users' platform)
//	GET /v1/events     recorded events; query owner, number, service, kind, since
package operator

import (
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"mustardlever.dev/mustardlever/executor"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	maxHeaderBytes = 16 << 10
)

// Process is the state of a process as operators see it.
type Process struct {
	Identity      protocol.Identity   `json:"identity"`
	Ready         bool                `json:"ready"`
	Traffic       Traffic             `json:"traffic"`
	Peers         []protocol.Identity `json:"peers,omitempty"`
	RunCount      int                 `json:"running"`        // queued and running tasks of an agent
	EventsDropped int64               `json:"events-dropped"` // recorded events overwritten by newer ones
}

// Traffic is a snapshot of messenger.Traffic.
type Traffic struct {
	FramesIn    int64 `json:"frames-in"`
	FramesOut   int64 `json:"frames-out"`
	BytesIn     int64 `json:"bytes-in"`
	BytesOut    int64 `json:"bytes-out"`
	MessagesIn  int64 `json:"messages-in"`
	MessagesOut int64 `json:"messages-out"`
}

// ReadTraffic returns a snapshot of t.
func ReadTraffic(t *messenger.Traffic) Traffic {
	return Traffic{
		FramesIn: t.FramesIn.Load(), FramesOut: t.FramesOut.Load(),
		BytesIn: t.BytesIn.Load(), BytesOut: t.BytesOut.Load(),
		MessagesIn: t.MessagesIn.Load(), MessagesOut: t.MessagesOut.Load(),
	}
}

// Source provides the data of the pages. Process and Recorder are required. The
// other fields may be nil; their pages are not served then.
type Source struct {
	Metrics       func(w io.Writer)
	Process       func() Process
	Services      func() []server.ServiceView
	Jobs          func() []server.JobsView
	Configuration func() server.ConfigurationView
	BackendServer func() executor.View
	Plan          func(server.PlanRequest) (server.PlanView, error) // changes no state
	Recorder      *recorder.Recorder
}

// New returns the HTTP server for the operator pages of a process.
func New(s Source) *http.Server {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.Recovery())
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", s.serveReady)
	g.GET("/debug/vars", gin.WrapH(expvar.Handler()))
	g.GET("/v1/process", func(c *gin.Context) { c.JSON(http.StatusOK, s.Process()) })
	g.GET("/v1/events", s.serveEvents)
	if s.Metrics != nil {
		g.GET("/metrics", func(c *gin.Context) { s.Metrics(c.Writer) })
	}
	servePage(g, "/v1/services", s.Services)
	servePage(g, "/v1/jobs", s.Jobs)
	servePage(g, "/v1/configuration", s.Configuration)
	servePage(g, "/v1/backend-server", s.BackendServer)
	if s.Plan != nil {
		g.POST(planPath, s.servePlan)
	}
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// servePage serves the result of read as JSON at path, unless read is nil.
func servePage[T any](g *gin.Engine, path string, read func() T) {
	if read != nil {
		g.GET(path, func(c *gin.Context) { c.JSON(http.StatusOK, read()) })
	}
}

func (s Source) serveReady(c *gin.Context) {
	if s.Process().Ready {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "leaving\n")
}

func (s Source) serveEvents(c *gin.Context) {
	f := recorder.Filter{Owner: c.Query("owner"), Service: c.Query("service"), Kind: c.Query("kind")}
	var err error
	if text := c.Query("number"); text != "" {
		if f.Sequence, err = strconv.ParseUint(text, 10, 64); err != nil {
			c.JSON(http.StatusBadRequest, gin.H{"kind": "bad-request", "message": "number must be an integer of 0 or more"})
			return
		}
	}
	if text := c.Query("since"); text != "" {
		if f.Since, err = strconv.ParseInt(text, 10, 64); err != nil {
			c.JSON(http.StatusBadRequest, gin.H{"kind": "bad-request", "message": "since must be a clock reading in microseconds"})
			return
		}
	}
	c.JSON(http.StatusOK, s.Recorder.Events(f))
}
