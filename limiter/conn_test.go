package limiter

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const maxTestBody = 262_144

// serveTest serves a handler that answers with the size of the body, within a pool.
func serveTest(t *testing.T, p *Pool) string {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(echoSize), ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	Guard(s)
	go s.Serve(p.Listener(l))
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func echoSize(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	body, err := c.ReadAll(http.MaxBytesReader(w, r.Body, maxTestBody), r.ContentLength)
	if err != nil || !c.Commit(int64(len(body))) {
		Refuse(w)
		return
	}
	fmt.Fprint(w, len(body))
}

func requireUnused(t *testing.T, p *Pool) {
	t.Helper()
	require.Eventually(t, func() bool { u := p.Usage(); return u.Bytes == 0 && u.Connections == 0 }, 5*time.Second, 5*time.Millisecond)
}

func chunked(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		body = body[len(part):]
	}
	return b.String() + "0\r\n\r\n"
}

// Guards against a permitted request that is refused because of the way in which its
// headers are cut into lines or its body into chunks, with the default limits and with
// the lowest in the tests.
func TestSingleRequestWithinLimitsIsServed(t *testing.T) {
	body := bytes.Repeat([]byte("\n"), maxTestBody)
	head := "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	sameName, names := strings.Builder{}, strings.Builder{}
	for i := 0; sameName.Len() < 16_000; i++ {
		sameName.WriteString("a:\r\n")
		if names.Len() < 16_000 {
			names.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
		}
	}
	requests := map[string]string{
		"same names":     head + sameName.String() + "Content-Length: 0\r\n\r\n",
		"distinct names": head + names.String() + "Content-Length: 0\r\n\r\n",
		"whole body":     head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"headers, body":  head + names.String() + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
	}
	for _, size := range []int{1, 4, 5000, 65_536, maxTestBody} {
		requests[fmt.Sprintf("chunks of %d", size)] = head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, size)
	}
	for _, s := range []Settings{{}, {MemoryMiB: 96, Descriptors: 500}} {
		p := NewBudget(s).Callers
		address := serveTest(t, p)
		for name, request := range requests {
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			go io.WriteString(c, request)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, name)
			answer, err := io.ReadAll(response.Body)
			require.NoError(t, err, name)
			require.Equal(t, http.StatusOK, response.StatusCode, name)
			if strings.Contains(name, "body") || strings.Contains(name, "chunks") {
				require.Equal(t, strconv.Itoa(maxTestBody), string(answer), name)
			}
			c.Close()
		}
		requireUnused(t, p)
		require.Zero(t, p.Usage().Refused)
	}
}

// Guards against requests on one connection that are not accounted for, or whose
// reservations add up.
func TestRequestsOnOneConnection(t *testing.T) {
	p := NewBudget(Settings{}).Callers
	c, err := net.Dial("tcp", serveTest(t, p))
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	for i := range 50 {
		pipelined := strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n\n\n\n", 1+i%3)
		_, err := io.WriteString(c, pipelined)
		require.NoError(t, err)
		for range 1 + i%3 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			answer, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "3", string(answer))
		}
	}
	require.Eventually(t, func() bool { u := p.Usage(); return u.Bytes == connectionCost }, 5*time.Second, 5*time.Millisecond)
	c.Close()
	requireUnused(t, p)
}

// Guards against headers of a pipelined request that are parsed but not counted.
func TestPipelinedHeadersAreCounted(t *testing.T) {
	p := NewBudget(Settings{}).Callers
	c, err := net.Dial("tcp", serveTest(t, p))
	require.NoError(t, err)
	defer c.Close()
	const lines = 800
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", lines))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Usage().Accounts[Headers] >= lines*lineCost }, 5*time.Second, 5*time.Millisecond)
}

// Guards against a client that gets no refusal, or whose reservations stay, when its
// unfinished body is evicted, and against a small request that is refused beside it.
func TestEvictedBody(t *testing.T) {
	p := newPool("callers", connectionCost, 100, map[Account]int64{
		Connections: 100 * connectionCost, Headers: 1 << 20, Bodies: 400 << 10, Jobs: 1 << 20, Reserve: 64 << 10,
	})
	address := serveTest(t, p)
	var conns []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", maxTestBody))
		require.NoError(t, err)
		go c.Write(make([]byte, maxTestBody-16))
		conns = append(conns, c)
		time.Sleep(50 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return p.Usage().Evicted == 1 }, 5*time.Second, 5*time.Millisecond)
	answer, _ := io.ReadAll(conns[0]) // an error after the response: data were unread
	if len(answer) > 0 {
		require.Contains(t, string(answer), "503")
		require.Contains(t, string(answer), "Retry-After: 1")
	}
	response, err := http.Post("http://"+address, "text/plain", strings.NewReader("small"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	response.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	conns[1].Close()
	requireUnused(t, p)
}

// pipeListener accepts connections that a test made.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a body that stops and keeps its reservation, and against one that is
// broken off although it proceeds slowly.
func TestBodyWithoutProgressLosesItsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewBudget(Settings{}).Callers
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		s := &http.Server{Handler: http.HandlerFunc(echoSize), ReadTimeout: 60 * time.Second}
		Guard(s)
		go s.Serve(p.Listener(l))
		client, server := net.Pipe()
		l.conns <- server
		began := time.Now()
		go func() {
			io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n")
			for range 5 {
				time.Sleep(4 * time.Second)
				io.WriteString(client, "x")
			}
		}()
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "1", response.Header.Get("Retry-After"))
		require.Equal(t, 20*time.Second+progressTimeout, time.Since(began))
		client.Close()
		synctest.Wait()
		time.Sleep(time.Second) // net/http closes a connection with unread data late
		require.Zero(t, p.Usage().Bytes)
		s.Close()
	})
}

