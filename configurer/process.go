package configurer

import (
	"cmp"
	"net/netip"
	"os"
	"path/filepath"
)

// Files names a site's configuration files, relative to the settings file.
type Files struct {
	Base    string `json:"base"`
	Overlay string `json:"overlay"`
}

// BackendServer is a backend server beside which an agent runs.
type BackendServer struct {
	Service string `json:"service"`
	Address string `json:"address"` // IP number and port
}

// Platform is how a process meets the users' platform. Addresses are IP numbers
// with ports.
type Platform struct {
	Store        string `json:"store-address"`   // the metadata store
	Ready        string `json:"ready-address"`   // where the balancer asks whether to send callers; entries
	Reports      string `json:"reports-address"` // where the backend server reports; agents
	Service      string `json:"service"`         // of the backend server; agents
	ReportMillis int    `json:"report-ms"`       // between two reports; default 1500
	LeaseMillis  int    `json:"lease-ms"`        // longest lease of what runs; default 1000
	StopSeconds  int    `json:"stop-s"`          // a planned stop may take that long; default 6
}

// Process is the settings of one process. Addresses are IP numbers with ports.
type Process struct {
	Name            string          `json:"name"`
	Role            string          `json:"role"` // "entry" or "agent"
	Zone            string          `json:"zone"`
	LinkAddress     string          `json:"link-address"`     // where other processes connect; entries
	LinkAdvertised  string          `json:"link-advertised"`  // what others dial, if not link-address
	CallerAddress   string          `json:"caller-address"`   // where callers connect; entries
	OperatorAddress string          `json:"operator-address"` // where operators connect
	Entries         []string        `json:"entries"`          // link addresses of entries
	TicketKey       string          `json:"ticket-key"`       // shared by all entries, 32 characters or more
	Configuration   Files           `json:"configuration"`
	BackendServers  []BackendServer `json:"backend-servers"` // agents
	DrainMillis     int             `json:"drain-ms"`        // longest planned stop; default 60000
	LogLevel        string          `json:"log-level"`       // default "info"
	Platform        *Platform       `json:"platform"`        // set where the process runs on the users' platform
}

// Roles of processes.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Limits of settings.
const (
	MinKeyCharacters   = 32
	MaxNameCharacters  = 64
	defaultDrainMillis = 60_000

	defaultReportMillis = 1500
	defaultLeaseMillis  = 1000
	defaultStopSeconds  = 6
)

// ReadProcess reads and checks a settings file.
func ReadProcess(path string) (Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Process{}, &Error{Op: "read settings", Kind: KindRead, Err: err}
	}
	p, err := ParseProcess(path, text)
	if err != nil {
		return p, err
	}
	p.Configuration.Base = beside(path, p.Configuration.Base)
	p.Configuration.Overlay = beside(path, p.Configuration.Overlay)
	return p, nil
}

// beside makes name relative to the directory of path.
func beside(path, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// ParseProcess checks settings. It errors with KindSyntax or KindInvalid.
func ParseProcess(name string, text []byte) (Process, error) {
	var p Process
	f, err := decode(name, text, &p)
	if err != nil {
		return p, err
	}
	p.check(f)
	if p.DrainMillis == 0 {
		p.DrainMillis = defaultDrainMillis
	}
	if p.Platform != nil {
		p.Platform.fill()
	}
	return p, mistakes(f.mistakes)
}

func (p *Process) check(f *file) {
	if p.Name == "" || len(p.Name) > MaxNameCharacters {
		f.reject("name", "expected a name of 1 to 64 characters")
	}
	if p.Zone == "" {
		f.reject("zone", "expected the availability zone")
	}
	f.address("operator-address", p.OperatorAddress)
	for i, a := range p.Entries {
		f.address("entries/"+itoa(i), a)
	}
	switch p.Role {
	case RoleEntry:
		p.checkEntry(f)
	case RoleAgent:
		p.checkAgent(f)
	default:
		f.reject("role", `found %q, expected "entry" or "agent"`, p.Role)
	}
	if p.DrainMillis < 0 {
		f.reject("drain-ms", "found %d, expected 0 or more", p.DrainMillis)
	}
	if p.Platform != nil {
		p.checkPlatform(f)
	} else if p.Configuration.Base == "" {
		f.reject("configuration/base", "expected the name of the base file")
	}
}

func (p *Process) checkEntry(f *file) {
	f.address("link-address", p.LinkAddress)
	if p.LinkAdvertised != "" {
		f.address("link-advertised", p.LinkAdvertised)
	}
	f.address("caller-address", p.CallerAddress)
	if len(p.TicketKey) < MinKeyCharacters && p.Platform == nil {
		f.reject("ticket-key", "expected at least %d characters, the same at every entry", MinKeyCharacters)
	}
	if len(p.BackendServers) > 0 {
		f.reject("backend-servers", "an entry has none")
	}
}

func (p *Process) checkAgent(f *file) {
	if p.Platform != nil {
		return
	}
	if len(p.Entries) == 0 {
		f.reject("entries", "expected the link address of at least one entry")
	}
	if len(p.BackendServers) == 0 {
		f.reject("backend-servers", "expected at least one")
	}
	for i, b := range p.BackendServers {
		path := "backend-servers/" + itoa(i)
		f.address(path+"/address", b.Address)
		if b.Service == "" {
			f.reject(path+"/service", "expected the name of a service")
		}
	}
}

// fill sets what was left out.
func (h *Platform) fill() {
	h.ReportMillis = cmp.Or(h.ReportMillis, defaultReportMillis)
	h.LeaseMillis = cmp.Or(h.LeaseMillis, defaultLeaseMillis)
	h.StopSeconds = cmp.Or(h.StopSeconds, defaultStopSeconds)
}

func (p *Process) checkPlatform(f *file) {
	f.address("platform/store-address", p.Platform.Store)
	if p.Role == RoleAgent {
		f.address("platform/reports-address", p.Platform.Reports)
		if p.Platform.Service == "" {
			f.reject("platform/service", "expected the name of a service")
		}
	} else {
		f.address("platform/ready-address", p.Platform.Ready)
	}
	if p.Platform.ReportMillis < 0 || p.Platform.LeaseMillis < 0 || p.Platform.StopSeconds < 0 {
		f.reject("platform", "a time is negative")
	}
}

// address checks that text is an IP number and a port.
func (f *file) address(path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.reject(path, "found %q, expected an IP number and a port such as 10.0.0.1:7000", text)
	}
}
