package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mustardlever.dev/mustardlever/platform/standin"
)

const (
	service   = "access-desk"
	host      = "desk.example"
	prefix    = "/interp/"
	graceS    = 6
	readyWait = 15 * time.Second
	daemon    = "target/mustardleverd" // with the argument run, the command of deploy/system.toml
)

// configuration routes the jobs of the host to the service.
const configuration = `{"version":1,"routes":[{"name":"interp-book","host":"desk.example","pathPrefix":"/interp/","service":"access-desk",` +
	`"priority":2,"attempts":3,"stretch":1.6,"targetLatencyMs":60}],"services":[{"name":"access-desk"}],"limits":{}}`

// process is a running daemon.
type process struct {
	name    string
	path    string // of the settings file
	log     *os.File
	command *exec.Cmd
	done    chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { p.command.Process.Signal(s) }

// entry is an edge machine with its paths.
type entry struct {
	*process
	ready string
	front *link // from clients
	links *link // from the other machines
	store *link // to the store
}

// deployment is a small installation on loopback addresses.
type deployment struct {
	record    *record
	dir       string
	store     standin.Store
	entries   []*entry
	agents    []*process
	executors []*executor
	addresses int
}

// setCut cuts an edge machine off from the clients and all other machines, or ends that.
func (d *deployment) setCut(e *entry, isCut bool) {
	machine := ""
	if isCut {
		machine = e.name
	}
	for _, other := range d.entries {
		if other != e {
			other.links.setCutFrom(machine)
		}
	}
	for _, l := range []*link{e.front, e.links, e.store} {
		l.setCut(isCut)
	}
}

// ip returns a loopback address of its own for a machine.
func (d *deployment) ip() string {
	d.addresses++
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, d.addresses)
}

// freeAddresses returns n addresses, host:port, whose ports are free now.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // at the end, so that no port is returned twice
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// newDeployment starts the store, the entries, the agents and the executors with the
// given labels, and waits until all are in use.
func newDeployment(r *record, entries int, labels [][]string, cpu int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir}
	if err := d.store.Start(d.ip() + ":0"); err != nil {
		return d, err
	}
	d.store.Put("op", "config", []byte(configuration))
	var seeds []string
	for i := range entries {
		e, link, err := d.startEntry(fmt.Sprintf("edge-%d", i+1), seeds)
		if err != nil {
			return d, err
		}
		d.entries, seeds = append(d.entries, e), append(seeds, link)
	}
	for i, l := range labels {
		if err := d.startAgent(fmt.Sprintf("side-%d", i+1), seeds, l, cpu); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

func (d *deployment) startEntry(name string, seeds []string) (*entry, string, error) {
	listen, err := freeAddresses(d.ip(), 4) // front, ready, control, operator
	if err != nil {
		return nil, "", err
	}
	e := &entry{ready: listen[1]}
	for _, l := range []struct {
		link              **link
		target            string
		backoff, identify bool
	}{{&e.front, listen[0], true, false}, {&e.links, listen[2], false, true}, {&e.store, d.store.Address(), false, false}} {
		if *l.link, err = newLink(d.ip(), l.target, l.backoff, l.identify); err != nil {
			return nil, "", err
		}
	}
	settings := map[string]any{
		"name": name, "role": "entry", "zone": "zone-1", "link-address": listen[2], "link-advertised": e.links.address(), "caller-address": listen[0],
		"operator-address": listen[3], "entries": append([]string{}, seeds...),
		"platform": map[string]any{"store-address": e.store.address(), "ready-address": listen[1], "stop-s": graceS},
	}
	e.process, err = d.startProcess(name, settings)
	return e, e.links.address(), err
}

func (d *deployment) startAgent(name string, seeds, labels []string, cpu int) error {
	ip := d.ip()
	listen, err := freeAddresses(ip, 2)
	if err != nil {
		return err
	}
	control, operator := listen[0], listen[1]
	settings := map[string]any{
		"name": name, "role": "agent", "zone": "zone-1", "operator-address": operator, "entries": seeds,
		"platform": map[string]any{
			"store-address": d.store.Address(), "reports-address": control, "service": service, "report-ms": heartbeat.Milliseconds(),
			"lease-ms": maxHold.Milliseconds(), "stop-s": graceS,
		},
	}
	p, err := d.startProcess(name, settings)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, p)
	x := &executor{name: "executor-" + name, service: service, control: control, record: d.record, labels: labels, cpu: cpu}
	if err := awaitListener(control); err != nil {
		return err
	}
	d.executors = append(d.executors, x)
	return x.start(ip)
}

func (d *deployment) startProcess(name string, settings map[string]any) (*process, error) {
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, encode(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, path: path, log: log}
	return p, p.restart()
}

// restart starts the program, which does not run.
func (p *process) restart() error {
	command, done := exec.Command(daemon, "run"), make(chan struct{})
	command.Env = append(os.Environ(), "MUSTARDLEVER_SETTINGS="+p.path)
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.done = command, done
	go func() {
		command.Wait()
		close(done)
	}()
	return nil
}

func awaitListener(address string) error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", address, dialTimeout); err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// awaitReady waits until every entry is ready and knows all agents.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(readyWait)
	for _, e := range d.entries {
		for !isReady(e.ready) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all agents are announced
	return nil
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, e := range d.entries {
		if e.process != nil {
			e.kill()
		}
		for _, l := range []*link{e.front, e.links, e.store} {
			l.stop()
		}
	}
	for _, p := range d.agents {
		p.kill()
	}
	for _, x := range d.executors {
		x.stop()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("logs in", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// jobBody returns the body of a best-effort job of equal tasks.
func jobBody(tasks, cpu, millis int, requires string) string {
	spec := strings.ReplaceAll(string(encode(work{millis, cpu})), `"`, `\"`)
	label := ""
	if requires != "" {
		label = `,"requires":"` + requires + `"`
	}
	return fmt.Sprintf(`{"spec":"%s","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d%s}]}`, spec, tasks, cpu, millis, label)
}
