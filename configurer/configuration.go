package configurer

import (
	"encoding/json"
	"os"
	"strconv"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"
)

// Service is the configuration of one service. Zero numbers take the defaults
// given.
type Service struct {
	Slots             int `json:"slots"`               // of each backend server; default 8
	Connections       int `json:"connections"`         // to each backend server; default 64
	TaskTimeoutMillis int `json:"task-timeout-ms"`     // default 30000
	DeadlineMillis    int `json:"deadline-ms"`         // of a job; default 60000
	TicketLifeMillis  int `json:"ticket-life-ms"`      // default 60000
	RetentionMillis   int `json:"answer-retention-ms"` // default 60000
	QueueTasks        int `json:"queue-tasks"`         // default 50000
}

// Configuration is what a site runs.
type Configuration struct {
	Site     string             `json:"site"`
	Zones    []string           `json:"zones"`
	Services map[string]Service `json:"services"`
}

const (
	maxSlots       = 1024
	maxConnections = 4096
	maxMillis      = 24 * 60 * 60 * 1000
	maxQueueTasks  = 1_000_000
)

func itoa(i int) string { return strconv.Itoa(i) }

// ReadConfiguration reads, checks and merges a base file and, unless empty, an
// overlay.
func ReadConfiguration(files Files) (Configuration, error) {
	base, err := os.ReadFile(files.Base)
	if err != nil {
		return Configuration{}, &Error{Op: "read configuration", Kind: KindRead, Err: err}
	}
	overlay := []byte("{}")
	if files.Overlay != "" {
		if overlay, err = os.ReadFile(files.Overlay); err != nil {
			return Configuration{}, &Error{Op: "read configuration", Kind: KindRead, Err: err}
		}
	}
	return Merge(files.Base, base, files.Overlay, overlay)
}

// Merge checks both texts and returns the base with the overlay laid over it.
// A null in the overlay removes what the base states.
func Merge(baseName string, base []byte, overlayName string, overlay []byte) (Configuration, error) {
	var c Configuration
	for _, x := range []struct {
		name string
		text []byte
	}{{baseName, base}, {overlayName, overlay}} {
		// The overlay's nulls would be refused by the values' types.
		var part partial
		f, err := decode(x.name, x.text, &part)
		if err != nil {
			return c, err
		}
		part.check(f)
		if err := mistakes(f.mistakes); err != nil {
			return c, err
		}
	}
	merged, err := merge(base, overlay)
	if err != nil {
		return c, &Error{Op: "merge", Kind: KindSyntax, Err: err}
	}
	if err := json.Unmarshal(merged, &c); err != nil {
		return c, &Error{Op: "merge", Kind: KindSyntax, Err: err}
	}
	if len(c.Services) == 0 {
		return c, &Error{Op: "merge", Kind: KindInvalid, Detail: baseName + ": services: expected at least one service"}
	}
	return c, nil
}

// partial is a file's part of a Configuration. Pointers may be null.
type partial struct {
	Site     string              `json:"site"`
	Zones    []string            `json:"zones"`
	Services map[string]*Service `json:"services"`
}

func merge(base, overlay []byte) ([]byte, error) {
	b, err := hujson.Standardize(terminated(base))
	if err != nil {
		return nil, err
	}
	o, err := hujson.Standardize(terminated(overlay))
	if err != nil {
		return nil, err
	}
	return jsonpatch.MergePatch(b, o)
}

func (c *partial) check(f *file) {
	for name, s := range c.Services {
		if s == nil {
			continue
		}
		path := "services/" + name + "/"
		f.limit(path+"slots", s.Slots, maxSlots)
		f.limit(path+"connections", s.Connections, maxConnections)
		f.limit(path+"task-timeout-ms", s.TaskTimeoutMillis, maxMillis)
		f.limit(path+"deadline-ms", s.DeadlineMillis, maxMillis)
		f.limit(path+"ticket-life-ms", s.TicketLifeMillis, maxMillis)
		f.limit(path+"answer-retention-ms", s.RetentionMillis, maxMillis)
		f.limit(path+"queue-tasks", s.QueueTasks, maxQueueTasks)
	}
}

// limit checks that a number is 0 (the default) to most.
func (f *file) limit(path string, n, most int) {
	if n < 0 || n > most {
		f.reject(path, "found %d, expected 0 to %d", n, most)
	}
}
