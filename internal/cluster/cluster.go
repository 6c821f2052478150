// Package cluster runs a whole small system in one process, over real
// connections on the loopback interface: entries, agents and stand-ins of
// backend servers. It serves the laptop, benchmarks and tests.
package cluster

import (
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/apiserver"
	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/standin"
	"mustardlever.dev/mustardlever/messenger"
	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/recorder"
	"mustardlever.dev/mustardlever/server"
)

// Service is the service that a Cluster runs.
const Service = "access-desk"

// Settings sizes a Cluster. Zero fields take the defaults.
type Settings struct {
	Entries     int // default 2
	Agents      int // default 3
	Slots       int // of each backend server; default 8
	Coordinator coordinator.Settings
	Messenger   messenger.Settings
	Log         *logrus.Entry // default: none
}

func (s Settings) withDefaults() Settings {
	if s.Entries == 0 {
		s.Entries = 2
	}
	if s.Agents == 0 {
		s.Agents = 3
	}
	if s.Slots == 0 {
		s.Slots = 8
	}
	if s.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		s.Log = logrus.NewEntry(l)
	}
	return s
}

// Cluster is a running system. URLs are the callers' base URLs of Entries.
type Cluster struct {
	Settings Settings
	Entries  []*server.Entry
	Agents   []*server.Agent
	Backends []*standin.Backend
	URLs     []string

	callers []*http.Server
	links   []string
}

const ticketKey = "a key for one process on loopback only"

// Start runs a Cluster.
func Start(s Settings) (*Cluster, error) {
	c := &Cluster{Settings: s.withDefaults()}
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

// AddEntry runs one more entry, in a zone of its own.
func (c *Cluster) AddEntry() error {
	links, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n := len(c.Entries) + 1
	name := fmt.Sprintf("entry-%d", n)
	e := &server.Entry{
		Settings: server.EntrySettings{
			Identity:  protocol.Identity{Name: name, Role: protocol.RoleEntry, Zone: fmt.Sprintf("zone-%d", n)},
			Entries:   c.links,
			TicketKey: []byte(ticketKey),
			Services:  map[string]coordinator.Settings{Service: c.Settings.Coordinator},
			Messenger: c.Settings.Messenger,
		},
		Log:      c.Settings.Log.WithField("process", name),
		Recorder: new(recorder.Recorder),
	}
	e.Start(links)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	callers := apiserver.New(e)
	go callers.Serve(l)
	c.Entries = append(c.Entries, e)
	c.callers = append(c.callers, callers)
	c.links = append(c.links, links.Addr().String())
	c.URLs = append(c.URLs, "http://"+l.Addr().String())
	return nil
}

// AddAgent runs one more agent with a backend server.
func (c *Cluster) AddAgent() error {
	n := len(c.Agents) + 1
	name := fmt.Sprintf("agent-%d", n)
	b := &standin.Backend{Name: name}
	if err := b.Start("127.0.0.1:0"); err != nil {
		return err
	}
	a := &server.Agent{
		Settings: server.AgentSettings{
			Identity: protocol.Identity{Name: name, Role: protocol.RoleAgent, Zone: fmt.Sprintf("zone-%d", n)},
			Entries:  c.links,
			BackendServers: []server.BackendServer{
				{Service: Service, Address: b.Address(), Slots: c.Settings.Slots},
			},
			Messenger: c.Settings.Messenger,
		},
		Log:      c.Settings.Log.WithField("process", name),
		Recorder: new(recorder.Recorder),
	}
	a.Start()
	c.Agents = append(c.Agents, a)
	c.Backends = append(c.Backends, b)
	return nil
}

// Ready reports whether every entry sees every agent, and every ticket would
// have a witness that acknowledged every agent.
func (c *Cluster) Ready() bool {
	for _, e := range c.Entries {
		n := e.Services()[0].Counts
		if n.Agents < len(c.Agents) || len(c.Entries) > 1 && n.AckedAgents < len(c.Agents) {
			return false
		}
	}
	return true
}

// Starts returns how often each task id was started, over all backend servers.
func (c *Cluster) Starts() map[string]int {
	all := make(map[string]int)
	for _, b := range c.Backends {
		for id, n := range b.Starts() {
			all[id] += n
		}
	}
	return all
}

// Events returns the record of all processes as one time line.
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

// Stop ends everything.
func (c *Cluster) Stop() {
	for _, s := range c.callers {
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
