package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

// Settings of a small deployment, as on the pages of brazos-access.
const (
	service       = "access-desk"
	host          = "desk.example"
	prefix        = "/checks/"
	heartbeat     = 1500 * time.Millisecond
	maxHold       = 1000 * time.Millisecond
	stopTimeout   = 50 * time.Millisecond
	cancelTime    = 3000 * time.Millisecond
	configApply   = 2000 * time.Millisecond
	resendDelay   = 1300 * time.Millisecond
	graceSeconds  = 6
	startDeadline = 15 * time.Second
	daemon        = "target/mustardleverd"
	operatorPort  = "9464"
)

// deployment is a store, entries, agents and an executor beside each agent.
type deployment struct {
	record    *record
	store     *standin.Store
	folder    string
	network   string // first three bytes of the loopback addresses
	entries   []*entry
	executors []*executor
	processes []*process
}

// process is a process of the system. Its settings are in the folder of the deployment.
type process struct {
	name    string
	command *exec.Cmd
}

// entry is one entry process as clients and the platform see it.
type entry struct{ name, front, ready string }

// start starts the store with a configuration, the processes and the executors, and waits
// until every entry is ready.
func (d *deployment) start(entries int, executors ...*executor) error {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	d.folder, d.executors = folder, executors
	if d.network, err = freeNetwork(); err != nil {
		return err
	}
	d.store = new(standin.Store)
	if err := d.store.Start(d.network + "1:0"); err != nil {
		return err
	}
	d.writeConfiguration(1, true)
	var seeds []string
	for i := range entries {
		seeds = append(seeds, d.address(10+i, 7001))
	}
	for i := range entries {
		e := &entry{fmt.Sprintf("edge-%d", i+1), d.address(10+i, 7002), d.address(10+i, 7003)}
		d.entries = append(d.entries, e)
		fields := map[string]string{"node": e.name, "ip": d.network + strconv.Itoa(10+i), "listen.control": seeds[i], "listen.front": e.front, "listen.ready": e.ready}
		if err := d.startProcess("deploy/entry.json", e.name, fields, seeds); err != nil {
			return err
		}
	}
	for i, x := range executors {
		name, control := fmt.Sprintf("side-%d", i+1), d.address(100+i, 7001)
		x.record, x.reportAddress, x.address = d.record, control, d.address(100+i, 7004)
		fields := map[string]string{"node": name, "ip": d.network + strconv.Itoa(100+i), "listen.control": control}
		if err := d.startProcess("deploy/agent.json", name, fields, seeds); err != nil {
			return err
		}
		if err := x.listen(); err != nil {
			return err
		}
		x.boot(0)
	}
	return d.awaitReady()
}

// freeNetwork returns the first three bytes of loopback addresses that no one listens on,
// as far as a probe of the first ones shows.
func freeNetwork() (string, error) {
	for range 20 {
		network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(250))
		free := true
		for _, address := range []string{"10:7001", "10:7002", "10:7003", "10:" + operatorPort, "100:7001", "100:7004", "100:" + operatorPort} {
			listener, err := net.Listen("tcp", network+address)
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network")
}

func (d *deployment) address(last, port int) string {
	return net.JoinHostPort(d.network+strconv.Itoa(last), strconv.Itoa(port))
}

// writeConfiguration writes a version of the configuration as the operator does. There
// is always a second queue, which no case uses.
func (d *deployment) writeConfiguration(version int, withRoute bool) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 15000, "targetLatencyMs": 60,
			"priority": 1, "service": service, "attempts": 3, "stretch": 1.6,
		}
	}
	routes := []any{route("r-other", "/other/")}
	if withRoute {
		routes = append(routes, route("r-checks", prefix))
	}
	document, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": service, "admissionCheck": false}}})
	if err != nil {
		panic(err) // plain fields always marshal
	}
	d.store.Put("op", "config", document)
	d.record.printf("operator: configuration %d is acknowledged; the queue %s is there: %t", version, prefix, withRoute)
}

// unsetSection is a part of a template for a bound that this platform does not set.
var unsetSection = regexp.MustCompile(`\{\{#bounds\.\w+\}\}.*\{\{/bounds\.\w+\}\}`)

// render fills in the placeholders of a settings template as the platform does. It leaves
// out the settings of bounds that the site of the cases does not have.
func render(template string, fields map[string]string, seeds []string) string {
	const list = `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`
	text := strings.ReplaceAll(template, list, `"`+strings.Join(seeds, `","`)+`"`)
	text = unsetSection.ReplaceAllString(text, "")
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

// startProcess starts the daemon with the command of the deploy file.
func (d *deployment) startProcess(template, name string, fields map[string]string, seeds []string) error {
	content, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	fields["zone"], fields["service"], fields["platform.address"] = "z1", service, d.store.Address()
	fields["heartbeatMs"], fields["bounds.maxHoldMs"] = strconv.FormatInt(heartbeat.Milliseconds(), 10), strconv.FormatInt(maxHold.Milliseconds(), 10)
	fields["bounds.graceS"] = strconv.Itoa(graceSeconds)
	fields["limits.memoryMb"], fields["limits.maxFds"] = "184", "4100" // of the smallest machine
	text := render(string(content), fields, seeds)
	if strings.Contains(text, "{{node") || strings.Contains(text, "{{listen") || strings.Contains(text, "{{bounds") || strings.Contains(text, "{{limits") {
		return errors.New("a placeholder of " + template + " is unknown")
	}
	path := filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p := &process{name: name}
	d.processes = append(d.processes, p)
	return d.run(p)
}

// run starts a process with its settings.
func (d *deployment) run(p *process) error {
	output, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	c := exec.Command(daemon, "run")
	c.Env = append(os.Environ(), "MUSTARDLEVER_SETTINGS="+filepath.Join(d.folder, p.name+".conf"))
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.command = c
	d.record.printf("%s starts, process %d", p.name, c.Process.Pid)
	return nil
}

// kill kills a process that runs.
func (p *process) kill() {
	if p.command != nil {
		p.command.Process.Kill()
		p.command.Wait()
		p.command = nil
	}
}

// restartAll kills all processes, starts them again after downTime and waits until every
// entry is ready.
func (d *deployment) restartAll(downTime time.Duration) error {
	d.record.printf("final fault: all processes are killed")
	for _, p := range d.processes {
		p.kill()
	}
	time.Sleep(downTime)
	for _, p := range d.processes {
		if err := d.run(p); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// awaitReady waits until every entry answers readiness checks with 200, and a second more
// for the agents to connect to all of them.
func (d *deployment) awaitReady() error {
	limit := time.Now().Add(startDeadline)
	for _, e := range d.entries {
		for !isReady(e) {
			if time.Now().After(limit) {
				return errors.New(e.name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	d.record.printf("all entries are ready")
	return nil
}

func isReady(e *entry) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends the processes and removes the folder.
func (d *deployment) stop() {
	for _, p := range d.processes {
		p.kill()
	}
	for _, x := range d.executors {
		x.stop()
	}
	if d.store != nil {
		d.store.Stop()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	} else {
		d.record.printf("logs are kept in %s", d.folder)
	}
}