// Guards against a body that stopped short of its announced size and is handled as if it
// were complete.
func TestShortBodyIsAnError(t *testing.T) {
	var c *Conn
	_, err := c.ReadAll(io.MultiReader(strings.NewReader("abc"), errorReader{io.ErrUnexpectedEOF}), 10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	body, err := c.ReadAll(bytes.NewReader(make([]byte, 100_000)), 100_000)
	require.NoError(t, err)
	require.Len(t, body, 100_000)
	require.True(t, c.Commit(1))
	require.True(t, c.Hold(1))
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against a link that is closed at the limit although its peer has identified
// itself, and against one that keeps its reservation then.
func TestIdentifiedLinkIsNotLimited(t *testing.T) {
	p := newPool("links", linkCost, 1, map[Account]int64{Connections: 10 * linkCost})
	p.plain, p.patient, p.ledger.Grace = true, true, time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	limited := p.Listener(l)
	accept := func() (net.Conn, *Conn) {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		a, err := limited.Accept()
		require.NoError(t, err)
		return c, a.(*Conn)
	}
	_, agent := accept()
	require.True(t, agent.Identify())
	require.Zero(t, p.Usage().Bytes)
	_, silent := accept()
	time.Sleep(5 * time.Millisecond)
	_, next := accept()
	require.False(t, silent.Identify(), "evicted")
	require.EqualValues(t, 1, p.Usage().Evicted)
	_, err = agent.Write([]byte("x"))
	require.NoError(t, err)
	for _, c := range []*Conn{agent, silent, next} {
		c.Close()
	}
	requireUnused(t, p)
}

// Guards against a cost of header lines that is less than the memory that they occupy.
func TestHeaderCost(t *testing.T) {
	for name, line := range map[string]func(i int) string{
		"distinct": func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" },
		"same":     func(int) string { return "a:\r\n" },
		"longer":   func(i int) string { return fmt.Sprintf("name-%d: value-%d\r\n", i, i) },
		"long":     func(i int) string { return fmt.Sprintf("name-%d: %s\r\n", i, strings.Repeat("v", 500)) },
	} {
		text := "GET / HTTP/1.1\r\n"
		lines := 1
		for ; len(text) < 16_000; lines++ {
			text += line(lines)
		}
		const requests = 50
		kept := make([]*http.Request, requests)
		before, after := new(runtime.MemStats), new(runtime.MemStats)
		runtime.GC()
		runtime.ReadMemStats(before)
		for i := range kept {
			r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text+"\r\n"), 4<<10))
			require.NoError(t, err)
			kept[i] = r
		}
		runtime.GC()
		runtime.ReadMemStats(after)
		runtime.KeepAlive(kept)
		used := int64(after.HeapAlloc-before.HeapAlloc) / requests
		cost := headerBytesCost(len(text), lines)
		t.Logf("%s: %d lines, %d bytes in use, cost %d", name, lines, used, cost)
		require.Less(t, used, cost, name)
	}
}

// Guards against a scanner that takes another line for the end of the headers than
// net/http does, wherever the bytes are cut.
func TestHeaderScanner(t *testing.T) {
	for text, want := range map[string][2]int{
		"GET / HTTP/1.1\r\na: b\r\n\r\nx\ny": {3, 1},
		"GET / HTTP/1.1\na: b\n\n":           {3, 0},
		"GET / HTTP/1.1\r\n\r\r\n \r\n\r\n":  {4, 0},
		"GET / HTTP/1.1\r\na: b\r\n":         {2, 0},
	} {
		for cut := range len(text) {
			var s headerScanner
			first, firstBehind := s.scan([]byte(text[:cut]))
			second, secondBehind := s.scan([]byte(text[cut:]))
			require.Equal(t, want, [2]int{first + second, firstBehind + secondBehind}, "%q cut at %d", text, cut)
		}
	}
}
