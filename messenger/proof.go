package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"mustardlever.dev/mustardlever/protocol"
)

// Parts of a proof that keep one side from answering with what the other one sent.
const (
	proofOfDialed   = "dialed"
	proofOfAccepted = "accepted"
)

// handshake is what the two sides of a connection have told each other to prove that both
// know the key of the links.
type handshake struct {
	dialed, accepted                   protocol.Identity
	dialedChallenge, acceptedChallenge string
}

// newChallenge returns a text that no earlier proof answers.
func newChallenge() string { return rand.Text() }

// proof returns the proof of one side that it knows the key: an HMAC of both challenges and
// both identities in hexadecimal digits. It is empty without a key.
func (s handshake) proof(key []byte, side string) string {
	if len(key) == 0 {
		return ""
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(strings.Join([]string{
		side, s.dialedChallenge, s.acceptedChallenge, s.dialed.Name, s.dialed.Incarnation, s.accepted.Name, s.accepted.Incarnation,
	}, "\x00")))
	return hex.EncodeToString(mac.Sum(nil))
}

// isProof reports whether text is the proof of one side. Without a key, any text is.
func (s handshake) isProof(key []byte, side, text string) bool {
	return len(key) == 0 || hmac.Equal([]byte(text), []byte(s.proof(key, side)))
}
