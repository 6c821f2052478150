package configurer

import (
	"cmp"
	"net/netip"
	"os"
	"path/filepath"
)

// Files names the configuration files of a site, relative to the directory of the
// settings file.
type Files struct {
	Base    string `json:"base"`
	Overlay string `json:"overlay"`
}

// BackendServer is a backend server on an agent's VM.
type BackendServer struct {
	Service string `json:"service"`
	Address string `json:"address"` // IP address and port
}

// Platform holds the settings of a process that runs on the users' platform.
// Addresses are IP addresses with ports.
type Platform struct {
	StoreAddress         string `json:"store-address"`   // of the metadata store
	ReadyAddress         string `json:"ready-address"`   // where the load balancer checks whether the entry is ready; entries
	ReportsAddress       string `json:"reports-address"` // where the backend server sends its status reports; agents
	Service              string `json:"service"`         // name of the backend server's service; agents
	ReportIntervalMillis int    `json:"report-ms"`       // interval of the status reports; default 1500
	MaxLeaseMillis       int    `json:"lease-ms"`        // longest lease of running tasks; default 1000
	ShutdownSeconds      int    `json:"stop-s"`          // longest duration of a graceful shutdown; default 6

	MemoryMiB      int `json:"memory-mb"`       // see Process.MemoryMiB; only one of them may be set
	MaxDescriptors int `json:"max-descriptors"` // see Process.MaxDescriptors; only one of them may be set

	EvacuationMillis int     `json:"evacuation-ms"`   // time within which an evacuation takes effect; 0: evacuations are not followed
	ColdOverage      float64 `json:"cold-overage"`    // load of a cold backend server, as a multiple of its fair share, that must not be exceeded; 0: cold servers are treated as others
	ColdSlack        int     `json:"cold-slack"`      // tasks that a cold backend server may run in any case
	RemoteFactor     float64 `json:"remote-factor"`   // how many times longer a task takes away from its data; default 1.5
	LocalityWait     bool    `json:"locality-wait"`   // tasks may wait for a place near their data
	ShareDemand      bool    `json:"share-demand"`    // entries exchange their demand if no entry is connected to all agents
	DivideCapacity   bool    `json:"divide-capacity"` // with share-demand: agents divide their free capacity by the entries' backlogs
	ShedLoad         bool    `json:"shed-load"`       // with share-demand: entries refuse a share of the arriving jobs under overload
	ServerProfiles   bool    `json:"server-profiles"` // agents report what they have learned of their backend servers, and entries place by it
}

// Process holds the settings of one process. Addresses are IP addresses with ports.
type Process struct {
	Name                  string          `json:"name"`
	Role                  string          `json:"role"` // "entry" or "agent"
	Zone                  string          `json:"zone"`
	LinkAddress           string          `json:"link-address"`     // where other processes connect; entries
	AdvertisedLinkAddress string          `json:"link-advertised"`  // address that other processes dial; default link-address
	CallerAddress         string          `json:"caller-address"`   // where callers connect; entries
	OperatorAddress       string          `json:"operator-address"` // where operators connect
	Entries               []string        `json:"entries"`          // the entries' link addresses (link-advertised if set)
	TicketKey             string          `json:"ticket-key"`       // shared by all entries, 32 bytes or more
	LinkKey               string          `json:"link-key"`         // shared by all processes, 32 bytes or more; empty: whoever connects to a link address is a peer
	Configuration         Files           `json:"configuration"`
	BackendServers        []BackendServer `json:"backend-servers"` // agents
	MaxDrainMillis        int             `json:"drain-ms"`        // longest duration of a graceful shutdown; default 60000
	LogLevel              string          `json:"log-level"`       // default "info"
	MemoryMiB             int             `json:"memory-mb"`       // memory that the process may use; default 184
	MaxDescriptors        int             `json:"max-descriptors"` // file descriptors that the process may open; default 4100
	Platform              *Platform       `json:"platform"`        // set if the process runs on the users' platform
}

// Roles of processes.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Limits and defaults of settings.
const (
	MinKeyBytes        = 32
	MaxNameBytes       = 64
	defaultDrainMillis = 60_000

	defaultReportIntervalMillis = 1500
	defaultLeaseMillis          = 1000
	defaultShutdownSeconds      = 6
	defaultMemoryMiB            = 184 // of the smallest VM in use
	defaultMaxDescriptors       = 4100
	defaultRemoteFactor         = 1.5
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
	p.Configuration.Base = relativeTo(path, p.Configuration.Base)
	p.Configuration.Overlay = relativeTo(path, p.Configuration.Overlay)
	return p, nil
}

