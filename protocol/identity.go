package protocol

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Role is what a process does in the system.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// incarnationBytes is the length of the random part of an incarnation.
const incarnationBytes = 6

// Identity names a process. Incarnation is Name with a random part drawn at
// each start, so that a restarted process is another peer.
type Identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Role        Role   `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address,omitempty"`  // link address, host:port, entries only
	Operator    string `json:"operator,omitempty"` // operators' HTTP address, host:port
}

// WithNewIncarnation returns i with a freshly drawn incarnation.
func (i Identity) WithNewIncarnation() Identity {
	var b [incarnationBytes]byte
	rand.Read(b[:]) // never fails, by the documentation of crypto/rand
	i.Incarnation = i.Name + "." + hex.EncodeToString(b[:])
	return i
}

// NameOf returns the name in an incarnation.
func NameOf(incarnation string) string {
	n := strings.LastIndexByte(incarnation, '.')
	if n < 0 {
		return incarnation
	}
	return incarnation[:n]
}
