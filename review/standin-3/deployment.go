package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mustardlever.dev/mustardlever/internal/relayer"
	"mustardlever.dev/mustardlever/platform/standin"
)

// Sizes and names of the deployment, those of the small sites.
const (
	entryCount  = 4
	agentCount  = 11
	perRack     = 3 // executors
	rackCount   = (agentCount + perRack - 1) / perRack
	host        = "desk.example"
	pathPrefix  = "/interp-book/"
	otherPrefix = "/seat-confirm/"
	storeMillis = 4 // an answer of the platform's store
	readyWithin = 15 * time.Second
)

// process is one program of the project.
type process struct {
	name     string
	settings map[string]any
	dir      string
	front    string         // address for clients; entries only
	ready    string         // address for the balancer; entries only
	links    *relayer.Relay // on the way to its link address; entries only
	command  *exec.Cmd
	exited   chan struct{}
}

// deployment is the programs, the store and the executors.
type deployment struct {
	daemon    string
	dir       string
	record    *record
	store     standin.Store
	entries   []*process
	agents    []*process
	executors []*executor
}

// freeAddresses returns loopback addresses that nothing listens on.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // all of them differ
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// rackLabel returns the label of the executors of a rack.
func rackLabel(rack int) string { return fmt.Sprintf("r1-%d", rack+1) }

// configuration returns a version of the operator's configuration with the routes that have
// the given path prefixes.
func configuration(version int, prefixes ...string) []byte {
	routes := []map[string]any{}
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": strings.Trim(prefix, "/"), "host": host, "pathPrefix": prefix, "service": serviceName,
			"priority": 2, "attempts": 3, "stretch": 1.6, "targetLatencyMs": 60,
		})
	}
	document, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName}}})
	if err != nil {
		panic(err) // plain fields always marshal
	}
	return document
}

// begin starts everything and waits until all entries are ready.
func (d *deployment) begin() error {
	if err := d.store.Start("127.0.0.1:0"); err != nil {
		return err
	}
	d.store.SetFaults(standin.Faults{DelayMillis: storeMillis})
	d.store.Put("op", "config", configuration(1, pathPrefix, otherPrefix))
	addresses, err := freeAddresses(4*entryCount + 2*agentCount)
	if err != nil {
		return err
	}
	links := []string{}
	for i := range entryCount {
		a := addresses[4*i:]
		relay := &relayer.Relay{Target: a[0], IdentifyPeer: relayer.PeerName}
		if err := relay.Start(); err != nil {
			return err
		}
		links = append(links, relay.Address())
		d.entries = append(d.entries, &process{
			name: fmt.Sprintf("edge-%d", i+1), dir: d.dir, front: a[1], ready: a[2], links: relay,
			settings: map[string]any{
				"role": "entry", "zone": fmt.Sprintf("zone-%d", i%4+1), "link-address": a[0], "link-advertised": relay.Address(),
				"caller-address": a[1], "operator-address": a[3],
				"platform": map[string]any{
					"store-address": d.store.Address(), "ready-address": a[2], "memory-mb": 284, "max-descriptors": 4100, "remote-factor": 1.5, "stop-s": 6,
				},
			},
		})
	}
	for i := range agentCount {
		a := addresses[4*entryCount+2*i:]
		x := &executor{name: fmt.Sprintf("i-%d", i+1), reports: a[0], rack: rackLabel(i / perRack), record: d.record}
		d.executors = append(d.executors, x)
		d.agents = append(d.agents, &process{
			name: fmt.Sprintf("side-%d", i+1), dir: d.dir,
			settings: map[string]any{
				"role": "agent", "zone": fmt.Sprintf("zone-%d", i%4+1), "operator-address": a[1],
				"platform": map[string]any{
					"store-address": d.store.Address(), "reports-address": a[0], "service": serviceName, "report-ms": reportInterval.Milliseconds(),
					"lease-ms": maxHold.Milliseconds(), "memory-mb": 152, "max-descriptors": 4096, "stop-s": 6,
				},
			},
		})
	}
	for _, p := range d.processes() {
		p.settings["name"], p.settings["entries"] = p.name, links[:3]
		if err := p.start(d.daemon); err != nil {
			return err
		}
	}
	for _, x := range d.executors {
		if err := x.begin(); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

func (d *deployment) processes() []*process {
	return append(append([]*process{}, d.entries...), d.agents...)
}

// awaitReady waits until the balancer's check of every entry succeeds, and then until the
// executors have been reported to all entries.
func (d *deployment) awaitReady() error {
	for _, p := range d.entries {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// awaitReady waits until the balancer's check of the entry succeeds.
func (p *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < readyWithin; time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + p.ready + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(p.name + " is not ready")
}

// awaitFront waits until the entry accepts channels of clients.
func (p *process) awaitFront() error {
	for begin := time.Now(); time.Since(begin) < readyWithin; time.Sleep(200 * time.Microsecond) {
		if conn, err := net.Dial("tcp", p.front); err == nil {
			return conn.Close()
		}
	}
	return errors.New(p.name + " accepts no channels")
}

// end ends all processes and stand-ins.
func (d *deployment) end() {
	for _, p := range d.processes() {
		p.kill()
	}
	for _, p := range d.entries {
		p.links.Stop()
	}
	for _, x := range d.executors {
		if x.quit != nil {
			x.end()
		}
	}
	if d.store.Address() != "" {
		d.store.Stop()
	}
}

// setCut cuts an entry off from all other machines of the system, or ends the cut. Clients
// and the platform's store still reach it.
func (d *deployment) setCut(entry *process, cut bool) {
	faults := relayer.Faults{DropIn: cut, DropOut: cut}
	var others []string
	for _, p := range d.processes() {
		if p == entry {
			continue
		}
		others = append(others, p.name)
		if p.links != nil {
			p.links.SetFaults(faults, entry.name)
		}
	}
	entry.links.SetFaults(faults, others...)
}

// start starts the program with the command of the deploy file.
func (p *process) start(daemon string) error {
	document, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, p.name+".json")
	if err := os.WriteFile(path, document, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(daemon, "run")
	p.command.Env = append(os.Environ(), "MUSTARDLEVER_SETTINGS="+path)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		c.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) { p.command.Process.Signal(s) }

// kill ends the program and waits until it has ended.
func (p *process) kill() {
	if p.exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}
