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

// KindForged is the kind of a ticket that was not issued under this key or was
// changed since.
const KindForged Kind = "forged"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	prefix         = "mt1."
	codeBytes      = 16
	maxTicketBytes = 512
)

// encoding refuses what Encode would not write.
var encoding = base64.RawURLEncoding.Strict()

// Ticket is a parsed ticket. Expires is the time since the start of the owner
// incarnation after which no job is accepted with it; only the owner judges it.
type Ticket struct {
	protocol.Ticket
	Service string
	Expires time.Duration
}

// payload is the wire form of a ticket.
type payload struct {
	Service  string `json:"s"`
	Owner    string `json:"o"`
	Witness  string `json:"w,omitempty"`
	Sequence uint64 `json:"n"`
	Expires  int64  `json:"x"` // milliseconds
}

// Coder writes and reads tickets under Key.
type Coder struct {
	Key []byte
}

// Encode returns the string form of t.
func (c Coder) Encode(t Ticket) string {
	p := payload{t.Service, t.Owner, t.Backup, t.Sequence, t.Expires.Milliseconds()}
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // strings and integers always marshal
	}
	body := encoding.EncodeToString(b)
	return prefix + body + "." + encoding.EncodeToString(c.code(body))
}

// Decode parses s. It errors with KindForged unless s was made by Encode under
// the same key.
func (c Coder) Decode(s string) (Ticket, error) {
	body, code, found := strings.Cut(strings.TrimPrefix(s, prefix), ".")
	if len(s) > maxTicketBytes || !found {
		return Ticket{}, forged()
	}
	mac, err := encoding.DecodeString(code)
	if err != nil || !hmac.Equal(mac, c.code(body)) {
		return Ticket{}, forged()
	}
	return Peek(s)
}

func forged() error {
	return &Error{Op: "decode ticket", Kind: KindForged, Detail: "not a ticket of this system"}
}

// Peek parses s without its key. It errors with KindForged when s is malformed
// but cannot tell whether it was issued.
func Peek(s string) (Ticket, error) {
	if len(s) > maxTicketBytes || !strings.HasPrefix(s, prefix) {
		return Ticket{}, forged()
	}
	body, _, _ := strings.Cut(s[len(prefix):], ".")
	b, err := encoding.DecodeString(body)
	if err != nil {
		return Ticket{}, forged()
	}
	var p payload
	if err := json.Unmarshal(b, &p); err != nil {
		return Ticket{}, forged()
	}
	return Ticket{
		Ticket:  protocol.Ticket{Owner: p.Owner, Backup: p.Witness, Sequence: p.Sequence},
		Service: p.Service,
		Expires: time.Duration(p.Expires) * time.Millisecond,
	}, nil
}

func (c Coder) code(body string) []byte {
	h := hmac.New(sha256.New, c.Key)
	h.Write([]byte(body))
	return h.Sum(nil)[:codeBytes]
}
