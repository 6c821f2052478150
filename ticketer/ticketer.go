package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"mustardlever.dev/mustardlever/internal/fault"
	"mustardlever.dev/mustardlever/protocol"
)

// Kind classifies the errors of this package.
type Kind string

// KindForged is the kind of the error for a ticket that is malformed, was not issued
// under this key or was changed afterwards.
const KindForged Kind = "forged"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	prefix         = "mt1."
	macBytes       = 16
	maxTicketBytes = 512
)

// encoding rejects trailing bits that Encode never sets, so that a ticket with such
// a bit changed is refused.
var encoding = base64.RawURLEncoding.Strict()

// Ticket is a decoded ticket. Expires is the time, counted from the start of the
// owner incarnation, after which no job is accepted with the ticket. Only the owner
// checks it.
type Ticket struct {
	protocol.Ticket
	Service string
	Expires time.Duration
}

// payload is the JSON form of a ticket.
type payload struct {
	Service  string `json:"s"`
	Owner    string `json:"o"`
	Backup   string `json:"w,omitempty"`
	Sequence uint64 `json:"n"`
	Expires  int64  `json:"x"` // milliseconds
}

// Coder encodes and decodes tickets under Key.
type Coder struct {
	Key []byte
}

// Encode returns the string form of t.
func (c Coder) Encode(t Ticket) string {
	p := payload{t.Service, t.Owner, t.Backup, t.Sequence, t.Expires.Milliseconds()}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: strings and integers always marshal
	}
	encoded := encoding.EncodeToString(b)
	return prefix + encoded + "." + encoding.EncodeToString(c.computeMAC(encoded))
}

// Decode decodes s. It returns an error of KindForged unless Encode produced s under
// the same key.
func (c Coder) Decode(s string) (Ticket, error) {
	encoded, encodedMAC, found := strings.Cut(strings.TrimPrefix(s, prefix), ".")
	if len(s) > maxTicketBytes || !found {
		return Ticket{}, forgedError()
	}
	mac, err := encoding.DecodeString(encodedMAC)
	if err != nil || !hmac.Equal(mac, c.computeMAC(encoded)) {
		return Ticket{}, forgedError()
	}
	return Peek(s)
}

func forgedError() error {
	return &Error{Op: "decode ticket", Kind: KindForged, Detail: "the ticket is malformed or was not issued under this key"}
}

// Peek decodes s without the key. It returns an error of KindForged when s is
// malformed, but does not verify that s was issued under a key.
func Peek(s string) (Ticket, error) {
	if len(s) > maxTicketBytes || !strings.HasPrefix(s, prefix) {
		return Ticket{}, forgedError()
	}
	encoded, _, _ := strings.Cut(s[len(prefix):], ".")
	b, err := encoding.DecodeString(encoded)
	if err != nil {
		return Ticket{}, forgedError()
	}
	var p payload
	if err := json.Unmarshal(b, &p); err != nil {
		return Ticket{}, forgedError()
	}
	return Ticket{
		Ticket:  protocol.Ticket{Owner: p.Owner, Backup: p.Backup, Sequence: p.Sequence},
		Service: p.Service,
		Expires: time.Duration(p.Expires) * time.Millisecond,
	}, nil
}

func (c Coder) computeMAC(encoded string) []byte {
	h := hmac.New(sha256.New, c.Key)
	h.Write([]byte(encoded))
	return h.Sum(nil)[:macBytes]
}
