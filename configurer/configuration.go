package configurer

import (
	"encoding/json"
	"os"
	"strconv"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"
)

// Service is the configuration of one service. A value of zero selects the
// default.
type Service struct {
	Slots             int `json:"slots"`               // tasks that run at the same time on each backend server; default 8
	Connections       int `json:"connections"`         // to each backend server; default 64
	TaskTimeoutMillis int `json:"task-timeout-ms"`     // default 30000
	DeadlineMillis    int `json:"deadline-ms"`         // default and upper bound of a job's deadline; default 60000
	TicketLifeMillis  int `json:"ticket-life-ms"`      // time from issue to expiry; default 60000
	RetentionMillis   int `json:"answer-retention-ms"` // how long an answer is kept after its job has ended; default 60000
	MaxQueuedTasks    int `json:"queue-tasks"`         // maximum number of waiting tasks; default 50000
}

// Configuration is the configuration of a site.
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

// ReadConfiguration reads, checks and merges the base file and, if one is named,
// the overlay.
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

// Merge checks both files and returns the base with the overlay applied to it as
// a JSON merge patch. A null in the overlay removes the value of the base.
func Merge(baseName string, base []byte, overlayName string, overlay []byte) (Configuration, error) {
	var c Configuration
	for _, source := range []struct {
		name string
		text []byte
	}{{baseName, base}, {overlayName, overlay}} {
		// An overlay may have nulls, which the types of Configuration reject.
		var part partialConfiguration
		f, err := decode(source.name, source.text, &part)
		if err != nil {
			return c, err
		}
		part.check(f)
		if err := mistakesError(f.mistakes); err != nil {
			return c, err
		}
	}
	merged, err := mergeTexts(base, overlay)
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

// partialConfiguration is what one file states of a Configuration. A service is
// nil where the file has null.
type partialConfiguration struct {
	Site     string              `json:"site"`
	Zones    []string            `json:"zones"`
	Services map[string]*Service `json:"services"`
}

func mergeTexts(base, overlay []byte) ([]byte, error) {
	baseJSON, err := hujson.Standardize(withNewline(base))
	if err != nil {
		return nil, err
	}
	patch, err := hujson.Standardize(withNewline(overlay))
	if err != nil {
		return nil, err
	}
	return jsonpatch.MergePatch(baseJSON, patch)
}

func (c *partialConfiguration) check(f *file) {
	for name, s := range c.Services {
		if s == nil {
			continue
		}
		path := "services/" + name + "/"
		f.checkRange(path+"slots", s.Slots, maxSlots)
		f.checkRange(path+"connections", s.Connections, maxConnections)
		f.checkRange(path+"task-timeout-ms", s.TaskTimeoutMillis, maxMillis)
		f.checkRange(path+"deadline-ms", s.DeadlineMillis, maxMillis)
		f.checkRange(path+"ticket-life-ms", s.TicketLifeMillis, maxMillis)
		f.checkRange(path+"answer-retention-ms", s.RetentionMillis, maxMillis)
		f.checkRange(path+"queue-tasks", s.MaxQueuedTasks, maxQueueTasks)
	}
}

// checkRange checks that n is from 0 (which selects the default) to limit.
func (f *file) checkRange(path string, n, limit int) {
	if n < 0 || n > limit {
		f.reject(path, "found %d, expected 0 to %d", n, limit)
	}
}