// relativeTo resolves name against the directory of path. An absolute or empty
// name stays unchanged.
func relativeTo(path, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// ParseProcess parses and checks settings and sets defaults. It fails with
// KindSyntax or KindInvalid.
func ParseProcess(name string, text []byte) (Process, error) {
	var p Process
	f, err := decode(name, text, &p)
	if err != nil {
		return p, err
	}
	p.check(f)
	if p.MaxDrainMillis == 0 {
		p.MaxDrainMillis = defaultDrainMillis
	}
	if p.Platform != nil {
		p.Platform.setDefaults()
		p.MemoryMiB = cmp.Or(p.MemoryMiB, p.Platform.MemoryMiB)
		p.MaxDescriptors = cmp.Or(p.MaxDescriptors, p.Platform.MaxDescriptors)
	}
	p.MemoryMiB = cmp.Or(p.MemoryMiB, defaultMemoryMiB)
	p.MaxDescriptors = cmp.Or(p.MaxDescriptors, defaultMaxDescriptors)
	return p, mistakesError(f.mistakes)
}

func (p *Process) check(f *file) {
	if p.Name == "" || len(p.Name) > MaxNameBytes {
		f.reject("name", "expected a name of 1 to 64 bytes")
	}
	if p.Zone == "" {
		f.reject("zone", "expected the availability zone")
	}
	f.checkAddress("operator-address", p.OperatorAddress)
	for i, a := range p.Entries {
		f.checkAddress("entries/"+itoa(i), a)
	}
	switch p.Role {
	case RoleEntry:
		p.checkEntry(f)
	case RoleAgent:
		p.checkAgent(f)
	default:
		f.reject("role", `found %q, expected "entry" or "agent"`, p.Role)
	}
	if p.MaxDrainMillis < 0 {
		f.reject("drain-ms", "found %d, expected 0 or more", p.MaxDrainMillis)
	}
	if n := len(p.LinkKey); n > 0 && n < MinKeyBytes {
		f.reject("link-key", "found %d bytes, expected none or at least %d, the same at every process", n, MinKeyBytes)
	}
	if p.MemoryMiB < 0 {
		f.reject("memory-mb", "found %d, expected 0 or more", p.MemoryMiB)
	}
	if p.MaxDescriptors < 0 {
		f.reject("max-descriptors", "found %d, expected 0 or more", p.MaxDescriptors)
	}
	if p.Platform != nil {
		p.checkPlatform(f)
	} else if p.Configuration.Base == "" {
		f.reject("configuration/base", "expected the name of the base file")
	}
}

func (p *Process) checkEntry(f *file) {
	f.checkAddress("link-address", p.LinkAddress)
	if p.AdvertisedLinkAddress != "" {
		f.checkAddress("link-advertised", p.AdvertisedLinkAddress)
	}
	f.checkAddress("caller-address", p.CallerAddress)
	if len(p.TicketKey) < MinKeyBytes && p.Platform == nil {
		f.reject("ticket-key", "expected at least %d bytes, the same at every entry", MinKeyBytes)
	}
	if len(p.BackendServers) > 0 {
		f.reject("backend-servers", "an entry has no backend servers")
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
		f.reject("backend-servers", "expected at least one backend server")
	}
	for i, b := range p.BackendServers {
		path := "backend-servers/" + itoa(i)
		f.checkAddress(path+"/address", b.Address)
		if b.Service == "" {
			f.reject(path+"/service", "expected the name of a service")
		}
	}
}

// setDefaults sets the defaults of values that are zero.
func (p *Platform) setDefaults() {
	p.ReportIntervalMillis = cmp.Or(p.ReportIntervalMillis, defaultReportIntervalMillis)
	p.MaxLeaseMillis = cmp.Or(p.MaxLeaseMillis, defaultLeaseMillis)
	p.ShutdownSeconds = cmp.Or(p.ShutdownSeconds, defaultShutdownSeconds)
	p.RemoteFactor = cmp.Or(p.RemoteFactor, defaultRemoteFactor)
}

func (p *Process) checkPlatform(f *file) {
	f.checkAddress("platform/store-address", p.Platform.StoreAddress)
	if p.Role == RoleAgent {
		f.checkAddress("platform/reports-address", p.Platform.ReportsAddress)
		if p.Platform.Service == "" {
			f.reject("platform/service", "expected the name of a service")
		}
	} else {
		f.checkAddress("platform/ready-address", p.Platform.ReadyAddress)
	}
	if p.Platform.ReportIntervalMillis < 0 || p.Platform.MaxLeaseMillis < 0 || p.Platform.ShutdownSeconds < 0 {
		f.reject("platform", "expected report-ms, lease-ms and stop-s of 0 or more")
	}
	if p.Platform.MemoryMiB < 0 || p.Platform.MaxDescriptors < 0 || p.Platform.EvacuationMillis < 0 || p.Platform.ColdSlack < 0 {
		f.reject("platform", "expected memory-mb, max-descriptors, evacuation-ms and cold-slack of 0 or more")
	}
	if p.MemoryMiB != 0 && p.Platform.MemoryMiB != 0 {
		f.reject("platform/memory-mb", "memory-mb is set twice")
	}
	if p.MaxDescriptors != 0 && p.Platform.MaxDescriptors != 0 {
		f.reject("platform/max-descriptors", "max-descriptors is set twice")
	}
	if p.Platform.ColdOverage < 0 || p.Platform.RemoteFactor != 0 && p.Platform.RemoteFactor < 1 {
		f.reject("platform", "expected a cold-overage of 0 or more and a remote-factor of 1 or more")
	}
}

// checkAddress checks that text is an IP address and a port.
func (f *file) checkAddress(path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.reject(path, "found %q, expected an IP address and a port such as 10.0.0.1:7000", text)
	}
}
