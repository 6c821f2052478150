package protocol

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Role is the function of a process in the system.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// incarnationSuffixBytes is the length of the random suffix of an incarnation,
// before hex encoding.
const incarnationSuffixBytes = 6

// Identity identifies a process. Incarnation is Name with a random suffix that
// is generated at each start, so that peers treat a restarted process as a new
// one.
type Identity struct {
	Name            string `json:"name"`
	Incarnation     string `json:"incarnation"`
	Role            Role   `json:"role"`
	Zone            string `json:"zone"`
	Address         string `json:"address,omitempty"`  // host:port for connections from other processes; entries only
	OperatorAddress string `json:"operator,omitempty"` // host:port of the HTTP interface for operators
}

// WithNewIncarnation returns i with a newly generated incarnation.
func (i Identity) WithNewIncarnation() Identity {
	var suffix [incarnationSuffixBytes]byte
	rand.Read(suffix[:]) // documented never to return an error
	i.Incarnation = i.Name + "." + hex.EncodeToString(suffix[:])
	return i
}

// ProcessName returns the process name that an incarnation starts with.
func ProcessName(incarnation string) string {
	dot := strings.LastIndexByte(incarnation, '.')
	if dot < 0 {
		return incarnation
	}
	return incarnation[:dot]
}
