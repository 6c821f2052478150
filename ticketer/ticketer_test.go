package ticketer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/protocol"
	"mustardlever.dev/mustardlever/ticketer"
)

var coder = ticketer.Coder{Key: []byte("0123456789abcdef0123456789abcdef")}

func ExampleCoder() {
	text := coder.Encode(ticketer.Ticket{
		Ticket:  protocol.Ticket{Owner: "entry-1.a", Backup: "entry-2.b", Sequence: 7},
		Service: "access-desk", Expires: time.Minute,
	})
	t, err := coder.Decode(text)
	fmt.Println(t.Service, t.Owner, t.Backup, t.Sequence, t.Expires, err)
	// Output: access-desk entry-1.a entry-2.b 7 1m0s <nil>
}

// Flips the lowest bit of each byte of a ticket: each changed ticket must be refused.
func TestChangedTicketIsRefused(t *testing.T) {
	text := coder.Encode(ticketer.Ticket{Service: "s", Ticket: protocol.Ticket{Owner: "o"}})
	for i := range len(text) {
		b := []byte(text)
		b[i] ^= 1
		_, err := coder.Decode(string(b))
		require.Error(t, err, "byte %d changed", i)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("mt1.e30.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := coder.Decode(text); err == nil {
			t.Fatalf("%q was accepted", text)
		}
	})
}
