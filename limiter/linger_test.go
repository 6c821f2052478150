package limiter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a refused request whose connection is reset while the client sends its body:
// it learns neither that nothing has run nor when to come back.
func TestRefusedClientsReadTheirAnswer(t *testing.T) {
	b := NewBudget(Settings{})
	address := serveTest(t, b.Callers)
	const requests, piece = 100, 8 << 10
	var clients sync.WaitGroup
	errs, statuses := make(chan error, requests), make(chan int, requests)
	for range requests {
		clients.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", maxTestBody)
			for range maxTestBody / piece {
				if _, err := c.Write(bytes.Repeat([]byte("x"), piece)); err != nil {
					errs <- err // many clients report this error, and read no answer
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				errs <- err
				return
			}
			response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				errs <- errors.New("a refusal without Retry-After")
			}
			statuses <- response.StatusCode
		})
	}
	clients.Wait()
	close(errs)
	close(statuses)
	count := make(map[int]int)
	for s := range statuses {
		count[s]++
	}
	t.Log(count)
	for err := range errs {
		require.NoError(t, err)
	}
	requireUnused(t, b.Callers)
}
