// Package cluster runs entries, agents and stand-ins for backend servers in one
// process, connected over the loopback interface. It is used by tests, benchmarks
// and local runs.
package cluster

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/apiserver"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/limiter"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

// Service is the name of the service that a Cluster runs.
const Service = "access-desk"

// Settings configures a Cluster. Zero fields take the defaults.
type Settings struct {
	Entries         int // default 2
	Agents          int // default 3
	SlotsPerBackend int // capacity of each backend server in tasks; default 8
	Coordinator     coordinator.Settings
	Messenger       messenger.Settings
	ShareDemand     bool
	Budget          *limiter.Budget // of all listeners of the Cluster; nil: they have no limits
	Log             *logrus.Entry   // default: log output is discarded
}

func (s Settings) withDefaults() Settings {
	if s.Entries == 0 {
		s.Entries = 2
	}
	if s.Agents == 0 {
		s.Agents = 3
	}
	if s.SlotsPerBackend == 0 {
		s.SlotsPerBackend = 8
	}
	if s.Log == nil {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		s.Log = logrus.NewEntry(logger)
	}
	return s
}

// Cluster is a running system of entries, agents and backend servers. URLs holds
// the base URL for callers of each entry.
type Cluster struct {
	Settings Settings
	Entries  []*server.Entry
	Agents   []*server.Agent
	Backends []*standin.Backend
	URLs     []string

	linkKey        []byte
	apiServers     []*http.Server
	entryAddresses []string
}

const ticketKey = "a key for one process on loopback only"

// Start starts a Cluster.
func Start(s Settings) (*Cluster, error) {
	c := &Cluster{Settings: s.withDefaults(), linkKey: []byte(rand.Text())}
	for range c.Settings.Entries {
		if err := c.AddEntry(); err != nil {
			return nil, err
		}
	}
	for range c.Settings.Agents {
		if err := c.AddAgent(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// AddEntry starts one more entry. The nth entry is in availability zone zone-n.
func (c *Cluster) AddEntry() error {
	peerListener, err := c.listenLinks()
	if err != nil {
		return err
	}
	n := len(c.Entries) + 1
	name := fmt.Sprintf("entry-%d", n)
	e := &server.Entry{
		Settings: server.EntrySettings{
			Identity:  protocol.Identity{Name: name, Role: protocol.RoleEntry, Zone: fmt.Sprintf("zone-%d", n)},
			Entries:   c.entryAddresses,
			TicketKey: []byte(ticketKey),
			Services:  map[string]coordinator.Settings{Service: c.Settings.Coordinator},
			Messenger: c.Settings.Messenger, LinkKey: c.linkKey, ShareDemand: c.Settings.ShareDemand,
		},
		Log:      c.Settings.Log.WithField("process", name),
		Recorder: new(recorder.Recorder),
	}
	if b := c.Settings.Budget; b != nil {
		settings := c.Settings.Coordinator
		settings.MaxResultBytes = b.MaxResultBytes() / c.Settings.Entries
		e.Settings.Services, e.Settings.JobMemory = map[string]coordinator.Settings{Service: settings}, b.HeldJobs
		e.Settings.FrameMemory = b.Frames
	}
	e.Start(peerListener)
	apiServer := apiserver.New(e)
	address, err := c.serve(apiServer)
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, e)
	c.apiServers = append(c.apiServers, apiServer)
	c.entryAddresses = append(c.entryAddresses, peerListener.Addr().String())
	c.URLs = append(c.URLs, "http://"+address.String())
	return nil
}

const anyPort = "127.0.0.1:0"

// listenLinks listens for other processes.
func (c *Cluster) listenLinks() (net.Listener, error) {
	if b := c.Settings.Budget; b != nil {
		return b.Links.ListenPlain(anyPort)
	}
	return net.Listen("tcp", anyPort)
}

// serve serves callers in the background and returns the address.
func (c *Cluster) serve(s *http.Server) (net.Addr, error) {
	if b := c.Settings.Budget; b != nil {
		return b.Callers.Serve(s, anyPort)
	}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	go s.Serve(l)
	return l.Addr(), nil
}

// AddAgent starts one more agent with a backend server of its own. The nth agent
// is in availability zone zone-n.
func (c *Cluster) AddAgent() error {
	n := len(c.Agents) + 1
	name := fmt.Sprintf("agent-%d", n)
	b := &standin.Backend{Name: name}
	if budget := c.Settings.Budget; budget != nil {
		b.Serve = budget.Backends.Serve
	}
	if err := b.Start(anyPort); err != nil {
		return err
	}
	a := &server.Agent{
		Settings: server.AgentSettings{
			Identity: protocol.Identity{Name: name, Role: protocol.RoleAgent, Zone: fmt.Sprintf("zone-%d", n)},
			Entries:  c.entryAddresses,
			BackendServers: []server.BackendServer{
				{Service: Service, Address: b.Address(), Slots: c.Settings.SlotsPerBackend},
			},
			Messenger: c.Settings.Messenger, LinkKey: c.linkKey,
		},
		Log:      c.Settings.Log.WithField("process", name),
		Recorder: new(recorder.Recorder),
	}
	a.Start()
	c.Agents = append(c.Agents, a)
	c.Backends = append(c.Backends, b)
	return nil
}

// Ready reports whether every entry is connected to every agent and, if there are
// several entries, whether every entry has a backup that has acknowledged every
// agent.
func (c *Cluster) Ready() bool {
	for _, e := range c.Entries {
		counts := e.Services()[0].Counts
		if counts.Agents < len(c.Agents) || len(c.Entries) > 1 && counts.AckedAgents < len(c.Agents) {
			return false
		}
	}
	return true
}

// Starts returns the number of starts of each task id on all backend servers.
func (c *Cluster) Starts() map[string]int {
	total := make(map[string]int)
	for _, b := range c.Backends {
		for id, n := range b.Starts() {
			total[id] += n
		}
	}
	return total
}

// Events returns the recorded events of all processes, ordered by their clock
// readings.
func (c *Cluster) Events(f recorder.Filter) []recorder.Event {
	var lists [][]recorder.Event
	for _, e := range c.Entries {
		lists = append(lists, e.Recorder.Events(f))
	}
	for _, a := range c.Agents {
		lists = append(lists, a.Recorder.Events(f))
	}
	return recorder.Merge(lists...)
}

// Stop stops the API servers, entries, agents and backend servers.
func (c *Cluster) Stop() {
	for _, s := range c.apiServers {
		s.Close()
	}
	for _, e := range c.Entries {
		e.Stop()
	}
	for _, a := range c.Agents {
		a.Stop()
	}
	for _, b := range c.Backends {
		b.Stop()
	}
}
