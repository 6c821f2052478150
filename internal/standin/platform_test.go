package standin_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/internal/standin"
)

func newPlatform(t *testing.T) (*standin.Platform, func(method, path, body string) (int, string)) {
	p := new(standin.Platform)
	require.NoError(t, p.Start("127.0.0.1:0"))
	t.Cleanup(p.Stop)
	return p, func(method, path, body string) (int, string) {
		q, err := http.NewRequestWithContext(t.Context(), method, "http://"+p.Address()+path, strings.NewReader(body))
		require.NoError(t, err)
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, ""
		}
		defer r.Body.Close()
		b, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		return r.StatusCode, string(b)
	}
}

const firstWrite = `{"expect":[{"key":"a","version":0}],"write":[{"key":"a","value":1}]}`

func TestTransactionHasOneWinner(t *testing.T) {
	_, do := newPlatform(t)
	status, _ := do("POST", "/v1/transactions", firstWrite)
	require.Equal(t, 200, status)
	status, winner := do("POST", "/v1/transactions", firstWrite)
	require.Equal(t, 409, status)
	require.Contains(t, winner, `"version":1`)
}

func TestFaults(t *testing.T) {
	p, do := newPlatform(t)
	p.SetFaults(standin.Faults{Down: true})
	status, _ := do("POST", "/v1/transactions", firstWrite)
	require.Equal(t, 503, status)
	p.SetFaults(standin.Faults{LoseReply: true})
	status, _ = do("POST", "/v1/transactions", firstWrite)
	require.Zero(t, status, "the reply is lost")
	p.SetFaults(standin.Faults{})
	_, rows := do("GET", "/v1/rows?prefix=a", "")
	require.Contains(t, rows, `"version":1`, "the write took effect, once")
	status, _ = do("PUT", "/v1/objects/x/y", "text")
	require.Equal(t, 200, status)
	_, text := do("GET", "/v1/objects/x/y", "")
	require.Equal(t, "text", text)
}
